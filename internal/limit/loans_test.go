package limit

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/share"
)

// oneLender lends from a limiter at once, with connections.
type oneLender struct {
	lender   *Limiter
	hold     time.Duration
	returned chan uint64
}

func (b *oneLender) Borrow(_ context.Context, service string, hosts []string, count int) LoanBatch {
	return LoanBatch{
		Lender: "lender", Loans: b.lender.Lend(service, hosts, count, b.hold, true),
		ExpiresAt: time.Now().Add(b.hold), WithConnections: true, StartBy: time.Now().Add(share.LoanMargin),
	}
}

func (b *oneLender) Return(_ string, ids []uint64) {
	b.lender.EndLoans(ids)
	for _, id := range ids {
		b.returned <- id
	}
}

// withoutShare returns a limiter that has no share and borrows all it uses.
func withoutShare(lender *Limiter, hold time.Duration) (*Limiter, *oneLender) {
	broker := &oneLender{lender: lender, hold: hold, returned: make(chan uint64, 16)}
	borrower := New(Config{Shares: &fixedShares{}, Borrower: broker})
	borrower.SetTerms(&BorrowPolicy{Lenders: map[string]bool{"lender": true}})
	return borrower, broker
}

func dialPipe(context.Context, string, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// A gateway without a share works on a lent slot, for which the lender sets a
// connection aside. It closes the connection late. Were the loan returned at
// once, the lender could open one more connection than its share while the
// borrower's is still open.
func TestLoanIsReturnedAfterItsConnectionClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, _ := newLimiter(2)
		borrower, broker := withoutShare(lender, 12*time.Second)
		slot, err := acquire(borrower, "match", "clerk", 10*time.Second)
		must.NoError(t, err)
		must.True(t, slot.SingleUse)
		must.False(t, lender.Within(units(0, 0)))
		must.True(t, lender.Within(units(1, 1)))
		conn, err := borrower.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.NoError(t, err)
		_, err = borrower.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.Error(t, err)
		slot.Release()
		borrower.SetTerms(&BorrowPolicy{})
		time.Sleep(time.Second)
		must.SliceEmpty(t, drained(broker.returned))
		must.False(t, borrower.OwesOnly())
		must.NoError(t, conn.Close())
		synctest.Wait()
		must.Len(t, 1, drained(broker.returned))
		must.True(t, borrower.OwesOnly())
		time.Sleep(askInterval)
		must.True(t, lender.Within(units(0, 0)))
	})
}

// All of the lender's connections but one are open, and idle. It may not lend
// two slots of the endpoint, whose connections would be one too many, and may
// not open the one that it lent.
func TestLentConnectionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, _ := newLimiter(2)
		slot, err := acquire(lender, "match", "clerk", 10*time.Second)
		must.NoError(t, err)
		conn, err := lender.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.NoError(t, err)
		slot.Release()
		must.Len(t, 1, lender.Lend("match", []string{"host-001"}, 1, time.Minute, true))
		must.SliceEmpty(t, lender.Lend("match", []string{"host-001"}, 1, time.Minute, true))
		_, err = lender.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.Error(t, err)
		time.Sleep(time.Minute)
		must.Len(t, 1, lender.Lend("match", []string{"host-001"}, 1, time.Minute, true))
		must.NoError(t, conn.Close())
	})
}

// A gateway without a share isn't in the membership: a wave doesn't wait for it
// to know that a host leaves. What it borrowed starts nothing after a few
// seconds, also for a caller with a short deadline, so that it serves by an old
// configuration for no longer than the lenders lend to it.
func TestLoanWithoutShareStartsNothingLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, shares := newLimiter(2)
		borrower, broker := withoutShare(lender, time.Minute)
		slot, err := acquire(borrower, "match", "clerk", time.Second)
		must.NoError(t, err)
		slot.Release()
		shares.set(share.Allocation{})
		time.Sleep(share.LoanMargin / 2)
		slot, err = acquire(borrower, "match", "clerk", time.Second)
		must.NoError(t, err)
		time.Sleep(share.LoanMargin)
		time.AfterFunc(time.Second/10, slot.Release)
		_, err = acquire(borrower, "match", "clerk", time.Second)
		must.Error(t, err)
		synctest.Wait()
		must.Len(t, 1, drained(broker.returned))
		time.Sleep(askInterval)
	})
}

func units(slots, connections int) func(string, string) share.Allocation {
	return func(string, string) share.Allocation { return share.Allocation{Slots: slots, Connections: connections} }
}

func drained(ids chan uint64) []uint64 {
	var list []uint64
	for {
		select {
		case id := <-ids:
			list = append(list, id)
		default:
			return list
		}
	}
}
