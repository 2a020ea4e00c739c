package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/endpoint"
)

// Loan is one slot of one endpoint that belongs to another gateway's share.
type Loan struct {
	// ID is the lender's.
	ID   uint64
	Host string
}

// LoanBatch is what one lender lent at once.
type LoanBatch struct {
	// Lender is its member ID.
	Lender string
	Loans  []Loan
	// ExpiresAt is when, on the borrower's clock, everything done with them must
	// have ended: the lender counts them for that long from when it lent them,
	// and the borrower from before it asked.
	ExpiresAt time.Time
	// WithConnections says that each loan brings one of the lender's connections
	// along. Such loans start nothing after StartBy.
	WithConnections bool
	StartBy         time.Time
}

// Borrower borrows slots from other gateways. It must not call the limiter.
type Borrower interface {
	// Borrow asks one other gateway for up to count slots of the service's
	// endpoints on the hosts. It returns no loans when it gets none.
	Borrow(ctx context.Context, service string, hosts []string, count int) LoanBatch
	// Return hands loans back. It may get lost: the lender's count ends anyway.
	Return(lender string, ids []uint64)
}

const (
	// askInterval is the pause between two askings for one service.
	askInterval = 30 * time.Millisecond
	// askTimeout bounds one asking: after that the loan would come too late.
	askTimeout = 300 * time.Millisecond
	// maxAsked bounds the slots asked for at once.
	maxAsked = 16
)

// lent is a slot of this gateway's share that another one uses. It counts as
// in use here, so all that bounds the use of the share bounds loans too.
type lent struct {
	state *serviceState
	host  string
	timer *time.Timer
	// connection is set when one of this gateway's connections is lent too.
	connection bool
	service    string
}

// lendBook holds what is lent.
type lendBook struct {
	mu   sync.Mutex
	next uint64
	lent map[uint64]*lent
}

// Lend lends up to count free slots of a service's endpoints for hold at most.
// It keeps half of what is free, and all while requests wait here. With
// connections, a connection of this gateway's share goes with each slot.
func (l *Limiter) Lend(service string, hosts []string, count int, hold time.Duration, connections bool) []Loan {
	state := l.service(service)
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
	short := false
	for _, host := range free {
		if connections && !l.gate.lend(service, host) {
			short = true
			continue
		}
		state.inUse[host]++
		entry := &lent{state: state, service: service, host: host, connection: connections}
		loans = append(loans, Loan{ID: l.book.add(l, entry, hold), Host: host})
	}
	if short && l.closeIdle != nil {
		// Slots are free, so idle connections fill the share: the next asking
		// finds them closed.
		go l.closeIdle()
	}
	l.metrics.lent.Add(float64(len(loans)))
	return loans
}

func (b *lendBook) add(l *Limiter, entry *lent, hold time.Duration) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	id := b.next
	entry.timer = time.AfterFunc(hold, func() { l.EndLoans([]uint64{id}) })
	b.lent[id] = entry
	return id
}

// EndLoans ends loans; one that has ended already is passed over.
func (l *Limiter) EndLoans(ids []uint64) {
	for _, id := range ids {
		l.book.mu.Lock()
		entry := l.book.lent[id]
		delete(l.book.lent, id)
		l.book.mu.Unlock()
		if entry == nil {
			continue
		}
		entry.timer.Stop()
		if entry.connection {
			l.gate.takeBack(entry.service, entry.host)
		}
		entry.state.takeBack(entry.host)
		l.dispatch(entry.state)
	}
}

// takeBack ends the use of a slot that was lent.
func (s *serviceState) takeBack(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBack(host)
}

// borrowed is a loan at the borrower.
type borrowed struct {
	id     uint64
	lender string
	host   string
	until  time.Time
	// connection is set when the lender's connection came with it, which is
	// used for one request at a time and closed with it; startBy is then when
	// the loan starts its last request.
	connection bool
	startBy    time.Time
	// terms are those it was taken under; other terms end it.
	terms *BorrowPolicy
}

// BorrowPolicy say from whom slots may be borrowed. New ones end all loans: what is
// idle is returned, what is in use when its request ends.
type BorrowPolicy struct{ Lenders map[string]bool }

// SetTerms puts new terms in force.
func (l *Limiter) SetTerms(terms *BorrowPolicy) {
	l.terms.Store(terms)
	for _, state := range l.states() {
		l.returnIdle(state, true)
	}
}

// OwesOnly reports whether every loan in use is from a lender under the terms
// in force.
func (l *Limiter) OwesOnly() bool {
	terms := l.terms.Load()
	if terms == nil {
		return true
	}
	for _, state := range l.states() {
		state.mu.Lock()
		for loan := range state.borrowedInUse {
			if !terms.Lenders[loan.lender] {
				state.mu.Unlock()
				return false
			}
		}
		state.mu.Unlock()
	}
	return true
}

// takeBorrowed returns a slot on a borrowed one, if the request is sure to end
// while the lender still counts it.
func (l *Limiter) takeBorrowed(state *serviceState, ranked []endpoint.Endpoint, now, ends time.Time) *Slot {
	if len(state.idleLoans) == 0 || ends.IsZero() {
		return nil
	}
	for _, candidate := range ranked {
		for i, loan := range state.idleLoans {
			if loan.host != candidate.Host || ends.After(loan.until) || loan.terms != l.terms.Load() {
				continue
			}
			if !l.connects(state, candidate, loan, now) {
				continue
			}
			state.idleLoans = append(state.idleLoans[:i], state.idleLoans[i+1:]...)
			state.borrowedInUse[loan] = true
			l.gate.know(candidate)
			return l.borrowedSlot(state, candidate, loan, now)
		}
	}
	return nil
}

// connects reports whether a request on the loan has a connection for sure.
func (l *Limiter) connects(state *serviceState, candidate endpoint.Endpoint, loan *borrowed, now time.Time) bool {
	if loan.connection {
		return now.Before(loan.startBy)
	}
	own := l.shares.Allocation(candidate.Service, candidate.Host).Connections
	return own > state.inUse[loan.host]+state.borrowedOf(loan.host)
}

func (s *serviceState) borrowedOf(host string) int {
	count := 0
	for loan := range s.borrowedInUse {
		if loan.host == host {
			count++
		}
	}
	return count
}

func (l *Limiter) borrowedSlot(state *serviceState, taken endpoint.Endpoint, loan *borrowed, since time.Time) *Slot {
	var released atomic.Bool
	return &Slot{Endpoint: taken, SingleUse: loan.connection, release: func() {
		if released.Swap(true) {
			return
		}
		state.releaseLoan(loan, time.Since(since))
		l.dispatch(state)
		l.returnIdle(state, false)
	}}
}

// releaseLoan ends the use of a borrowed slot that was held for some time.
func (s *serviceState) releaseLoan(loan *borrowed, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.add(held)
	delete(s.borrowedInUse, loan)
	s.idleLoans = append(s.idleLoans, loan)
}

// keep adds loans to those that wait for use.
func (l *Limiter) keep(state *serviceState, got LoanBatch, terms *BorrowPolicy) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, loan := range got.Loans {
		if got.WithConnections {
			l.gate.borrow(state.name, loan.Host)
		}
		state.idleLoans = append(state.idleLoans, &borrowed{
			id: loan.ID, lender: got.Lender, host: loan.Host, until: got.ExpiresAt, terms: terms,
			connection: got.WithConnections, startBy: got.StartBy,
		})
	}
}

// returnIdle returns loans that nobody here waits for, or all idle ones. One
// that brought its connection is kept for as long as it may start a request:
// there is no share here to serve the next one with.
func (l *Limiter) returnIdle(state *serviceState, all bool) {
	for lender, loans := range l.idle(state, all) {
		go l.handBack(state, lender, loans)
	}
}

// idle takes out the loans that are of no use here, or all, by lender.
func (l *Limiter) idle(state *serviceState, all bool) map[string][]*borrowed {
	state.mu.Lock()
	defer state.mu.Unlock()
	terms, now := l.terms.Load(), time.Now()
	byLender := make(map[string][]*borrowed)
	kept := state.idleLoans[:0]
	for _, loan := range state.idleLoans {
		useful := state.queue.len() > 0 && now.Before(loan.until)
		if loan.connection {
			useful = now.Before(loan.startBy)
		}
		useful = useful && loan.terms == terms
		if useful && !all {
			kept = append(kept, loan)
			continue
		}
		if loan.connection {
			// Its connection may still be closing.
			state.borrowedInUse[loan] = true
		}
		byLender[loan.lender] = append(byLender[loan.lender], loan)
	}
	state.idleLoans = kept
	return byLender
}

// handBack returns loans once the connections that came with them are closed.
func (l *Limiter) handBack(state *serviceState, lender string, loans []*borrowed) {
	ids := make([]uint64, len(loans))
	for i, loan := range loans {
		ids[i] = loan.id
		if loan.connection {
			l.gate.surrender(state.name, loan.host, loan.until)
			state.mu.Lock()
			delete(state.borrowedInUse, loan)
			state.mu.Unlock()
		}
	}
	l.broker.Return(lender, ids)
}

// borrow asks another gateway for slots, one asking at a time per service.
func (l *Limiter) borrow(state *serviceState, service string, ranked []endpoint.Endpoint) {
	terms := l.terms.Load()
	if l.broker == nil || terms == nil || len(terms.Lenders) == 0 || !state.asking.CompareAndSwap(false, true) {
		return
	}
	hosts := make([]string, len(ranked))
	for i, candidate := range ranked {
		hosts[i] = candidate.Host
	}
	go func() {
		defer state.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		got := l.broker.Borrow(ctx, service, hosts, maxAsked)
		l.receive(state, got, terms)
		time.Sleep(askInterval)
	}()
}

// receive puts loans to use if the terms they were asked under still hold. The
// check is under the lock that new terms clear the loans under.
func (l *Limiter) receive(state *serviceState, got LoanBatch, terms *BorrowPolicy) {
	l.keep(state, got, terms)
	l.metrics.borrowed.Add(float64(len(got.Loans)))
	if got.WithConnections {
		time.AfterFunc(time.Until(got.StartBy), func() { l.returnIdle(state, false) })
	}
	l.dispatch(state)
	l.returnIdle(state, false)
}
