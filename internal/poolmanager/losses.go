package poolmanager

import (
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/sched"
)

// mostLostRuns bounds the runs that the log names of one lost host.
const mostLostRuns = 24

// reportLosses logs and counts the hosts that were lost with runs on them.
func (k *Manager) reportLosses() {
	for _, loss := range k.pool.Losses() {
		k.Metrics.lostHosts.WithLabelValues(string(loss.Evidence)).Inc()
		k.Metrics.lostRuns.Add(float64(len(loss.Runs)))
		for _, r := range loss.Runs {
			k.Metrics.verdicts.WithLabelValues(string(r.Verdict)).Inc()
		}
		k.Log.Warn().Str("host", loss.Host).Str("evidence", string(loss.Evidence)).Bool("listed", loss.Listed).
			Dur("unheard_ms", loss.Unresponsive).Int("count", len(loss.Runs)).Array("runs", lostRuns(loss.Runs)).
			Msg("A host was lost with runs on it.")
	}
}

// lostRuns writes the runs of a loss.
type lostRuns []sched.LostRun

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l lostRuns) MarshalZerologArray(array *zerolog.Array) {
	for _, r := range l[:min(len(l), mostLostRuns)] {
		array.Dict(zerolog.Dict().Str("task", r.Task.String()).Int("run", r.Run).Dur("age_ms", r.Age).Str("verdict", string(r.Verdict)).Int("crashes", r.Crashes))
	}
}
