package poolmanager

import (
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/sched"
)

// maxLoggedRuns bounds the runs that are logged for one lost host.
const maxLoggedRuns = 24

// reportLosses logs and counts the hosts that were lost with runs on them.
func (m *Manager) reportLosses() {
	for _, loss := range m.pool.Losses() {
		m.Metrics.lostHosts.WithLabelValues(string(loss.Evidence)).Inc()
		m.Metrics.lostRuns.Add(float64(len(loss.Runs)))
		for _, r := range loss.Runs {
			m.Metrics.verdicts.WithLabelValues(string(r.Verdict)).Inc()
		}
		m.Log.Warn().Str("host", loss.Host).Str("evidence", string(loss.Evidence)).Bool("listed", loss.Listed).
			Dur("unheard_ms", loss.Unresponsive).Int("count", len(loss.Runs)).Array("runs", lostRuns(loss.Runs)).
			Msg("A host was lost with runs on it.")
	}
}

// lostRuns encodes the runs of a lost host for the log.
type lostRuns []sched.LostRun

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l lostRuns) MarshalZerologArray(array *zerolog.Array) {
	for _, r := range l[:min(len(l), maxLoggedRuns)] {
		array.Dict(zerolog.Dict().Str("task", r.Task.String()).Int("run", r.Run).Dur("age_ms", r.Age).Str("verdict", string(r.Verdict)).Int("crashes", r.Crashes))
	}
}
