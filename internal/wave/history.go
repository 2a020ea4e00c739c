package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// How the parallelism of a wave depends on the outcomes of its hosts.
const (
	// recentOutcomes is the number of latest outcomes in which a failure is
	// correlated with earlier ones and in which failures count towards a stop.
	recentOutcomes = 8
	// stopRecentFailures is how many failures among the recent outcomes stop a
	// wave regardless of the record's limit: half of the hosts do not come back.
	stopRecentFailures = recentOutcomes / 2
	// isolatedDivisor reduces the parallelism after a failure without a recent
	// failure in the same zone. With one in the same zone it is divided by
	// zoneDivisor, with one in the same rack it drops to a single host.
	isolatedDivisor = 2
	zoneDivisor     = 4
	// rackFailures is how many failures in one rack defer its other hosts to the
	// end of the wave.
	rackFailures = 2
)

// outcome is the result of one visit that counts for the wave's parallelism.
type outcome struct {
	host          string
	zone          string
	rack          string
	sequence      int
	failed        bool
	recoveredLate bool
}

// history is the past of a wave as stored in host records. Every controller
// derives the same history, so the parallelism survives failover.
type history struct {
	// outcomes are those of the current resume generation in order. A stopped wave
	// that an operator resumes therefore starts small and with no failures.
	outcomes []outcome
	// lastSequence is the highest sequence number of any generation.
	lastSequence int
	// meanSeconds is the mean time that a maintained host was out, over samples
	// hosts.
	meanSeconds float64
	samples     int
}

func readHistory(name string, generation int, hosts []Host) history {
	var h history
	total := 0
	for _, host := range hosts {
		visit, visited := host.Record.WaveOutcomes[name]
		if !visited {
			continue
		}
		h.lastSequence = max(h.lastSequence, visit.Sequence)
		if visit.Result == hostrecord.Maintained && visit.DowntimeSeconds > 0 && !visit.RecoveredLate {
			total += visit.DowntimeSeconds
			h.samples++
		}
		if visit.ResumeGeneration != generation || visit.AlreadyDown {
			continue
		}
		h.outcomes = append(h.outcomes, outcome{
			host: host.Name, zone: host.Zone, rack: host.Rack, sequence: visit.Sequence,
			failed: visit.Result != hostrecord.Maintained, recoveredLate: visit.RecoveredLate,
		})
	}
	if h.samples > 0 {
		h.meanSeconds = float64(total) / float64(h.samples)
	}
	slices.SortFunc(h.outcomes, func(a, b outcome) int {
		return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.host, b.host))
	})
	return h
}

// parallelism replays the outcomes and returns the current parallelism with its
// reason: each host that returned healthy adds growth hosts, each failure reduces
// it. Hosts that are verifying count as successes in advance, because they have
// booted and a failed boot is the most common failure in a wave.
func (h history) parallelism(initial, limit, growth, verifying int) (int, string) {
	parallelism, reason := min(initial, limit), "starting small"
	for i, o := range h.outcomes {
		switch {
		case o.failed:
			divisor, kind := h.divisorFor(i)
			parallelism = max(1, parallelism/divisor)
			reason = fmt.Sprintf("shrunk after host %s failed, %s", o.host, kind)
		case !o.recoveredLate && parallelism < limit:
			parallelism = min(limit, parallelism+growth)
			reason = "widening as hosts come back whole"
		}
	}
	parallelism = min(limit, parallelism+growth*verifying)
	if parallelism >= limit {
		reason = "as wide as budgets and policy allow"
	}
	return parallelism, reason
}

// divisorFor returns the divisor that the failure at index i applies to the
// parallelism, and the kind of the failure. Failures in the same failure domain
// probably have a common cause.
func (h history) divisorFor(i int) (divisor int, kind string) {
	failure := h.outcomes[i]
	divisor, kind = isolatedDivisor, "alone"
	for _, earlier := range h.outcomes[max(0, i-recentOutcomes):i] {
		switch {
		case !earlier.failed:
		case earlier.zone == failure.zone && earlier.rack == failure.rack:
			return math.MaxInt, "the second of its rack"
		case earlier.zone == failure.zone:
			divisor, kind = zoneDivisor, "the second of its zone"
		}
	}
	return divisor, kind
}

// stopReason returns why the wave must not take out further hosts, or "".
func (h history) stopReason(spec *record.Wave) string {
	failures, recent := 0, 0
	for i, o := range h.outcomes {
		if !o.failed && !o.recoveredLate {
			continue
		}
		failures++
		if o.failed && i >= len(h.outcomes)-recentOutcomes {
			recent++
		}
	}
	switch {
	case failures > spec.MaxFailedHosts:
		return fmt.Sprintf("%d hosts failed, %d are allowed; repair them and raise resumeGeneration to go on", failures, spec.MaxFailedHosts)
	case recent >= stopRecentFailures:
		return fmt.Sprintf("%d of the last %d hosts failed; find the cause and raise resumeGeneration to go on", recent, min(recentOutcomes, len(h.outcomes)))
	}
	return ""
}

// deferredRacks returns the racks with enough failures to defer their other
// hosts.
func (h history) deferredRacks() map[string]bool {
	failures := make(map[string]int)
	deferred := make(map[string]bool)
	for _, o := range h.outcomes {
		if !o.failed {
			continue
		}
		key := rackKey(o.zone, o.rack)
		failures[key]++
		if failures[key] >= rackFailures {
			deferred[key] = true
		}
	}
	return deferred
}

func rackKey(zone, rack string) string { return zone + "/" + rack }
