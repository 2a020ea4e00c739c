package poolmanager

import (
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/sched"
)

// maxLoggedRuns bounds the runs that are logged for one lost host.
const maxLoggedRuns = 24

// reportLosses logs and counts the hosts that were lost with runs on them, and those that
// restarted under their ID.
func (m *Manager) reportLosses() {
	for _, h := range m.pool.UnansweredHosts() {
		m.Log.Warn().Str("host", h.Host).Str("evidence", string(h.Evidence)).Dur("waited_ms", h.Waited).Msg("A host of the previous holder did not answer; nothing runs there any more.")
	}
	for _, loss := range m.pool.Losses() {
		m.Metrics.lostHosts.WithLabelValues(string(loss.Evidence)).Inc()
		m.Metrics.lostRuns.Add(float64(len(loss.Runs)))
		for _, r := range loss.Runs {
			m.Metrics.verdicts.WithLabelValues(string(r.Verdict)).Inc()
		}
		m.Log.Warn().Str("host", loss.Host).Int64("born", loss.Born).Int64("restarted", loss.Restarted).Int64("fence", loss.Fence).Int("unsettled", loss.Unsettled).Str("evidence", string(loss.Evidence)).Bool("listed", loss.Listed).
			Dur("unheard_ms", loss.Unresponsive).Dur("since_order_ms", loss.SinceOrder).Dur("lease_left_ms", loss.LeaseLeft).Bool("refused", loss.Refused).Dur("refused_after_ms", loss.RefusedAfter).
			Int("lost_together", loss.LostTogether).Int("unexplained", loss.Unexplained).Int("count", len(loss.Runs)).Array("runs", lostRuns(loss.Runs)).
			Msg(lossMessage(loss))
	}
}

// reportHeardAgain logs and counts the runs that were given up and reported afterwards.
func (m *Manager) reportHeardAgain() {
	for _, h := range m.pool.HeardAgain() {
		m.Metrics.heardAgain.WithLabelValues(string(h.Evidence), string(h.End)).Inc()
		m.Log.Warn().Str("task", h.Task.String()).Int("run", h.Run).Str("host", h.Host).Str("evidence", string(h.Evidence)).
			Str("end", string(h.End)).Dur("after_ms", h.After).Msg("A run that was given up was heard of again.")
	}
}

// reportRestarts logs the starts of tasks whose last run was given up.
func (m *Manager) reportRestarts(restarts []sched.Restart) {
	for _, r := range restarts {
		m.Log.Info().Str("task", r.Task.String()).Int("run", r.Run).Str("host", r.Host).Int("previous", r.Previous).Str("previous_host", r.PreviousHost).
			Str("evidence", string(r.Evidence)).Dur("since_order_ms", r.SinceOrder).Dur("since_given_up_ms", r.SinceGivenUp).Msg("A task starts again after a run that was given up.")
	}
}

func lossMessage(loss sched.Loss) string {
	if loss.Restarted != 0 {
		return "A host has restarted under its ID."
	}
	return "A host was lost with runs on it."
}

// lostRuns encodes the runs of a lost host for the log.
type lostRuns []sched.LostRun

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l lostRuns) MarshalZerologArray(array *zerolog.Array) {
	for _, r := range l[:min(len(l), maxLoggedRuns)] {
		array.Dict(zerolog.Dict().Str("task", r.Task.String()).Int("run", r.Run).Dur("age_ms", r.Age).Bool("seen", r.Seen).
			Bool("alone", r.Alone).Str("verdict", string(r.Verdict)).Int("crashes", r.Crashes))
	}
}

// crashes encodes the crashes for which a job was failed for the log.
type crashes []sched.Crash

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (c crashes) MarshalZerologArray(array *zerolog.Array) {
	for _, crash := range c {
		array.Dict(zerolog.Dict().Int("run", crash.Run).Str("proof", string(crash.Proof)).Str("host", crash.Host).Bool("seen", crash.Seen).
			Dur("executed_ms", crash.Executed).Bool("alone", crash.Alone).Int("lost_together", crash.LostTogether).Int("unexplained", crash.Unexplained))
	}
}
