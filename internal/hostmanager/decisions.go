package hostmanager

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// maxLoggedDecisions bounds the log lines of one plan.
const maxLoggedDecisions = 8

// Decision summarizes the moves of one plan to one pool for one reason.
type Decision struct {
	To     string
	Reason Reason
	// From is how many hosts each pool gives, IdleHosts and BusyHosts how many of them
	// are idle and busy.
	From                 map[string]int
	IdleHosts, BusyHosts int
	// Demand and ReportAge are those of the pool's report that led to the decision.
	Demand    []DemandTier
	ReportAge time.Duration
}

func (d *Decision) hosts() int { return d.IdleHosts + d.BusyHosts }

// Decisions summarizes the moves of a plan, the decisions that move most hosts first.
func Decisions(moves []Move, views []PoolView) []Decision {
	type key struct {
		to     string
		reason Reason
	}
	byKey := make(map[key]*Decision)
	for _, move := range moves {
		k := key{move.To, move.Reason}
		d := byKey[k]
		if d == nil {
			d = &Decision{To: move.To, Reason: move.Reason, From: make(map[string]int)}
			byKey[k] = d
		}
		d.From[move.Host.Pool]++
		if move.Busy {
			d.BusyHosts++
		} else {
			d.IdleHosts++
		}
	}
	reports := make(map[string]*PoolView, len(views))
	for i := range views {
		reports[views[i].Name] = &views[i]
	}
	decisions := make([]Decision, 0, len(byKey))
	for _, d := range byKey {
		if v := reports[d.To]; v != nil {
			d.Demand, d.ReportAge = v.Load.Demand, v.ReportAge
		}
		decisions = append(decisions, *d)
	}
	slices.SortFunc(decisions, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(b.hosts(), a.hosts()), cmp.Compare(a.To, b.To), cmp.Compare(a.Reason, b.Reason))
	})
	return decisions
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t DemandTier) MarshalZerologObject(e *zerolog.Event) {
	e.Int("milli", t.MilliCPU).Float64("value", t.Value)
}

// logDecisions logs what a plan decided.
func (m *Manager) logDecisions(decisions []Decision) {
	for _, d := range decisions[:min(len(decisions), maxLoggedDecisions)] {
		demand := zerolog.Arr()
		for _, tier := range d.Demand {
			demand.Object(tier)
		}
		m.Log.Info().Str("to", d.To).Str("reason", string(d.Reason)).Interface("from", d.From).Int("idle", d.IdleHosts).Int("busy", d.BusyHosts).
			Array("demand", demand).Dur("report_age", d.ReportAge).Msg("Allocated hosts.")
	}
	if left := len(decisions) - maxLoggedDecisions; left > 0 {
		m.Log.Info().Int("pools", left).Msg("Allocated hosts to further pools.")
	}
}
