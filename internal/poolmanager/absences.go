package poolmanager

import (
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/sched"
)

// absenceWarnAfter is how long a long-running task may be without a run before the
// platform counts it as lost.
const absenceWarnAfter = 6 * time.Second

// reportAbsence logs and counts a long-running task that is out of service for long, or
// was until now.
func (m *Manager) reportAbsence(a sched.Absence) {
	event, message := m.Log.Info(), "A long-running task is out of service."
	if a.Away >= absenceWarnAfter {
		event = m.Log.Warn()
	}
	if a.Reason == "" {
		message = "A long-running task is back in service."
		m.Metrics.absenceSeconds.Observe(a.Away.Seconds())
		for reason, length := range a.Waited {
			m.Metrics.absenceWaits.WithLabelValues(string(reason)).Add(length.Seconds())
		}
	}
	event.Str("task", a.Task.String()).Int("last_run", a.Run).Str("last_host", a.Host).Dur("away_ms", a.Away).Bool("since_takeover", a.SinceTakeover).
		Str("waits_for", string(a.Reason)).Dict("waited_ms", waited(a.Waited)).Int("crashes", a.Crashes).Str("reserved_host", a.Reserved).Msg(message)
}

// waited encodes how long a task has waited for each reason for the log.
func waited(lengths map[sched.WaitReason]time.Duration) *zerolog.Event {
	dict := zerolog.Dict()
	for reason, length := range lengths {
		dict.Dur(string(reason), length)
	}
	return dict
}
