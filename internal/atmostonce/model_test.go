package atmostonce

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

const (
	modelRetention = 10 * time.Minute
	modelWindow    = 5 * time.Second
	modelKeys      = 4
	modelNodes     = 3
)

type stepKind int

const (
	stepSend stepKind = iota
	stepKill
	stepOutage
	stepThrottle
	stepLoseResponses
	stepSlow
	stepDisconnectOwners
	stepAdvance
)

// step is one generated event; unused fields are ignored.
type step struct {
	kind      stepKind
	node, key int
	ending    ending
	// pause is how long the gateway sleeps between its claim and its first
	// byte, work how long the endpoint takes.
	pause, work, wait time.Duration
	count             int
}

// ending is how an attempt ends.
type ending int

const (
	endAnswered ending = iota
	endRefused
	endUnknown
	endKilledBeforeSending
	endKilledAfterRun
)

var drawnStep = rapid.Custom(func(t *rapid.T) step {
	kinds := []stepKind{
		stepSend, stepSend, stepSend, stepSend, stepSend, stepSend, stepKill, stepOutage, stepThrottle,
		stepLoseResponses, stepSlow, stepDisconnectOwners, stepAdvance,
	}
	pauses := []time.Duration{0, 0, 0, time.Millisecond, time.Second, modelWindow, modelRetention + time.Minute}
	waits := []time.Duration{0, 0, 0, time.Millisecond, 5 * time.Millisecond, 60 * time.Millisecond, time.Second, 3 * time.Minute}
	return step{
		kind: rapid.SampledFrom(kinds).Draw(t, "kind"), node: rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
		key: rapid.IntRange(0, modelKeys-1).Draw(t, "key"), ending: ending(rapid.IntRange(0, 4).Draw(t, "ending")),
		pause: rapid.SampledFrom(pauses).Draw(t, "pause"), work: rapid.SampledFrom(pauses[:5]).Draw(t, "work"),
		wait: rapid.SampledFrom(waits).Draw(t, "wait"), count: rapid.IntRange(1, 3).Draw(t, "count"),
	}
})

// cluster is several gateways with one store, and an endpoint that counts the
// runs of each key.
type cluster struct {
	store              *memstore.Store
	newNode            func(c *cluster, id string) *node
	nodes              []*node
	started            int
	ownersDisconnected atomic.Bool
	faultStepsLeft     int
	wait               sync.WaitGroup

	mu            sync.Mutex
	runs          map[int][]time.Time
	firstResponse map[int]string
	violation     string
}

// node is one gateway. None of its calls reach the store once it is killed.
type node struct {
	id           string
	deduplicator *Deduplicator
	batched      *BatchedStore
	stop         context.CancelFunc
	mu           sync.Mutex
	killed       bool
}

func (n *node) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// nodeStore is the store as accessed by one node.
type nodeStore struct {
	store.Store
	node *node
}

type killedError struct{}

func (*killedError) Error() string { return "process was killed" }

func (s *nodeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.node.isKilled() {
		return store.Entry{}, &store.UnavailableError{Op: "get", Cause: &killedError{}}
	}
	return s.Store.Get(ctx, key)
}

func (s *nodeStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if s.node.isKilled() {
		return store.Listing{}, &store.UnavailableError{Op: "list", Cause: &killedError{}}
	}
	return s.Store.List(ctx, prefix)
}

func (s *nodeStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if s.node.isKilled() {
		return 0, &store.UnavailableError{Op: "write", Cause: &killedError{}}
	}
	return s.Store.CompareAndSwap(ctx, write)
}

// directOwners calls the other nodes without a network.
type directOwners struct{ c *cluster }

func (o *directOwners) reach(ctx context.Context, owner Peer) (*node, error) {
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	for _, n := range o.c.nodes {
		if n.id == owner.ID && !n.isKilled() {
			return n, nil
		}
	}
	return nil, &unreachableError{Owner: owner.ID, Cause: &killedError{}}
}

func (o *directOwners) claim(ctx context.Context, owner Peer, claim Claim) (ClaimOutcome, error) {
	n, err := o.reach(ctx, owner)
	if err != nil {
		return ClaimOutcome{}, err
	}
	outcome, err := n.batched.claimLocally(ctx, claim)
	if o.c.ownersDisconnected.Load() || n.isKilled() {
		// The owner may have written the claim; its response is lost.
		return ClaimOutcome{}, &unreachableError{Owner: owner.ID, Cause: &killedError{}}
	}
	return outcome, err
}

func (o *directOwners) settle(ctx context.Context, owner Peer, settlement Settlement) error {
	n, err := o.reach(ctx, owner)
	if err != nil {
		return err
	}
	return n.batched.settleLocally(ctx, settlement)
}

func (o *directOwners) close() {}

func newBatchedNode(c *cluster, id string) *node {
	n := &node{id: id}
	n.batched = NewBatchedStore(BatchedConfig{
		Store: &nodeStore{Store: c.store, node: n}, Self: id, Peers: c.peers, Shards: 2, Retention: modelRetention,
	})
	n.batched.client = &directOwners{c: c}
	n.deduplicator = New(Config{ClaimStore: n.batched, Log: zerolog.Nop()})
	return n
}

func newPerKeyNode(c *cluster, id string) *node {
	n := &node{id: id}
	n.deduplicator = New(Config{ClaimStore: NewPerKeyStore(&nodeStore{Store: c.store, node: n}, modelRetention), Log: zerolog.Nop()})
	return n
}

func (c *cluster) peers() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []Peer
	for _, n := range c.nodes {
		peers = append(peers, Peer{ID: n.id})
	}
	return peers
}

func (c *cluster) start(ctx context.Context, at int) {
	c.started++
	n := c.newNode(c, "node-"+strconv.Itoa(c.started))
	serving, stop := context.WithCancel(ctx)
	n.stop = stop
	c.mu.Lock()
	if at == len(c.nodes) {
		c.nodes = append(c.nodes, n)
	} else {
		c.nodes[at] = n
	}
	c.mu.Unlock()
	c.wait.Go(func() { _ = n.deduplicator.Serve(serving) })
	synctest.Wait()
}

func (c *cluster) kill(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
	n.stop()
}

// faultSteps is how many steps a fault lasts.
const faultSteps = 4

func (c *cluster) clearFaults() {
	c.store.SetDown(false)
	c.store.SetThrottled(false)
	c.store.SetLatency(3 * time.Millisecond)
	c.ownersDisconnected.Store(false)
}

func (c *cluster) apply(ctx context.Context, s step) {
	if c.faultStepsLeft--; c.faultStepsLeft == 0 {
		c.clearFaults()
	}
	if s.kind != stepSend && s.kind != stepKill {
		c.faultStepsLeft = faultSteps
	}
	switch s.kind {
	case stepSend:
		n := c.nodes[s.node]
		c.wait.Go(func() { c.send(n, s) })
	case stepKill:
		c.kill(c.nodes[s.node])
		c.start(ctx, s.node)
	case stepOutage:
		c.store.SetDown(true)
	case stepThrottle:
		c.store.SetThrottled(true)
	case stepLoseResponses:
		c.store.LoseResponses(s.count)
	case stepSlow:
		c.store.SetLatency(time.Duration(s.count) * 200 * time.Millisecond)
	case stepDisconnectOwners:
		c.ownersDisconnected.Store(true)
	case stepAdvance:
		time.Sleep(s.pause)
	}
	time.Sleep(s.wait)
	synctest.Wait()
}

// send runs one caller's request through a gateway.
func (c *cluster) send(n *node, s step) {
	request := Request{
		ID: NewID("offers", "", strconv.Itoa(s.key)), Fingerprint: NewFingerprint("POST", "/", []byte{byte(s.key)}),
		Window: modelWindow,
	}
	granted, outcome, err := n.deduplicator.Begin(context.Background(), request)
	if err != nil || granted == nil {
		c.checkRepeat(s.key, outcome)
		return
	}
	if s.ending == endKilledBeforeSending {
		c.kill(n)
	}
	time.Sleep(s.pause)
	if n.isKilled() {
		return
	}
	if !granted.CanSend() || s.ending == endRefused {
		granted.Settle(ResultNotRun, nil)
		return
	}
	response := c.run(s.key)
	time.Sleep(s.work)
	if s.ending == endKilledAfterRun {
		c.kill(n)
	}
	if n.isKilled() {
		return
	}
	if s.ending == endUnknown {
		granted.Settle(ResultUnknown, nil)
		return
	}
	granted.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: []byte(response)})
}

// run is the endpoint. Two runs of a key must be at least the retention apart.
func (c *cluster) run(key int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if runs := c.runs[key]; len(runs) > 0 && now.Sub(runs[len(runs)-1]) < modelRetention-modelWindow {
		c.violation = fmt.Sprintf("key %d ran twice, %s apart", key, now.Sub(runs[len(runs)-1]))
	}
	c.runs[key] = append(c.runs[key], now)
	c.firstResponse[key] = fmt.Sprintf("key %d run %d", key, len(c.runs[key]))
	return c.firstResponse[key]
}

func (c *cluster) checkRepeat(key int, outcome ClaimOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome.State {
	case Answered:
		if outcome.Response != nil && string(outcome.Response.Body) != c.firstResponse[key] {
			c.violation = fmt.Sprintf("key %d: repeat got %q, first was %q", key, outcome.Response.Body, c.firstResponse[key])
		}
	case KeyReused:
		c.violation = "a repeat of the same request got KeyReused"
	}
}

// runSchedule runs a schedule and returns its last violation, or the empty
// string.
func runSchedule(t *testing.T, newNode func(*cluster, string) *node, steps []step) string {
	c := &cluster{store: memstore.New(), newNode: newNode, runs: make(map[int][]time.Time), firstResponse: make(map[int]string)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c.clearFaults()
		for i := range modelNodes {
			c.start(ctx, i)
		}
		for _, s := range steps {
			c.apply(ctx, s)
		}
		c.clearFaults()
		time.Sleep(2 * modelRetention)
		cancel()
		c.wait.Wait()
	})
	return c.violation
}

// stepsVariable sets the maximum number of steps of a schedule, for long runs.
const stepsVariable = "GLADE_ONCE_STEPS"

func maxSteps() int {
	if steps, err := strconv.Atoi(os.Getenv(stepsVariable)); err == nil {
		return steps
	}
	return 40
}

// Callers repeat few keys through gateways that are killed between claim,
// forward and result, that pause, lose responses of the store or the owner, and
// see outages, throttling and a slow store. In any order, the endpoint must not
// run a key twice within the retention, and an answered repeat must get the
// first response.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	claimStores := map[string]func(*cluster, string) *node{"grouped": newBatchedNode, "per key": newPerKeyNode}
	for name, newNode := range claimStores {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				steps := rapid.SliceOfN(drawnStep, 3, maxSteps()).Draw(rt, "steps")
				if violation := runSchedule(t, newNode, steps); violation != "" {
					rt.Fatal(violation)
				}
			})
		})
	}
}
