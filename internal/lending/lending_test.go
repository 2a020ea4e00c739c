package lending

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/share"
)

type fixedView []share.Member

func (v fixedView) Member(id string) (share.Member, bool) {
	for _, m := range v {
		if m.ID == id {
			return m, true
		}
	}
	return share.Member{}, false
}

func (v fixedView) LendsTo(id string) (may, connections bool) {
	_, known := v.Member(id)
	return known, false
}

func (v fixedView) Peers() []share.Member         { return v }
func (v fixedView) LongestTimeout() time.Duration { return 10 * time.Second }

type twoSlots struct{}

func (twoSlots) Allocation(string, string) share.Allocation {
	return share.Allocation{Slots: 2, Connections: 2}
}

// lender serves a gateway with two slots of each endpoint that knows the
// borrowers.
func lender(t *testing.T, stopping bool, borrowers ...string) (*limit.Limiter, string) {
	t.Helper()
	limiter := limit.New(limit.Config{Shares: twoSlots{}})
	var view fixedView
	for _, id := range borrowers {
		view = append(view, share.Member{ID: id})
	}
	prefix, handler := (&Server{
		Self: "lender", Membership: view, Limiter: limiter, Stopping: func() bool { return stopping },
	}).Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return limiter, strings.TrimPrefix(server.URL, "http://")
}

func borrow(t *testing.T, self, address, answersAs string) (*Client, limit.LoanBatch) {
	t.Helper()
	broker := NewClient(self, fixedView{{ID: answersAs, PeerAddress: address}}, nil)
	return broker, broker.Borrow(t.Context(), "match", []string{"host-001", "host-002", "host-003"}, 16)
}

func oneLeft(string, string) share.Allocation { return share.Allocation{Slots: 0, Connections: 2} }

// A gateway borrows half of the endpoints with a free slot over the wire and
// returns them; meanwhile they count as in use at the lender.
func TestBorrowAndReturnOverTheWire(t *testing.T) {
	limiter, address := lender(t, false, "borrower")
	before := time.Now()
	broker, loans := borrow(t, "borrower", address, "lender")
	must.EqOp(t, "lender", loans.Lender)
	must.Len(t, 2, loans.Loans)
	must.False(t, loans.ExpiresAt.After(time.Now().Add(12*time.Second)))
	must.True(t, loans.ExpiresAt.After(before.Add(11*time.Second)))
	must.False(t, limiter.Within(oneLeft))
	broker.Return("lender", []uint64{loans.Loans[0].ID, loans.Loans[1].ID})
	must.True(t, limiter.Within(oneLeft))
}

// A process that isn't in the lender's view could not be waited for when the
// lender leaves; a lender that stops lends nothing; and an answer from another
// process than the one asked, which has its address now, is no loan.
func TestNothingIsLentOutsideTheView(t *testing.T) {
	limiter, address := lender(t, false, "another")
	_, loans := borrow(t, "stranger", address, "lender")
	must.Len(t, 0, loans.Loans)
	must.True(t, limiter.Within(oneLeft))

	_, address = lender(t, true, "borrower")
	_, loans = borrow(t, "borrower", address, "lender")
	must.Len(t, 0, loans.Loans)

	_, address = lender(t, false, "borrower")
	_, loans = borrow(t, "borrower", address, "predecessor")
	must.Len(t, 0, loans.Loans)
}
