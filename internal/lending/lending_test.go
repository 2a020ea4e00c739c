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

type fixedMembership []share.Member

func (f fixedMembership) Member(id string) (share.Member, bool) {
	for _, m := range f {
		if m.ID == id {
			return m, true
		}
	}
	return share.Member{}, false
}

func (f fixedMembership) LendsTo(id string) (allowed, connections bool) {
	_, known := f.Member(id)
	return known, false
}

func (f fixedMembership) Peers() []share.Member         { return f }
func (f fixedMembership) LongestTimeout() time.Duration { return 10 * time.Second }

type twoSlotShares struct{}

func (twoSlotShares) Allocation(string, string) share.Allocation {
	return share.Allocation{Slots: 2, Connections: 2}
}

// lender serves a gateway that has two slots of each endpoint and lends to the
// borrowers.
func lender(t *testing.T, stopping bool, borrowers ...string) (*limit.Limiter, string) {
	t.Helper()
	limiter := limit.New(limit.Config{Shares: twoSlotShares{}})
	var members fixedMembership
	for _, id := range borrowers {
		members = append(members, share.Member{ID: id})
	}
	prefix, handler := (&Server{
		Self: "lender", Membership: members, Limiter: limiter, Stopping: func() bool { return stopping },
	}).Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return limiter, strings.TrimPrefix(server.URL, "http://")
}

func borrow(t *testing.T, self, address, respondsAs string) (*Client, limit.LoanBatch) {
	t.Helper()
	client := NewClient(self, fixedMembership{{ID: respondsAs, PeerAddress: address}}, nil)
	return client, client.Borrow(t.Context(), "match", []string{"host-001", "host-002", "host-003"}, 16)
}

func connectionsOnly(string, string) share.Allocation {
	return share.Allocation{Slots: 0, Connections: 2}
}

// A gateway borrows slots on half of the endpoints that have a free one, over HTTP, and
// returns them. In between they must count as in use at the lender.
func TestBorrowAndReturnOverHTTP(t *testing.T) {
	limiter, address := lender(t, false, "borrower")
	before := time.Now()
	client, loans := borrow(t, "borrower", address, "lender")
	must.EqOp(t, "lender", loans.Lender)
	must.Len(t, 2, loans.Loans)
	must.False(t, loans.ExpiresAt.After(time.Now().Add(12*time.Second)))
	must.True(t, loans.ExpiresAt.After(before.Add(11*time.Second)))
	must.False(t, limiter.WithinAllocation(connectionsOnly))
	client.Return("lender", []uint64{loans.Loans[0].ID, loans.Loans[1].ID})
	must.True(t, limiter.WithinAllocation(connectionsOnly))
}

// Nothing must be lent to a process outside the lender's membership, because nobody
// would wait for it when the lender leaves. A lender that is stopping must lend
// nothing. A response from a process other than the one addressed, which has taken over
// its address, must not be accepted as a loan.
func TestNothingIsLentOutsideMembership(t *testing.T) {
	limiter, address := lender(t, false, "another")
	_, loans := borrow(t, "stranger", address, "lender")
	must.Len(t, 0, loans.Loans)
	must.True(t, limiter.WithinAllocation(connectionsOnly))

	_, address = lender(t, true, "borrower")
	_, loans = borrow(t, "borrower", address, "lender")
	must.Len(t, 0, loans.Loans)

	_, address = lender(t, false, "borrower")
	_, loans = borrow(t, "borrower", address, "predecessor")
	must.Len(t, 0, loans.Loans)
}
