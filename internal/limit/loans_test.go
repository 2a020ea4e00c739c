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

// fakeBorrower borrows from another limiter in the same process, with connections.
type fakeBorrower struct {
	lender   *Limiter
	hold     time.Duration
	returned chan uint64
}

func (b *fakeBorrower) Borrow(_ context.Context, service string, hosts []string, count int) LoanBatch {
	return LoanBatch{
		Lender: "lender", Loans: b.lender.Lend(service, hosts, count, b.hold, true),
		ExpiresAt: time.Now().Add(b.hold), WithConnections: true, StartBy: time.Now().Add(share.LoanMargin),
	}
}

func (b *fakeBorrower) Return(_ string, ids []uint64) {
	b.lender.EndLoans(ids)
	for _, id := range ids {
		b.returned <- id
	}
}

// newLimiterWithoutShare returns a limiter that has no share and borrows every slot
// that it uses.
func newLimiterWithoutShare(lender *Limiter, hold time.Duration) (*Limiter, *fakeBorrower) {
	fake := &fakeBorrower{lender: lender, hold: hold, returned: make(chan uint64, 16)}
	borrower := New(Config{Shares: &fixedShares{}, Borrower: fake})
	borrower.SetBorrowPolicy(&BorrowPolicy{Lenders: map[string]bool{"lender": true}})
	return borrower, fake
}

func dialPipe(context.Context, string, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// A gateway without a share uses a lent slot, for which the lender reserves a
// connection, and closes the connection late. If the loan were returned at once, the
// lender could open a connection above its share while the borrower's is still open.
func TestLoanIsReturnedAfterConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, _ := newLimiter(2)
		borrower, fake := newLimiterWithoutShare(lender, 12*time.Second)
		slot, err := acquire(borrower, "match", "clerk", 10*time.Second)
		must.NoError(t, err)
		must.True(t, slot.SingleUse)
		must.False(t, lender.WithinAllocation(constantAllocation(0, 0)))
		must.True(t, lender.WithinAllocation(constantAllocation(1, 1)))
		conn, err := borrower.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.NoError(t, err)
		_, err = borrower.Dialer(dialPipe)(t.Context(), "tcp", "10.0.0.1:8101")
		must.Error(t, err)
		slot.Release()
		borrower.SetBorrowPolicy(&BorrowPolicy{})
		time.Sleep(time.Second)
		must.SliceEmpty(t, receivedIDs(fake.returned))
		must.False(t, borrower.LoansMatchPolicy())
		must.NoError(t, conn.Close())
		synctest.Wait()
		must.Len(t, 1, receivedIDs(fake.returned))
		must.True(t, borrower.LoansMatchPolicy())
		time.Sleep(borrowInterval)
		must.True(t, lender.WithinAllocation(constantAllocation(0, 0)))
	})
}

// All of the lender's connections but one are open and idle. It must not lend two slots
// of the endpoint, because their connections would exceed its share, and must not
// itself open the connection that it lent.
func TestLentConnectionsCountTowardsShare(t *testing.T) {
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

// A gateway without a share is not in the membership, so a maintenance wave does not
// wait for it to learn that a host is draining. Its loans must start no request after
// share.LoanMargin, even for a caller with a short deadline, so that it does not serve
// from an old configuration for longer than the lenders lend to it.
func TestLoanWithoutShareStartsNoRequestAfterMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender, shares := newLimiter(2)
		borrower, fake := newLimiterWithoutShare(lender, time.Minute)
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
		must.Len(t, 1, receivedIDs(fake.returned))
		time.Sleep(borrowInterval)
	})
}

func constantAllocation(slots, connections int) func(string, string) share.Allocation {
	return func(string, string) share.Allocation { return share.Allocation{Slots: slots, Connections: connections} }
}

func receivedIDs(ids chan uint64) []uint64 {
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
