package atmostonce

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// inBubble runs a test in virtual time with one world of grouped gateways.
func inBubble(t *testing.T, gateways int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := &world{store: memstore.New(), makeNode: makeGrouped, runs: make(map[int][]time.Time), first: make(map[int]string)}
		w.heal()
		ctx, cancel := context.WithCancel(context.Background())
		defer w.wait.Wait()
		defer cancel()
		for i := range gateways {
			w.start(ctx, i)
		}
		test(w)
	})
}

func request(key string) Request {
	return Request{ID: NewID("offers", "", key), Fingerprint: NewFingerprint("POST", "/"+key, nil), Window: modelWindow}
}

func claimed(t *testing.T, n *node, key string) *GrantedClaim {
	t.Helper()
	ticket, verdict, err := n.keeper.Begin(context.Background(), request(key))
	must.NoError(t, err)
	must.EqOp(t, Granted, verdict.State)
	return ticket
}

func found(t *testing.T, n *node, key string) ClaimOutcome {
	t.Helper()
	ticket, verdict, err := n.keeper.Begin(context.Background(), request(key))
	must.NoError(t, err)
	must.Nil(t, ticket)
	return verdict
}

// A gateway claims a key and is paused until the claim has expired and the key
// has run elsewhere. When it wakes it must not send: the offer would be issued
// a second time.
func TestPausedGatewayDoesNotSendUnderAnOldClaim(t *testing.T) {
	inBubble(t, 2, func(w *world) {
		ticket := claimed(t, w.nodes[0], "offer")
		must.True(t, ticket.MaySend())
		time.Sleep(modelWindow)
		must.False(t, ticket.MaySend())
		time.Sleep(modelRetention)
		must.True(t, claimed(t, w.nodes[1], "offer").MaySend())
		must.False(t, ticket.MaySend())
	})
}

// A gateway is killed after its claim; its caller repeats elsewhere. First the
// attempt may still be running, later its answer is lost for good. Neither is
// ever taken for free within the retention.
func TestClaimOfKilledGatewayIsNeverTakenOver(t *testing.T) {
	inBubble(t, 2, func(w *world) {
		claimed(t, w.nodes[0], "offer")
		w.kill(w.nodes[0])
		must.EqOp(t, InProgress, found(t, w.nodes[1], "offer").State)
		time.Sleep(modelWindow)
		must.EqOp(t, OutcomeUnknown, found(t, w.nodes[1], "offer").State)
		time.Sleep(modelRetention - 2*modelWindow)
		must.EqOp(t, OutcomeUnknown, found(t, w.nodes[1], "offer").State)
	})
}

// The claim's write takes effect, its answer is lost, and the store goes down
// before the gateway can look. The caller is refused as not run. The key must
// be free again once the store is back, although the claim was written.
func TestClaimWithLostAnswerIsFreedAfterOutage(t *testing.T) {
	inBubble(t, 1, func(w *world) {
		claimed(t, w.nodes[0], "warm-up")
		w.store.LoseResponses(1)
		time.AfterFunc(4*time.Millisecond, func() { w.store.SetDown(true) })
		_, _, err := w.nodes[0].keeper.Begin(context.Background(), request("offer"))
		must.Error(t, err)
		w.heal()
		time.Sleep(5 * time.Second)
		claimed(t, w.nodes[0], "offer")
	})
}

// Claims run through the head into archives. A gateway that starts later must
// know every one of them, answers included, and the store's values must stay
// small and go away once they have expired.
func TestClaimsOutliveTheirGatewayAndAreRemovedInTime(t *testing.T) {
	inBubble(t, 1, func(w *world) {
		const claims = 800
		body := strings.Repeat("x", 1000)
		for i := range claims {
			ticket := claimed(t, w.nodes[0], fmt.Sprint("offer-", i))
			ticket.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: fmt.Append(nil, i, body)})
		}
		time.Sleep(time.Second)
		before := sizes(t, w.store)
		must.Greater(t, 8, len(before))
		for _, bytes := range before {
			must.LessEq(t, maxHeadBytes+maxKept, bytes)
		}
		w.kill(w.nodes[0])
		w.start(context.Background(), 0)
		for i := range claims {
			verdict := found(t, w.nodes[0], fmt.Sprint("offer-", i))
			must.EqOp(t, Answered, verdict.State)
			must.EqOp(t, fmt.Sprint(i, body), string(verdict.Response.Body))
		}
		time.Sleep(modelRetention)
		for i := range 100 {
			claimed(t, w.nodes[0], fmt.Sprint("later-", i))
		}
		must.LessEq(t, 3, len(sizes(t, w.store)))
		w.nodes[0].stop()
	})
}

// More answers come in than the store shall keep. The oldest answers go, their
// claims stay: a repeat is told that its answer is gone, and never runs again,
// whether or not the gateway is still the same.
func TestOldAnswersGoAndTheirClaimsStay(t *testing.T) {
	inBubble(t, 1, func(w *world) {
		const claims, answerBytes = 5000, 4 << 10
		body := strings.Repeat("x", answerBytes)
		for i := range claims {
			ticket := claimed(t, w.nodes[0], fmt.Sprint("offer-", i))
			ticket.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: fmt.Append(nil, i, body)})
		}
		time.Sleep(time.Second)
		for range 2 {
			must.Nil(t, found(t, w.nodes[0], "offer-0").Response)
			must.EqOp(t, Answered, found(t, w.nodes[0], "offer-0").State)
			last := found(t, w.nodes[0], fmt.Sprint("offer-", claims-1))
			must.EqOp(t, fmt.Sprint(claims-1, body), string(last.Response.Body))
			w.kill(w.nodes[0])
			w.start(context.Background(), 0)
		}
		total := 0
		for _, bytes := range sizes(t, w.store) {
			total += bytes
		}
		must.Less(t, claims*answerBytes, total)
		w.nodes[0].stop()
	})
}

// maxKept is the largest answer that the gateway keeps, with room for its
// entry.
const maxKept = 7 << 10

func sizes(t *testing.T, s store.Store) []int {
	t.Helper()
	listing, err := s.List(context.Background(), storekeys.IdempotencyPrefix)
	must.NoError(t, err)
	var all []int
	for _, entry := range listing.Entries {
		all = append(all, len(entry.Value))
	}
	return all
}

// An offer is answered, then the store goes down, and the caller repeats. The
// owner still knows the key, so the repeat gets its answer, and an unclear one
// is told so; only a key that nobody can look up is refused as not run.
func TestRepeatsAreAnsweredFromMemoryInAnOutage(t *testing.T) {
	inBubble(t, 2, func(w *world) {
		claimed(t, w.nodes[0], "offer").Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: []byte("first")})
		claimed(t, w.nodes[0], "order").Settle(ResultUnknown, nil)
		time.Sleep(time.Second)
		w.store.SetDown(true)
		for range 3 {
			must.EqOp(t, "first", string(found(t, w.nodes[1], "offer").Response.Body))
			must.EqOp(t, OutcomeUnknown, found(t, w.nodes[1], "order").State)
			_, _, err := w.nodes[1].keeper.Begin(context.Background(), request("another"))
			must.Error(t, err)
			time.Sleep(time.Minute)
		}
	})
}

// An outage must not turn every caller into a store call: refusals come at
// once while the breaker is open, and the store sees few tries.
func TestOutageIsNotMetWithAStampede(t *testing.T) {
	inBubble(t, 1, func(w *world) {
		claimed(t, w.nodes[0], "warm-up")
		w.store.SetDown(true)
		refusedBefore := w.store.Counts().Refused
		for i := range 1000 {
			_, _, err := w.nodes[0].keeper.Begin(context.Background(), request(fmt.Sprint("offer-", i)))
			must.Error(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		must.LessEq(t, 40, w.store.Counts().Refused-refusedBefore)
		w.heal()
		time.Sleep(maxBackoff * 2)
		claimed(t, w.nodes[0], "offer-1")
	})
}
