package poolmanager

import "auburnglade.example/glade/internal/sched"

// The labels of what was decided about a run that takes long.
const (
	stragglerWaits  = "wait"
	stragglerCopied = "copy"
	stragglerNoRoom = "no room"
)

// reportMeasured reports what a plan says about run times, copies, runs that take long,
// starts after runs that were given up, and long-running tasks that are out of service.
func (m *Manager) reportMeasured(plan sched.Plan) {
	for _, record := range plan.Runtimes {
		m.Metrics.runtimes.observe(record)
	}
	for _, record := range plan.Copies {
		m.Metrics.copies.WithLabelValues(string(record.Reason), string(record.Outcome)).Inc()
	}
	for _, straggler := range plan.Stragglers {
		m.reportStraggler(straggler)
	}
	m.reportRestarts(plan.Restarts)
	for _, absence := range plan.Absences {
		m.reportAbsence(absence)
	}
}

// reportStraggler counts and logs a decision on a run that takes long, at most twice
// for each run.
func (m *Manager) reportStraggler(d sched.StragglerDecision) {
	decision := stragglerLabel(d)
	m.Metrics.stragglers.WithLabelValues(string(d.Verdict), decision).Inc()
	m.Log.Info().Str("task", d.Task.String()).Int("run", d.Run).Str("host", d.Host).
		Str("verdict", string(d.Verdict)).Str("decision", decision).
		Float64("pace", d.Inputs.Pace).
		Float64("host_pace", d.Inputs.OnHost).Int("host_runs", d.Inputs.OnHostRuns).Int("other_jobs", d.Inputs.OtherJobs).
		Float64("elsewhere_pace", d.Inputs.Elsewhere).Int("elsewhere_runs", d.Inputs.ElsewhereRuns).
		Float64("tail_ratio", d.Inputs.TailRatio).
		Dur("still", d.Inputs.Still).Dur("still_limit", d.Inputs.StillLimit).
		Msg("A run takes long.")
}

func stragglerLabel(d sched.StragglerDecision) string {
	switch {
	case d.Copied:
		return stragglerCopied
	case d.NoRoom:
		return stragglerNoRoom
	}
	return stragglerWaits
}
