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

// runCluster runs a test in virtual time with a cluster of gateways that use
// batched stores.
func runCluster(t *testing.T, gateways int, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		c := &cluster{store: memstore.New(), newNode: newBatchedNode, runs: make(map[int][]time.Time), firstResponse: make(map[int]string)}
		c.clearFaults()
		ctx, cancel := context.WithCancel(context.Background())
		defer c.wait.Wait()
		defer cancel()
		for i := range gateways {
			c.start(ctx, i)
		}
		test(c)
	})
}

func request(key string) Request {
	return Request{ID: NewID("offers", "", key), Fingerprint: NewFingerprint("POST", "/"+key, nil), Window: modelWindow}
}

func mustClaim(t *testing.T, n *node, key string) *GrantedClaim {
	t.Helper()
	granted, outcome, err := n.deduplicator.Begin(context.Background(), request(key))
	must.NoError(t, err)
	must.EqOp(t, Granted, outcome.State)
	return granted
}

func mustFind(t *testing.T, n *node, key string) ClaimOutcome {
	t.Helper()
	granted, outcome, err := n.deduplicator.Begin(context.Background(), request(key))
	must.NoError(t, err)
	must.Nil(t, granted)
	return outcome
}

// A gateway claims a key and is paused until the claim has expired and the key
// has run elsewhere. When it resumes it must not send, or the request would run
// a second time.
func TestPausedGatewayDoesNotSendUnderExpiredClaim(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		granted := mustClaim(t, c.nodes[0], "offer")
		must.True(t, granted.CanSend())
		time.Sleep(modelWindow)
		must.False(t, granted.CanSend())
		time.Sleep(modelRetention)
		must.True(t, mustClaim(t, c.nodes[1], "offer").CanSend())
		must.False(t, granted.CanSend())
	})
}

// A gateway is killed after its claim, and its caller repeats the request
// elsewhere. The repeat gets InProgress within the window and OutcomeUnknown
// after it; the key is never free within the retention.
func TestClaimOfKilledGatewayIsNeverTakenOver(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		mustClaim(t, c.nodes[0], "offer")
		c.kill(c.nodes[0])
		must.EqOp(t, InProgress, mustFind(t, c.nodes[1], "offer").State)
		time.Sleep(modelWindow)
		must.EqOp(t, OutcomeUnknown, mustFind(t, c.nodes[1], "offer").State)
		time.Sleep(modelRetention - 2*modelWindow)
		must.EqOp(t, OutcomeUnknown, mustFind(t, c.nodes[1], "offer").State)
	})
}

// The claim's write takes effect, its response is lost, and the store goes down
// before the gateway can read the claim back. The caller is refused as not run,
// so the key must be free again once the store is back.
func TestClaimWithLostResponseIsFreedAfterOutage(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		mustClaim(t, c.nodes[0], "warm-up")
		c.store.LoseResponses(1)
		time.AfterFunc(4*time.Millisecond, func() { c.store.SetDown(true) })
		_, _, err := c.nodes[0].deduplicator.Begin(context.Background(), request("offer"))
		must.Error(t, err)
		c.clearFaults()
		time.Sleep(5 * time.Second)
		mustClaim(t, c.nodes[0], "offer")
	})
}

// Claims overflow the head into archives. A gateway that starts later must load
// all of them, including responses; the stored values must stay small and be
// removed after they expire.
func TestClaimsSurviveRestartAndExpire(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		const claims = 800
		body := strings.Repeat("x", 1000)
		for i := range claims {
			granted := mustClaim(t, c.nodes[0], fmt.Sprint("offer-", i))
			granted.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: fmt.Append(nil, i, body)})
		}
		time.Sleep(time.Second)
		before := sizes(t, c.store)
		must.Greater(t, 8, len(before))
		for _, bytes := range before {
			must.LessEq(t, maxHeadBytes+maxKept, bytes)
		}
		c.kill(c.nodes[0])
		c.start(context.Background(), 0)
		for i := range claims {
			outcome := mustFind(t, c.nodes[0], fmt.Sprint("offer-", i))
			must.EqOp(t, Answered, outcome.State)
			must.EqOp(t, fmt.Sprint(i, body), string(outcome.Response.Body))
		}
		time.Sleep(modelRetention)
		for i := range 100 {
			mustClaim(t, c.nodes[0], fmt.Sprint("later-", i))
		}
		must.LessEq(t, 3, len(sizes(t, c.store)))
		c.nodes[0].stop()
	})
}

// More responses arrive than the store keeps. The oldest responses are removed
// and their claims stay: a repeat is told that its response is no longer stored
// and never runs again, also after a restart of the gateway.
func TestOldResponsesAreRemovedAndClaimsKept(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		const claims, answerBytes = 5000, 4 << 10
		body := strings.Repeat("x", answerBytes)
		for i := range claims {
			granted := mustClaim(t, c.nodes[0], fmt.Sprint("offer-", i))
			granted.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: fmt.Append(nil, i, body)})
		}
		time.Sleep(time.Second)
		for range 2 {
			must.Nil(t, mustFind(t, c.nodes[0], "offer-0").Response)
			must.EqOp(t, Answered, mustFind(t, c.nodes[0], "offer-0").State)
			last := mustFind(t, c.nodes[0], fmt.Sprint("offer-", claims-1))
			must.EqOp(t, fmt.Sprint(claims-1, body), string(last.Response.Body))
			c.kill(c.nodes[0])
			c.start(context.Background(), 0)
		}
		total := 0
		for _, bytes := range sizes(t, c.store) {
			total += bytes
		}
		must.Less(t, claims*answerBytes, total)
		c.nodes[0].stop()
	})
}

// maxKept is the largest response that the gateway keeps, plus the overhead of
// its entry.
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

// The store goes down after a request was answered, and the caller repeats it.
// The owner still has the key in memory, so the repeat gets its response or
// OutcomeUnknown; only a key that can't be looked up is refused as not run.
func TestRepeatsAreAnsweredFromMemoryDuringOutage(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		mustClaim(t, c.nodes[0], "offer").Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: []byte("first")})
		mustClaim(t, c.nodes[0], "order").Settle(ResultUnknown, nil)
		time.Sleep(time.Second)
		c.store.SetDown(true)
		for range 3 {
			must.EqOp(t, "first", string(mustFind(t, c.nodes[1], "offer").Response.Body))
			must.EqOp(t, OutcomeUnknown, mustFind(t, c.nodes[1], "order").State)
			_, _, err := c.nodes[1].deduplicator.Begin(context.Background(), request("another"))
			must.Error(t, err)
			time.Sleep(time.Minute)
		}
	})
}

// During an outage not every caller may cause a store call: refusals are
// immediate while the circuit breaker is open, and the store gets few calls.
func TestOutageCausesFewStoreCalls(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		mustClaim(t, c.nodes[0], "warm-up")
		c.store.SetDown(true)
		refusedBefore := c.store.Counts().Refused
		for i := range 1000 {
			_, _, err := c.nodes[0].deduplicator.Begin(context.Background(), request(fmt.Sprint("offer-", i)))
			must.Error(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		must.LessEq(t, 40, c.store.Counts().Refused-refusedBefore)
		c.clearFaults()
		time.Sleep(maxBackoff * 2)
		mustClaim(t, c.nodes[0], "offer-1")
	})
}
