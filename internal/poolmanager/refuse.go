package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/overload"
	"auburnglade.example/glade/internal/work"
)

// Reply is the reply to a submitted job.
type Reply struct {
	Result Result
	// RetryAfter is when the client should come back, for NoRoom and OverShare.
	RetryAfter time.Duration
}

// refusalConfirmation is how recently the store must have confirmed the claim for a job
// to be refused for want of room. The inbox may hold the job from an earlier attempt, and
// a holder that has no store doesn't see it: it would call a job not run that is to run.
const refusalConfirmation = 1500 * time.Millisecond

// inboxMaxAge is how long ago the inbox must have been known in full for a job to be
// refused for want of room: a quiet inbox is confirmed every 1.3 s. Reading it may fail, or
// hang, while the claim is confirmed.
const inboxMaxAge = 2 * time.Second

var refusalResults = map[overload.Reason]Result{overload.NoRoom: NoRoom, overload.OverShare: OverShare}

// refusal decides whether a job that this process has never seen is refused for want of
// memory or room. It returns the record to store otherwise: a client that came back as it
// was told has the time of its first attempt.
func (m *Manager) refusal(record *work.JobRecord) (accepted *work.JobRecord, reply Reply) {
	now := time.Now()
	if m.knows(record.ID) || !m.seesStore(now) {
		return record, Reply{}
	}
	if m.refusedForMemory(record) {
		return nil, Reply{NoRoom, memoryRetryAfter}
	}
	weights := m.weights()
	if len(weights) == 0 {
		return record, Reply{}
	}
	first := m.refuser.FirstAttempt(record.ID, now)
	forecast := m.pool.Forecast(record, first, now)
	if !forecast.Worthwhile && first.Before(now) {
		// Its time is over, and its client has come back all the same: it is served like
		// a new one if there is room by now.
		first = now
		forecast = m.pool.Forecast(record, first, now)
	}
	decision := m.refuser.Decide(record.ID, forecast, overload.Share(record.Organisation, weights), now)
	if decision.Refused() {
		m.Metrics.refusals.WithLabelValues(string(decision.Reason)).Inc()
		m.Log.Info().Str("job", record.ID).Str("queue", record.Queue.Name).Str("organisation", record.Organisation).Str("reason", string(decision.Reason)).
			Float64("own_core_s", forecast.Own).Float64("ahead_core_s", forecast.Ahead).Float64("returning_core_s", decision.Returning).Float64("cores", forecast.Cores).
			Float64("organisation_core_s", forecast.OrganisationWork).Float64("all_core_s", forecast.TotalWork).
			Dur("age_ms", forecast.Age).Dur("retry_after_ms", decision.RetryAfter).Msg("A job was refused for want of room.")
		return nil, Reply{refusalResults[decision.Reason], decision.RetryAfter}
	}
	if waited := now.Sub(first); waited > 0 {
		returned := *record
		returned.ArrivedMs -= waited.Milliseconds()
		record = &returned
	}
	return record, Reply{}
}

// seesStore reports whether this process has lately seen in the store that it holds the
// pool, and what other entry hosts left in the inbox.
func (m *Manager) seesStore(now time.Time) bool {
	return m.confirmationAge(now) <= refusalConfirmation && elapsed.Between(m.inboxCurrentAt, now) <= inboxMaxAge
}

// knows reports whether a job was submitted before and may be stored.
func (m *Manager) knows(id string) bool {
	return m.submissions[id] != nil || m.pool.Has(id)
}

// weights returns the weights of the organisations, nil where none has one.
func (m *Manager) weights() map[string]int {
	if m.Limits == nil {
		return nil
	}
	return m.Limits.Limits().Weights
}
