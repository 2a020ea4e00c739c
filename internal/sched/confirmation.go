package sched

import "time"

// minStartLease is the least time that a lease must last for a task to start: with less,
// its run would expire before the next renewals, and its work would be lost.
const minStartLease = time.Second

// SetConfirmed records when the store last showed that this process holds the pool. No
// lease lasts longer than LeaseTTL after that, whoever grants it and whenever: a
// successor that cannot reach a host counts from its takeover, which came later. Two
// runs of a task would go on otherwise, as the successor cannot tell a holder that was
// lost from one that is cut off.
func (p *Pool) SetConfirmed(at, now time.Time) {
	p.confirmedAt = at
	p.claimUnconfirmed = p.leaseLeft(now) < minStartLease
}

// Confirmed reports whether the claim was confirmed recently enough for starts.
func (p *Pool) Confirmed() bool { return !p.claimUnconfirmed }

// leaseLeft returns how long a lease that is granted now may last; none may be granted
// if that is not positive.
func (p *Pool) leaseLeft(now time.Time) time.Duration {
	if p.confirmedAt.IsZero() {
		return p.LeaseTTL
	}
	return min(p.LeaseTTL, p.LeaseTTL-now.Sub(p.confirmedAt))
}

// confirmedAfter reports whether the store has confirmed the claim after a moment, and
// notes that this is waited for. What this holder believes of a silent host may be overtaken
// by a successor since the last confirmation: it may have renewed leases there, or taken
// note of the success of a run whose host has ended now.
func (p *Pool) confirmedAfter(moment time.Time) bool {
	if p.confirmedAt.IsZero() || p.confirmedAt.After(moment) {
		return true
	}
	if moment.After(p.awaitedAt) {
		p.awaitedAt = moment
	}
	return false
}

// AwaitsConfirmation reports whether something waits for the next confirmation.
func (p *Pool) AwaitsConfirmation() bool { return p.awaitedAt.After(p.confirmedAt) }

// lossConfirmed reports whether a task may start as far as its last run that was given up
// is concerned.
func (p *Pool) lossConfirmed(t *task) bool {
	return len(t.givenUp) == 0 || p.confirmedAfter(t.givenUp[len(t.givenUp)-1].at)
}
