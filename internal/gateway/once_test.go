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

// deployment consists of one store, one endpoint that counts its runs per key, and
// gateways that use both.
type deployment struct {
	t         *testing.T
	store     *memstore.Store
	endpoint  *httptest.Server
	gateways  []*httptest.Server
	instances []*Gateway
	// onRequest, if set, is called while the endpoint processes a request.
	onRequest func(w http.ResponseWriter, r *http.Request)

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
	claimStore := atmostonce.NewBatchedStore(atmostonce.BatchedConfig{Store: d.store, Self: id, Peers: d.listPeers})
	_, handler := atmostonce.NewServer(claimStore).Handler()
	claims := httptest.NewServer(handler)
	d.t.Cleanup(claims.Close)
	d.mu.Lock()
	d.peers = append(d.peers, atmostonce.Peer{ID: id, Address: claims.Listener.Addr().String()})
	d.mu.Unlock()
	deduplicator := atmostonce.New(atmostonce.Config{ClaimStore: claimStore, Log: log})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = deduplicator.Serve(ctx)
	}()
	g := New(Config{Member: "g", Zone: "z", Invariant: invariant.New(log, nil), Log: log, Idempotency: deduplicator})
	server := httptest.NewServer(g)
	d.t.Cleanup(func() { server.Close(); cancel(); <-ended; must.SliceEmpty(d.t, g.Invariant.Violations()) })
	d.gateways = append(d.gateways, server)
	d.instances = append(d.instances, g)
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
	for _, g := range d.instances {
		g.Install(map[string]endpoint.Service{"offers": service})
	}
}

func (d *deployment) run(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(outcome.IdempotencyKeyHeader)
	d.mu.Lock()
	d.runs[key]++
	run := d.runs[key]
	d.mu.Unlock()
	if d.onRequest != nil {
		d.onRequest(w, r)
	}
	fmt.Fprintf(w, "%s run %d", key, run)
}

func (d *deployment) runCount(key string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[key]
}

type result struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

func (d *deployment) send(gateway int, key, body string) result {
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
	return result{
		status: response.StatusCode, header: response.Header, body: string(data),
		outcome: outcome.Outcome(response.Header.Get(outcome.Header)),
		reason:  outcome.Reason(response.Header.Get(outcome.ReasonHeader)),
	}
}

// settleTimeout is how long a test waits for an attempt to be settled. It is long
// enough for a busy machine.
const settleTimeout = time.Minute

// sendUntilSettled repeats a request through a gateway until the first attempt has
// been settled and the store is available.
func (d *deployment) sendUntilSettled(gateway int, key, body string) result {
	d.t.Helper()
	for began := time.Now(); time.Since(began) < settleTimeout; {
		if got := d.send(gateway, key, body); got.reason != outcome.KeyInUse && got.reason != outcome.StoreUnavailable {
			return got
		}
		time.Sleep(2 * time.Millisecond)
	}
	d.t.Fatal("the first attempt was never settled")
	return result{}
}

// The caller sends the same request eight times at once, through two gateways, so
// that all may reach the store before any has run. Exactly one may run; the others
// must get its response or the reason that the key is in use.
func TestConcurrentDuplicatesThroughTwoGatewaysRunOnce(t *testing.T) {
	d := newDeployment(t, 2)
	for offer := range 10 {
		key := fmt.Sprint("offer-", offer)
		var wait sync.WaitGroup
		results := make([]result, 8)
		for i := range results {
			wait.Go(func() { results[i] = d.send(i%2, key, "work") })
		}
		wait.Wait()
		for _, got := range results {
			if got.outcome == outcome.Answered {
				must.EqOp(t, key+" run 1", got.body)
				continue
			}
			must.EqOp(t, outcome.KeyInUse, got.reason)
			must.NotEqOp(t, "", got.header.Get("Retry-After"))
		}
		must.EqOp(t, key+" run 1", d.sendUntilSettled(1, key, "work").body)
		must.EqOp(t, 1, d.runCount(key))
	}
}

// If a gateway is killed right after forwarding a request, other gateways can learn
// of the run only from the store. The claim must therefore be stored before the
// endpoint receives the first byte; otherwise the listing here is empty.
func TestClaimIsInStoreBeforeEndpointSeesRequest(t *testing.T) {
	d := newDeployment(t, 1)
	claims := make(chan int, 1)
	d.onRequest = func(http.ResponseWriter, *http.Request) {
		listing, err := d.store.List(context.Background(), storekeys.IdempotencyPrefix)
		must.NoError(t, err)
		claims <- len(listing.Entries)
	}
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "work").outcome)
	must.EqOp(t, 1, <-claims)
}

// The endpoint reads a request and closes the connection without responding. The
// caller gets "unknown" and repeats the request through another gateway, which must
// not run it again.
func TestUnknownOutcomeIsKeptForTheKey(t *testing.T) {
	d := newDeployment(t, 2)
	d.onRequest = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	must.EqOp(t, outcome.Unknown, d.send(0, "offer", "work").outcome)
	got := d.sendUntilSettled(1, "offer", "work")
	must.EqOp(t, outcome.Unknown, got.outcome)
	must.EqOp(t, outcome.KeyOutcomeUnknown, got.reason)
	must.EqOp(t, 1, d.runCount("offer"))
}

// No endpoint takes work, so the request is refused with "not run". An immediate
// repeat with the same key through another gateway must run.
func TestNotRunReleasesTheKey(t *testing.T) {
	d := newDeployment(t, 2)
	d.setEndpoints()
	must.EqOp(t, outcome.NotRun, d.send(0, "offer", "work").outcome)
	d.setEndpoints(d.endpoint.Listener.Addr().String())
	must.EqOp(t, "offer run 1", d.send(1, "offer", "work").body)
}

// The store is down or throttles. The key of a request cannot be claimed, so it must
// be refused with "not run"; all other requests must be served.
func TestStoreOutageRefusesKeyedRequestsOnly(t *testing.T) {
	cases := map[string]func(s *memstore.Store, active bool){
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
			must.EqOp(t, 0, d.runCount("offer"))
			must.EqOp(t, outcome.Answered, d.send(0, "", "work").outcome)
			fault(d.store, false)
			// The circuit breaker stays open for a moment longer.
			must.EqOp(t, "offer run 1", d.sendUntilSettled(0, "offer", "work").body)
		})
	}
}

// The store applies writes but the responses are lost: for the claim, the settlement
// and the release of the key. The gateway must recognise its own write; otherwise it
// would refuse its own claim as in progress.
func TestLostStoreResponses(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		d := newDeployment(t, 2)
		d.store.LoseResponses(lost)
		must.EqOp(t, "offer run 1", d.send(0, "offer", "work").body)
		must.EqOp(t, "offer run 1", d.sendUntilSettled(1, "offer", "work").body)
		d.setEndpoints()
		d.store.LoseResponses(lost)
		must.EqOp(t, outcome.NotRun, d.send(0, "order", "work").outcome)
		d.setEndpoints(d.endpoint.Listener.Addr().String())
		must.EqOp(t, "order run 1", d.sendUntilSettled(1, "order", "work").body)
	}
}

// A caller uses one key for two different requests. Returning the response of the
// first for the second would silently lose the second.
func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "first work").outcome)
	got := d.send(1, "offer", "second work")
	must.EqOp(t, outcome.KeyReused, got.reason)
	must.EqOp(t, outcome.NotRun, got.outcome)
	must.EqOp(t, outcome.StatusKeyReused, got.status)
	must.EqOp(t, 1, d.runCount("offer"))
}

// The response is too large to store. The repeat must get the reason that it is not
// stored; it must neither run again nor get a truncated response.
func TestResponseTooLargeToStore(t *testing.T) {
	d := newDeployment(t, 2)
	d.onRequest = func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", maxStoredBody))
	}
	must.EqOp(t, outcome.Answered, d.send(0, "offer", "work").outcome)
	got := d.sendUntilSettled(1, "offer", "work")
	must.EqOp(t, outcome.ResponseNotStored, got.reason)
	must.EqOp(t, outcome.Unknown, got.outcome)
	must.EqOp(t, 1, d.runCount("offer"))
}

// The caller disconnects while the endpoint is processing the request. The request
// must run to its end, and a repeat must get its response.
func TestRepeatAfterDisconnectGetsTheResponse(t *testing.T) {
	d := newDeployment(t, 2)
	started, disconnected := make(chan struct{}), make(chan struct{})
	d.onRequest = func(http.ResponseWriter, *http.Request) { close(started); <-disconnected }
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.gateways[0].URL+"/offers/issue/new", strings.NewReader("work"))
	must.NoError(t, err)
	request.Header.Set(outcome.IdempotencyKeyHeader, "offer")
	go func() { <-started; cancel() }()
	_, err = http.DefaultClient.Do(request)
	must.ErrorIs(t, err, context.Canceled)
	close(disconnected)
	must.EqOp(t, "offer run 1", d.sendUntilSettled(1, "offer", "work").body)
}

// The endpoint sends early hints before its response, or trailers after it. The
// hints must not be stored as the response, and a response with trailers must not be
// replayed without them.
func TestEarlyHintsAndTrailersAreNotStored(t *testing.T) {
	d := newDeployment(t, 2)
	d.onRequest = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(outcome.IdempotencyKeyHeader) == "trailed" {
			w.Header().Set(http.TrailerPrefix+"Checksum", "1")
			return
		}
		w.WriteHeader(http.StatusEarlyHints)
	}
	must.EqOp(t, "hinted run 1", d.send(0, "hinted", "work").body)
	must.EqOp(t, "hinted run 1", d.sendUntilSettled(1, "hinted", "work").body)
	must.EqOp(t, outcome.Answered, d.send(0, "trailed", "work").outcome)
	must.EqOp(t, outcome.ResponseNotStored, d.sendUntilSettled(1, "trailed", "work").reason)
}

// A repeat has its own request ID, and its response must carry that ID. Otherwise
// the caller takes it for the response to another request.
func TestRepeatGetsItsOwnRequestID(t *testing.T) {
	d := newDeployment(t, 1)
	first := d.send(0, "offer", "work").header.Get(outcome.RequestIDHeader)
	second := d.sendUntilSettled(0, "offer", "work")
	must.EqOp(t, "true", second.header.Get(outcome.ReplayedHeader))
	must.NotEqOp(t, "", second.header.Get(outcome.RequestIDHeader))
	must.NotEqOp(t, first, second.header.Get(outcome.RequestIDHeader))
}
