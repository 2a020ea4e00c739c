package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// deployment is one store, one endpoint that counts its runs per key, and
// gateways over both.
type deployment struct {
	t        *testing.T
	store    *memstore.Store
	endpoint *httptest.Server
	gateways []*httptest.Server
	built    []*Gateway
	// during, when set, runs while the endpoint works on a request.
	during func(w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	runs  map[string]int
	peers []atmostonce.Peer
}

func (d *deployment) listPeers() []atmostonce.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.peers)
}

func newDeployment(t *testing.T, gateways int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: memstore.New(), runs: make(map[string]int)}
	d.endpoint = httptest.NewServer(http.HandlerFunc(d.run))
	t.Cleanup(d.endpoint.Close)
	for range gateways {
		d.addGateway()
	}
	d.setEndpoints(d.endpoint.Listener.Addr().String())
	return d
}

func (d *deployment) addGateway() {
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	id := fmt.Sprint("gateway-", len(d.gateways))
	ledger := atmostonce.NewBatchedStore(atmostonce.BatchedConfig{Store: d.store, Self: id, Peers: d.listPeers})
	_, handler := atmostonce.NewServer(ledger).Handler()
	claims := httptest.NewServer(handler)
	d.t.Cleanup(claims.Close)
	d.mu.Lock()
	d.peers = append(d.peers, atmostonce.Peer{ID: id, Address: claims.Listener.Addr().String()})
	d.mu.Unlock()
	keeper := atmostonce.New(atmostonce.Config{ClaimStore: ledger, Log: log})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = keeper.Serve(ctx)
	}()
	g := New(Config{Member: "g", Zone: "z", Invariant: invariant.New(log, nil), Log: log, Idempotency: keeper})
	server := httptest.NewServer(g)
	d.t.Cleanup(func() { server.Close(); cancel(); <-ended; must.SliceEmpty(d.t, g.Invariant.Violations()) })
	d.gateways = append(d.gateways, server)
	d.built = append(d.built, g)
}

func (d *deployment) setEndpoints(addresses ...string) {
	service := endpoint.Service{Name: "offers", Spec: &record.Service{
		PathPrefix: "/offers/", NonIdempotent: []record.RequestPattern{{PathPrefix: "/offers/issue/"}}, TimeoutSeconds: 5,
	}}
	for i, address := range addresses {
		service.Endpoints = append(service.Endpoints, endpoint.Endpoint{
			Service: "offers", Host: fmt.Sprint("host-", i), Zone: "z", Address: address, TakesWork: true,
		})
	}
	for _, g := range d.built {
		g.Install(map[string]endpoint.Service{"offers": service})
	}
}

func (d *deployment) run(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(outcome.IdempotencyKeyHeader)
	d.mu.Lock()
	d.runs[key]++
	run := d.runs[key]
	d.mu.Unlock()
	if d.during != nil {
		d.during(w, r)
	}
	fmt.Fprintf(w, "%s run %d", key, run)
}

func (d *deployment) runsOf(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

type answer struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

func (d *deployment) send(gateway int, key, body string) answer {
	d.t.Helper()
	request, err := http.NewRequest(http.MethodPost, d.gateways[gateway].URL+"/offers/issue/new", strings.NewReader(body))
	must.NoError(d.t, err)
	if key != "" {
		request.Header.Set(outcome.IdempotencyKeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(d.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(d.t, err)
	return answer{
		status: response.StatusCode, header: response.Header, body: string(data),
		outcome: outcome.Outcome(response.Header.Get(outcome.Header)),
		reason:  outcome.Reason(response.Header.Get(outcome.ReasonHeader)),
	}
}

// hung is when a test gives up. It decides nothing on a machine that is merely busy.
const hung = time.Minute

// settled repeats through a gateway until the first attempt is settled and the
// store back.
func (d *deployment) settled(gateway int, key, body string) answer {
	d.t.Helper()
	for began := time.Now(); time.Since(began) < hung; {
		if got := d.send(gateway, key, body); got.reason != outcome.KeyInUse && got.reason != outcome.StoreUnavailable {
			return got
		}
		time.Sleep(2 * time.Millisecond)
	}
	d.t.Fatal("the first attempt was never settled")
	return answer{}
}

// The caller sends one licence offer through two gateways at the same moment,
// eight times in all. All reach the store before any has run. Exactly one may
// run; the others get its answer or are told that it is still running.
func TestDuplicatesRacedThroughTwoGatewaysRunOnce(t *testing.T) {
	d := newDeployment(t, 2)
	for offer := range 10 {
		key := fmt.Sprint("offer-", offer)
		var wait sync.WaitGroup
		answers := make([]answer, 8)
		for i := range answers {
			wait.Go(func() { answers[i] = d.send(i%2, key, "work") })
		}
		wait.Wait()
		for _, got := range answers {
			if got.outcome == outcome.Answered {
				must.EqOp(t, key+" run 1", got.body)
				continue
			}
			must.EqOp(t, outcome.KeyInUse, got.reason)
			must.NotEqOp(t, "", got.header.Get("Retry-After"))
		}
		must.EqOp(t, key+" run 1", d.settled(1, key, "work").body)
		must.EqOp(t, 1, d.runsOf(key))
	}
}

// A gateway is killed right after it forwarded. Only what is in the store then
// tells another gateway of the run, so the claim must be there before the
// endpoint sees the first byte. Without the claim the list is empty here.
func TestClaimIsInStoreBeforeEndpointSeesRequest(t *testing.T) {
	d := newDeployment(t, 1)
	claims := make(chan int, 1)
	d.during = func(http.ResponseWriter, *http.Request) {
		listing, err := d.store.List(context.Background(), storekeys.IdempotencyPrefix)
		must.NoError(t, err)
		claims <- len(listing.Entries)
	}
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "work").outcome)
	must.EqOp(t, 1, <-claims)
}

// The endpoint reads the offer and dies before it answers. The caller is told
// "unknown" and repeats through another gateway, which must not run it again,
// now or later.
func TestUnknownOutcomeLeavesTheKeyUnclear(t *testing.T) {
	d := newDeployment(t, 2)
	d.during = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	must.EqOp(t, outcome.Unknown, d.send(0, "offer", "work").outcome)
	got := d.settled(1, "offer", "work")
	must.EqOp(t, outcome.Unknown, got.outcome)
	must.EqOp(t, outcome.KeyOutcomeUnknown, got.reason)
	must.EqOp(t, 1, d.runsOf("offer"))
}

// No endpoint takes work, so the offer is refused as not run. The caller's
// next try with the same key, at once and through another gateway, must run.
func TestNotRunFreesTheKey(t *testing.T) {
	d := newDeployment(t, 2)
	d.setEndpoints()
	must.EqOp(t, outcome.NotRun, d.send(0, "offer", "work").outcome)
	d.setEndpoints(d.endpoint.Listener.Addr().String())
	must.EqOp(t, "offer run 1", d.send(1, "offer", "work").body)
}

// The store is down or throttles. A keyed offer can't be claimed and is
// refused as not run; offers without a key, and all else, are served.
func TestStoreAwayRefusesKeyedRequestsOnly(t *testing.T) {
	cases := map[string]func(s *memstore.Store, away bool){
		"down":      (*memstore.Store).SetDown,
		"throttled": (*memstore.Store).SetThrottled,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			fault(d.store, true)
			got := d.send(0, "offer", "work")
			must.EqOp(t, outcome.NotRun, got.outcome)
			must.EqOp(t, outcome.StoreUnavailable, got.reason)
			must.EqOp(t, 0, d.runsOf("offer"))
			must.EqOp(t, outcome.Answered, d.send(0, "", "work").outcome)
			fault(d.store, false)
			// The breaker leaves the store alone for a moment more.
			must.EqOp(t, "offer run 1", d.settled(0, "offer", "work").body)
		})
	}
}

// The store takes each write but its answer is lost: first the claim's, then
// the settlement's, then that of freeing. The gateway finds its own identity
// and goes on; without that it would refuse its own claim as "in progress".
func TestLostStoreAnswers(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		d := newDeployment(t, 2)
		d.store.LoseResponses(lost)
		must.EqOp(t, "offer run 1", d.send(0, "offer", "work").body)
		must.EqOp(t, "offer run 1", d.settled(1, "offer", "work").body)
		d.setEndpoints()
		d.store.LoseResponses(lost)
		must.EqOp(t, outcome.NotRun, d.send(0, "order", "work").outcome)
		d.setEndpoints(d.endpoint.Listener.Addr().String())
		must.EqOp(t, "order run 1", d.settled(1, "order", "work").body)
	}
}

// A caller's program uses one key for two different offers. Giving it the
// first offer's answer for the second would lose the second silently.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "first work").outcome)
	got := d.send(1, "offer", "second work")
	must.EqOp(t, outcome.KeyReused, got.reason)
	must.EqOp(t, outcome.NotRun, got.outcome)
	must.EqOp(t, outcome.StatusKeyReused, got.status)
	must.EqOp(t, 1, d.runsOf("offer"))
}

// The answer is too large to keep. The repeat must be told so, and neither run
// again nor get a shortened answer.
func TestAnswerTooLargeToKeep(t *testing.T) {
	d := newDeployment(t, 2)
	d.during = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", maxKeptBody))
	}
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "work").outcome)
	got := d.settled(1, "offer", "work")
	must.EqOp(t, outcome.ResponseNotStored, got.reason)
	must.EqOp(t, outcome.Unknown, got.outcome)
	must.EqOp(t, 1, d.runsOf("offer"))
}

// The caller's connection breaks while the endpoint works. The offer runs to
// its end all the same, and the caller's repeat gets its answer.
func TestRepeatAfterCallerWentAwayGetsTheAnswer(t *testing.T) {
	d := newDeployment(t, 2)
	started, gone := make(chan struct{}), make(chan struct{})
	d.during = func(http.ResponseWriter, *http.Request) { close(started); <-gone }
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.gateways[0].URL+"/offers/issue/new", strings.NewReader("work"))
	must.NoError(t, err)
	request.Header.Set(outcome.IdempotencyKeyHeader, "offer")
	go func() { <-started; cancel() }()
	_, err = http.DefaultClient.Do(request)
	must.ErrorIs(t, err, context.Canceled)
	close(gone)
	must.EqOp(t, "offer run 1", d.settled(1, "offer", "work").body)
}

// The endpoint sends early hints before its answer, and trailers after it. The
// hints must not pass for the answer that is kept, and an answer whose trailers
// are not kept must not be given again without them.
func TestHintsAndTrailersAreNotKeptAsAnswers(t *testing.T) {
	d := newDeployment(t, 2)
	d.during = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(outcome.IdempotencyKeyHeader) == "trailed" {
			w.Header().Set(http.TrailerPrefix+"Checksum", "1")
			return
		}
		w.WriteHeader(http.StatusEarlyHints)
	}
	must.EqOp(t, "hinted run 1", d.send(0, "hinted", "work").body)
	must.EqOp(t, "hinted run 1", d.settled(1, "hinted", "work").body)
	must.EqOp(t, outcome.Answered, d.send(0, "trailed", "work").outcome)
	must.EqOp(t, outcome.ResponseNotStored, d.settled(1, "trailed", "work").reason)
}

// A repeat carries an identity of its own, and its answer must name that one,
// or the caller takes it for an answer to another request.
func TestRepeatIsAnsweredUnderItsOwnRequestID(t *testing.T) {
	d := newDeployment(t, 1)
	first := d.send(0, "offer", "work").header.Get(outcome.RequestIDHeader)
	second := d.settled(0, "offer", "work")
	must.EqOp(t, "true", second.header.Get(outcome.ReplayedHeader))
	must.NotEqOp(t, "", second.header.Get(outcome.RequestIDHeader))
	must.NotEqOp(t, first, second.header.Get(outcome.RequestIDHeader))
}
