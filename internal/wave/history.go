package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// How a wave's width follows its hosts' fates.
const (
	// recentOutcomes is how far back a failure looks for others like it, and
	// over how many outcomes the share of failures is taken.
	recentOutcomes = 8
	// stopRecentFailures of the recent outcomes stop a wave whatever the
	// record allows in all: half of the hosts don't come back.
	stopRecentFailures = recentOutcomes / 2
	// aloneDivisor shrinks the width on a failure that has no like; one in the
	// same zone among the recent outcomes shrinks it by zoneDivisor, and one in
	// the same rack to a single host.
	aloneDivisor = 2
	zoneDivisor  = 4
	// rackFailures in one rack put the rack's other hosts last.
	rackFailures = 2
)

// outcome is the end of one visit that says something about the wave.
type outcome struct {
	host     string
	zone     string
	rack     string
	sequence int
	failed   bool
	late     bool
}

// history is what the hosts' records tell of a wave so far. Every controller
// derives the same one, so the wave's width survives fail-over.
type history struct {
	// outcomes are those of the present generation, in order: an operator who
	// resumes a stopped wave starts it small and with a clean slate.
	outcomes []outcome
	// lastSequence is the highest of any generation.
	lastSequence int
	// meanSeconds is the mean time a maintained host was out, over seen hosts.
	meanSeconds float64
	seen        int
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
			h.seen++
		}
		if visit.ResumeGeneration != generation || visit.AlreadyDown {
			continue
		}
		h.outcomes = append(h.outcomes, outcome{
			host: host.Name, zone: host.Zone, rack: host.Rack, sequence: visit.Sequence,
			failed: visit.Result != hostrecord.Maintained, late: visit.RecoveredLate,
		})
	}
	if h.seen > 0 {
		h.meanSeconds = float64(total) / float64(h.seen)
	}
	slices.SortFunc(h.outcomes, func(a, b outcome) int {
		return cmp.Or(cmp.Compare(a.sequence, b.sequence), cmp.Compare(a.host, b.host))
	})
	return h
}

// width replays the outcomes: growth more hosts at once for each that came back
// whole, fewer after a failure. Hosts that are proving have shown that they
// boot, which is what waves break most: they widen it ahead of their proof.
func (h history) width(initial, limit, growth, proving int) (int, string) {
	width, why := min(initial, limit), "starting small"
	for i, o := range h.outcomes {
		switch {
		case o.failed:
			divisor, kind := h.weigh(i)
			width = max(1, width/divisor)
			why = fmt.Sprintf("shrunk after host %s failed, %s", o.host, kind)
		case !o.late && width < limit:
			width = min(limit, width+growth)
			why = "widening as hosts come back whole"
		}
	}
	width = min(limit, width+growth*proving)
	if width >= limit {
		why = "as wide as budgets and policy allow"
	}
	return width, why
}

// weigh returns by how much the failure at index i shrinks the width: failures
// that share a failure domain are likely to have one cause.
func (h history) weigh(i int) (divisor int, kind string) {
	failure := h.outcomes[i]
	divisor, kind = aloneDivisor, "alone"
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

// stop returns why the wave must start no further host, or "".
func (h history) stop(spec *record.Wave) string {
	failures, recent := 0, 0
	for i, o := range h.outcomes {
		if !o.failed && !o.late {
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

// heldRacks returns the racks whose failures put their other hosts last.
func (h history) heldRacks() map[string]bool {
	failures := make(map[string]int)
	held := make(map[string]bool)
	for _, o := range h.outcomes {
		if !o.failed {
			continue
		}
		key := rackKey(o.zone, o.rack)
		failures[key]++
		if failures[key] >= rackFailures {
			held[key] = true
		}
	}
	return held
}

func rackKey(zone, rack string) string { return zone + "/" + rack }
