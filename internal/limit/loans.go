package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/endpoint"
)

// Loan is one slot of one endpoint, borrowed from another gateway's share.
type Loan struct {
	// ID is assigned by the lender.
	ID   uint64
	Host string
}

// LoanBatch holds the loans that one lender granted in one call.
type LoanBatch struct {
	// Lender is the lender's member ID.
	Lender string
	Loans  []Loan
	// ExpiresAt is when all use of the loans must have ended, on the borrower's clock. The
	// lender counts the loans for the same duration from when it granted them; the borrower
	// measures it from before it sent the request, so its time ends first.
	ExpiresAt time.Time
	// WithConnections reports that each loan includes one of the lender's connections. Such
	// loans start no request after StartBy.
	WithConnections bool
	StartBy         time.Time
}

// Borrower borrows slots from other gateways. It must not call the limiter.
type Borrower interface {
	// Borrow requests up to count slots of the service's endpoints on the hosts from one
	// other gateway. It returns an empty batch if none are granted.
	Borrow(ctx context.Context, service string, hosts []string, count int) LoanBatch
	// Return returns loans to the lender. Delivery is best effort: the loans expire at the
	// lender anyway.
	Return(lender string, ids []uint64)
}

const (
	// borrowInterval is the delay between two borrow requests for one service.
	borrowInterval = 30 * time.Millisecond
	// borrowTimeout bounds one borrow request; a loan granted later would come too late.
	borrowTimeout = 300 * time.Millisecond
	// maxBorrowCount bounds the slots requested at once.
	maxBorrowCount = 16
)

// outgoingLoan is a slot of this gateway's share that is lent to another gateway. It
// counts as in use here, so every bound on the use of the share covers loans too.
type outgoingLoan struct {
	state *serviceState
	host  string
	timer *time.Timer
	// connection is set if one of this gateway's connections is lent with the slot.
	connection bool
	service    string
}

// loanTable holds the loans granted to other gateways.
type loanTable struct {
	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*outgoingLoan
}

// Lend lends up to count free slots of a service's endpoints, at most one per host, for
// at most hold. It lends on at most half of the hosts with a free slot, rounded up, and
// nothing while requests wait here. With connections set, each slot includes a
// connection of this gateway's share.
func (l *Limiter) Lend(service string, hosts []string, count int, hold time.Duration, connections bool) []Loan {
	state := l.stateOf(service)
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.queue.len() > 0 {
		return nil
	}
	var free []string
	for _, host := range hosts {
		if state.inUse[host] < l.shares.Allocation(service, host).Slots {
			free = append(free, host)
		}
	}
	free = free[:min(count, (len(free)+1)/2)]
	loans := make([]Loan, 0, len(free))
	connectionsShort := false
	for _, host := range free {
		if connections && !l.conns.lend(service, host) {
			connectionsShort = true
			continue
		}
		state.inUse[host]++
		entry := &outgoingLoan{state: state, service: service, host: host, connection: connections}
		loans = append(loans, Loan{ID: l.lentLoans.add(l, entry, hold), Host: host})
	}
	if connectionsShort && l.closeIdle != nil {
		// Slots are free, so idle connections must be using up the share. The next borrow
		// request finds them closed.
		go l.closeIdle()
	}
	l.metrics.lent.Add(float64(len(loans)))
	return loans
}

func (b *loanTable) add(l *Limiter, entry *outgoingLoan, hold time.Duration) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	id := b.lastID
	entry.timer = time.AfterFunc(hold, func() { l.EndLoans([]uint64{id}) })
	b.byID[id] = entry
	return id
}

// EndLoans ends loans. Those that have already ended are ignored.
func (l *Limiter) EndLoans(ids []uint64) {
	for _, id := range ids {
		l.lentLoans.mu.Lock()
		entry := l.lentLoans.byID[id]
		delete(l.lentLoans.byID, id)
		l.lentLoans.mu.Unlock()
		if entry == nil {
			continue
		}
		entry.timer.Stop()
		if entry.connection {
			l.conns.endLoan(entry.service, entry.host)
		}
		entry.state.endLoan(entry.host)
		l.dispatch(entry.state)
	}
}

// endLoan frees a slot that was lent.
func (s *serviceState) endLoan(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decrementInUse(host)
}

// incomingLoan is a loan as held by the borrower.
type incomingLoan struct {
	id        uint64
	lender    string
	host      string
	expiresAt time.Time
	// connection is set if the lender's connection is included. It is used for one request
	// at a time and closed with it; startBy is then the latest time at which the loan may
	// start a request.
	connection bool
	startBy    time.Time
	// policy is the policy under which the loan was taken; a new policy ends it.
	policy *BorrowPolicy
}

// BorrowPolicy lists the gateways from which slots may be borrowed. Setting a new
// policy ends all loans: idle ones are returned immediately, those in use when their
// request ends.
type BorrowPolicy struct{ Lenders map[string]bool }

// SetBorrowPolicy activates a new borrow policy.
func (l *Limiter) SetBorrowPolicy(policy *BorrowPolicy) {
	l.borrowPolicy.Store(policy)
	for _, state := range l.states() {
		l.returnIdleLoans(state, true)
	}
}

// LoansMatchPolicy reports whether every loan in use is from a lender that the active policy
// allows.
func (l *Limiter) LoansMatchPolicy() bool {
	policy := l.borrowPolicy.Load()
	if policy == nil {
		return true
	}
	for _, state := range l.states() {
		state.mu.Lock()
		for loan := range state.borrowedInUse {
			if !policy.Lenders[loan.lender] {
				state.mu.Unlock()
				return false
			}
		}
		state.mu.Unlock()
	}
	return true
}

// takeBorrowed returns a borrowed slot if one is idle and the request is certain to end
// before the loan expires at the lender.
func (l *Limiter) takeBorrowed(state *serviceState, ranked []endpoint.Endpoint, now, deadline time.Time) *Slot {
	if len(state.idleLoans) == 0 || deadline.IsZero() {
		return nil
	}
	for _, candidate := range ranked {
		for i, loan := range state.idleLoans {
			if loan.host != candidate.Host || deadline.After(loan.expiresAt) || loan.policy != l.borrowPolicy.Load() {
				continue
			}
			if !l.hasConnection(state, candidate, loan, now) {
				continue
			}
			state.idleLoans = append(state.idleLoans[:i], state.idleLoans[i+1:]...)
			state.borrowedInUse[loan] = true
			l.conns.register(candidate)
			return l.newBorrowedSlot(state, candidate, loan, now)
		}
	}
	return nil
}

// hasConnection reports whether a request on the loan is certain to get a connection.
func (l *Limiter) hasConnection(state *serviceState, candidate endpoint.Endpoint, loan *incomingLoan, now time.Time) bool {
	if loan.connection {
		return now.Before(loan.startBy)
	}
	ownConnections := l.shares.Allocation(candidate.Service, candidate.Host).Connections
	return ownConnections > state.inUse[loan.host]+state.borrowedInUseOn(loan.host)
}

func (s *serviceState) borrowedInUseOn(host string) int {
	count := 0
	for loan := range s.borrowedInUse {
		if loan.host == host {
			count++
		}
	}
	return count
}

func (l *Limiter) newBorrowedSlot(state *serviceState, target endpoint.Endpoint, loan *incomingLoan, since time.Time) *Slot {
	var released atomic.Bool
	return &Slot{Endpoint: target, SingleUse: loan.connection, release: func() {
		if released.Swap(true) {
			return
		}
		state.releaseLoan(loan, time.Since(since))
		l.dispatch(state)
		l.returnIdleLoans(state, false)
	}}
}

// releaseLoan makes a borrowed slot idle and records how long it was held.
func (s *serviceState) releaseLoan(loan *incomingLoan, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdTime.add(held)
	delete(s.borrowedInUse, loan)
	s.idleLoans = append(s.idleLoans, loan)
}

// addLoans adds loans to the idle ones.
func (l *Limiter) addLoans(state *serviceState, batch LoanBatch, policy *BorrowPolicy) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, loan := range batch.Loans {
		if batch.WithConnections {
			l.conns.addBorrowed(state.name, loan.Host)
		}
		state.idleLoans = append(state.idleLoans, &incomingLoan{
			id: loan.ID, lender: batch.Lender, host: loan.Host, expiresAt: batch.ExpiresAt, policy: policy,
			connection: batch.WithConnections, startBy: batch.StartBy,
		})
	}
}

// returnIdleLoans returns idle loans that no request here waits for, or all idle loans
// if all is set. A loan with a connection is kept for as long as it may start a
// request, because there is no share here to serve the next request with.
func (l *Limiter) returnIdleLoans(state *serviceState, all bool) {
	for lender, loans := range l.removeIdleLoans(state, all) {
		go l.returnLoans(state, lender, loans)
	}
}

// removeIdleLoans removes the idle loans that are no longer of use, or all of them, and
// returns them by lender.
func (l *Limiter) removeIdleLoans(state *serviceState, all bool) map[string][]*incomingLoan {
	state.mu.Lock()
	defer state.mu.Unlock()
	policy, now := l.borrowPolicy.Load(), time.Now()
	byLender := make(map[string][]*incomingLoan)
	kept := state.idleLoans[:0]
	for _, loan := range state.idleLoans {
		useful := state.queue.len() > 0 && now.Before(loan.expiresAt)
		if loan.connection {
			useful = now.Before(loan.startBy)
		}
		useful = useful && loan.policy == policy
		if useful && !all {
			kept = append(kept, loan)
			continue
		}
		if loan.connection {
			// The loan's connection may still be closing, so the loan counts as in use until then.
			state.borrowedInUse[loan] = true
		}
		byLender[loan.lender] = append(byLender[loan.lender], loan)
	}
	state.idleLoans = kept
	return byLender
}

// returnLoans returns loans once the connections included with them are closed.
func (l *Limiter) returnLoans(state *serviceState, lender string, loans []*incomingLoan) {
	ids := make([]uint64, len(loans))
	for i, loan := range loans {
		ids[i] = loan.id
		if loan.connection {
			l.conns.releaseBorrowed(state.name, loan.host, loan.expiresAt)
			state.mu.Lock()
			delete(state.borrowedInUse, loan)
			state.mu.Unlock()
		}
	}
	l.borrower.Return(lender, ids)
}

// requestLoans asks another gateway for slots in the background, with one request at a
// time per service.
func (l *Limiter) requestLoans(state *serviceState, service string, ranked []endpoint.Endpoint) {
	policy := l.borrowPolicy.Load()
	if l.borrower == nil || policy == nil || len(policy.Lenders) == 0 || !state.borrowing.CompareAndSwap(false, true) {
		return
	}
	hosts := make([]string, len(ranked))
	for i, candidate := range ranked {
		hosts[i] = candidate.Host
	}
	go func() {
		defer state.borrowing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		batch := l.borrower.Borrow(ctx, service, hosts, maxBorrowCount)
		l.acceptLoans(state, batch, policy)
		time.Sleep(borrowInterval)
	}()
}

// acceptLoans adds received loans and dispatches waiting requests to them. Loans taken
// under a policy that has since been replaced are not used and are returned. That check
// holds the lock under which a new policy clears the idle loans, so no loan under an
// old policy is missed.
func (l *Limiter) acceptLoans(state *serviceState, batch LoanBatch, policy *BorrowPolicy) {
	l.addLoans(state, batch, policy)
	l.metrics.borrowed.Add(float64(len(batch.Loans)))
	if batch.WithConnections {
		time.AfterFunc(time.Until(batch.StartBy), func() { l.returnIdleLoans(state, false) })
	}
	l.dispatch(state)
	l.returnIdleLoans(state, false)
}
