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
	stepLose
	stepSlow
	stepCutOwners
	stepAdvance
)

// step is one drawn event; unused fields are ignored.
type step struct {
	kind      stepKind
	node, key int
	ending    ending
	// pause is how long the gateway sleeps between its claim and its first
	// byte, and work how long the endpoint takes.
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
		stepLose, stepSlow, stepCutOwners, stepAdvance,
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

// world is several gateways over one store, and an endpoint that counts the
// runs of each key.
type world struct {
	store     *memstore.Store
	makeNode  func(w *world, id string) *node
	nodes     []*node
	started   int
	cutOwners atomic.Bool
	faultLeft int
	wait      sync.WaitGroup

	mu    sync.Mutex
	runs  map[int][]time.Time
	first map[int]string
	fault string
}

// node is one gateway. Once killed, nothing it does reaches the store.
type node struct {
	id      string
	keeper  *Deduplicator
	grouped *BatchedStore
	stop    context.CancelFunc
	mu      sync.Mutex
	killed  bool
}

func (n *node) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// nodeStore is the store as one node reaches it.
type nodeStore struct {
	store.Store
	node *node
}

type killedError struct{}

func (*killedError) Error() string { return "the process is gone" }

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

func (s *nodeStore) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	if s.node.isKilled() {
		return 0, &store.UnavailableError{Op: "write", Cause: &killedError{}}
	}
	return s.Store.CompareAndSwap(ctx, write)
}

// directOwners calls the other nodes of a world without a network.
type directOwners struct{ w *world }

func (o *directOwners) reach(ctx context.Context, owner Peer) (*node, error) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	for _, n := range o.w.nodes {
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
	verdict, err := n.grouped.claimHere(ctx, claim)
	if o.w.cutOwners.Load() || n.isKilled() {
		// The owner may have written the claim; its answer is lost.
		return ClaimOutcome{}, &unreachableError{Owner: owner.ID, Cause: &killedError{}}
	}
	return verdict, err
}

func (o *directOwners) settle(ctx context.Context, owner Peer, settlement Settlement) error {
	n, err := o.reach(ctx, owner)
	if err != nil {
		return err
	}
	return n.grouped.settleHere(ctx, settlement)
}

func (o *directOwners) close() {}

func makeGrouped(w *world, id string) *node {
	n := &node{id: id}
	n.grouped = NewBatchedStore(BatchedConfig{
		Store: &nodeStore{Store: w.store, node: n}, Self: id, Peers: w.peers, Shards: 2, Retention: modelRetention,
	})
	n.grouped.client = &directOwners{w: w}
	n.keeper = New(Config{ClaimStore: n.grouped, Log: zerolog.Nop()})
	return n
}

func makePerKey(w *world, id string) *node {
	n := &node{id: id}
	n.keeper = New(Config{ClaimStore: NewPerKeyStore(&nodeStore{Store: w.store, node: n}, modelRetention), Log: zerolog.Nop()})
	return n
}

func (w *world) peers() []Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []Peer
	for _, n := range w.nodes {
		peers = append(peers, Peer{ID: n.id})
	}
	return peers
}

func (w *world) start(ctx context.Context, at int) {
	w.started++
	n := w.makeNode(w, "node-"+strconv.Itoa(w.started))
	serving, stop := context.WithCancel(ctx)
	n.stop = stop
	w.mu.Lock()
	if at == len(w.nodes) {
		w.nodes = append(w.nodes, n)
	} else {
		w.nodes[at] = n
	}
	w.mu.Unlock()
	w.wait.Go(func() { _ = n.keeper.Serve(serving) })
	synctest.Wait()
}

func (w *world) kill(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
	n.stop()
}

// faultSteps is how many steps a fault lasts.
const faultSteps = 4

func (w *world) heal() {
	w.store.SetDown(false)
	w.store.SetThrottled(false)
	w.store.SetLatency(3 * time.Millisecond)
	w.cutOwners.Store(false)
}

func (w *world) apply(ctx context.Context, s step) {
	if w.faultLeft--; w.faultLeft == 0 {
		w.heal()
	}
	if s.kind != stepSend && s.kind != stepKill {
		w.faultLeft = faultSteps
	}
	switch s.kind {
	case stepSend:
		n := w.nodes[s.node]
		w.wait.Go(func() { w.send(n, s) })
	case stepKill:
		w.kill(w.nodes[s.node])
		w.start(ctx, s.node)
	case stepOutage:
		w.store.SetDown(true)
	case stepThrottle:
		w.store.SetThrottled(true)
	case stepLose:
		w.store.LoseResponses(s.count)
	case stepSlow:
		w.store.SetLatency(time.Duration(s.count) * 200 * time.Millisecond)
	case stepCutOwners:
		w.cutOwners.Store(true)
	case stepAdvance:
		time.Sleep(s.pause)
	}
	time.Sleep(s.wait)
	synctest.Wait()
}

// send is one caller's request as a gateway serves it.
func (w *world) send(n *node, s step) {
	request := Request{
		ID: NewID("offers", "", strconv.Itoa(s.key)), Fingerprint: NewFingerprint("POST", "/", []byte{byte(s.key)}),
		Window: modelWindow,
	}
	ticket, verdict, err := n.keeper.Begin(context.Background(), request)
	if err != nil || ticket == nil {
		w.checkRepeat(s.key, verdict)
		return
	}
	if s.ending == endKilledBeforeSending {
		w.kill(n)
	}
	time.Sleep(s.pause)
	if n.isKilled() {
		return
	}
	if !ticket.MaySend() || s.ending == endRefused {
		ticket.Settle(ResultNotRun, nil)
		return
	}
	answer := w.run(s.key)
	time.Sleep(s.work)
	if s.ending == endKilledAfterRun {
		w.kill(n)
	}
	if n.isKilled() {
		return
	}
	if s.ending == endUnknown {
		ticket.Settle(ResultUnknown, nil)
		return
	}
	ticket.Settle(ResultAnswered, &Response{Status: http.StatusOK, Body: []byte(answer)})
}

// run is the endpoint. Two runs of a key must lie a retention apart.
func (w *world) run(key int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if runs := w.runs[key]; len(runs) > 0 && now.Sub(runs[len(runs)-1]) < modelRetention-modelWindow {
		w.fault = fmt.Sprintf("key %d ran twice, %s apart", key, now.Sub(runs[len(runs)-1]))
	}
	w.runs[key] = append(w.runs[key], now)
	w.first[key] = fmt.Sprintf("key %d run %d", key, len(w.runs[key]))
	return w.first[key]
}

func (w *world) checkRepeat(key int, verdict ClaimOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch verdict.State {
	case Answered:
		if verdict.Response != nil && string(verdict.Response.Body) != w.first[key] {
			w.fault = fmt.Sprintf("key %d: repeat got %q, first was %q", key, verdict.Response.Body, w.first[key])
		}
	case KeyReused:
		w.fault = "a repeat of the same request was taken for another"
	}
}

// play returns the first fault of a schedule.
func play(t *testing.T, makeNode func(*world, string) *node, steps []step) string {
	w := &world{store: memstore.New(), makeNode: makeNode, runs: make(map[int][]time.Time), first: make(map[int]string)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w.heal()
		for i := range modelNodes {
			w.start(ctx, i)
		}
		for _, s := range steps {
			w.apply(ctx, s)
		}
		w.heal()
		time.Sleep(2 * modelRetention)
		cancel()
		w.wait.Wait()
	})
	return w.fault
}

// stepsVariable sets how many steps a schedule may have; more make long runs.
const stepsVariable = "GLADE_ONCE_STEPS"

func maxSteps() int {
	if steps, err := strconv.Atoi(os.Getenv(stepsVariable)); err == nil {
		return steps
	}
	return 40
}

// Callers send few keys again and again through gateways that are killed
// between claim, forward and result, pause, lose the store's answers, lose the
// owner's answers, and meet outages, throttling and a slow store. Whatever the
// order, the endpoint must not run a key twice within the retention, and a
// repeat that is answered must get the first answer.
func TestKeysRunAtMostOnceWhateverFails(t *testing.T) {
	ledgers := map[string]func(*world, string) *node{"grouped": makeGrouped, "per key": makePerKey}
	for name, makeNode := range ledgers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				steps := rapid.SliceOfN(drawnStep, 3, maxSteps()).Draw(rt, "steps")
				if fault := play(t, makeNode, steps); fault != "" {
					rt.Fatal(fault)
				}
			})
		})
	}
}
