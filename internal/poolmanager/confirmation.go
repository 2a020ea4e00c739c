package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const (
	// confirmAfter is the age of the claim's confirmation from which the store is asked
	// for another one: each lease is shorter by that age. Commits confirm the claim as well,
	// and so does the watch of claims once a second, between two of which one question is
	// asked.
	confirmAfter = 550 * time.Millisecond
	// confirmInterval is the least time between two questions, awaitedInterval while
	// something waits for the answer.
	confirmInterval = 400 * time.Millisecond
	awaitedInterval = 100 * time.Millisecond
	// confirmTimeout bounds one question; the next one does not wait for it.
	confirmTimeout = 1500 * time.Millisecond
)

// ConfirmClaim records that no other process had taken over the pool at the moment at.
func (m *Manager) ConfirmClaim(at time.Time) {
	m.enqueue(context.Background(), func() { m.confirmed(at) })
}

func (m *Manager) confirmed(at time.Time) {
	if at.After(m.claimConfirmedAt) {
		m.claimConfirmedAt = at
	}
}

// confirmationAge returns how long ago the claim was last confirmed. A holder that was
// suspended has been replaced, and would start and renew for as long again otherwise.
func (m *Manager) confirmationAge(now time.Time) time.Duration {
	return elapsed.Between(m.claimConfirmedAt, now)
}

// confirm tells the pool when the claim was last confirmed.
func (m *Manager) confirm(now time.Time) {
	m.pool.SetConfirmed(now.Add(-m.confirmationAge(now)), now)
}

// askForConfirmation asks the store who has taken over the pool last, unless that was
// known a moment ago and nothing waits for it.
func (m *Manager) askForConfirmation(now time.Time) {
	due, interval := m.confirmationAge(now) >= confirmAfter, confirmInterval
	if m.pool.AwaitsConfirmation() {
		due, interval = true, awaitedInterval
	}
	if !due || now.Sub(m.confirmationAskedAt) < interval {
		return
	}
	m.confirmationAskedAt = now
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, confirmTimeout)
		defer cancel()
		entry, err := m.Store.Get(ctx, poolstore.FenceKey(m.Pool))
		m.enqueuePart(m.ctx, partCommits, func() { m.applyConfirmation(entry, err, now) })
	}()
}

// applyConfirmation applies the answer to a question that was asked at sent. A failure is
// not logged here: confirmations that are missing for long are.
func (m *Manager) applyConfirmation(entry store.Entry, err error, sent time.Time) {
	if err != nil {
		m.Metrics.confirmations.WithLabelValues("failed").Inc()
		return
	}
	if entry.ModRevision != m.takeover.Revision {
		m.Metrics.confirmations.WithLabelValues("replaced").Inc()
		m.Log.Warn().Int64("fence", m.takeover.Head.Fence).Int64("revision", int64(entry.ModRevision)).Msg("The store shows a later takeover of the pool.")
		m.pool.SetFenced()
		return
	}
	m.Metrics.confirmations.WithLabelValues("confirmed").Inc()
	m.confirmed(sent)
}

// noteConfirmation logs when the confirmation of the claim has become too old, and when
// there is a new one.
func (m *Manager) noteConfirmation(now time.Time) {
	confirmed := m.pool.Confirmed()
	if confirmed != m.confirmationLost {
		return
	}
	m.confirmationLost = !confirmed
	age := m.confirmationAge(now)
	if confirmed {
		m.Log.Info().Int64("fence", m.takeover.Head.Fence).Dur("age_ms", age).Msg("The store has confirmed the claim again.")
		return
	}
	m.Log.Warn().Int64("fence", m.takeover.Head.Fence).Dur("age_ms", age).Msg("The store has not confirmed the claim for too long; nothing starts, and leases on hosts run out.")
}
