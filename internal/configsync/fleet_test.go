package configsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/twitchtv/twirp"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// network transfers calls between the members of a test in memory. It can cut, stall
// or corrupt them.
type network struct {
	mu      sync.Mutex
	servers map[string]*peer.Server
	cut     map[string]bool
	stalled map[string]bool
	// corrupt, if set for an address, modifies its responses to Fetch.
	corrupt map[string]func(*peerpb.FetchResponse)
	// delay is the latency of responses to Fetch.
	delay map[string]time.Duration
	// ended is closed when the process at an address ends. This resets its
	// connections, so that calls in progress fail at once.
	ended map[string]chan struct{}
	// exchanges and confirmations count the calls of each kind.
	exchanges, confirmations int
}

func newNetwork() *network {
	return &network{
		servers: make(map[string]*peer.Server), cut: make(map[string]bool),
		stalled: make(map[string]bool), corrupt: make(map[string]func(*peerpb.FetchResponse)),
		delay: make(map[string]time.Duration), ended: make(map[string]chan struct{}),
	}
}

func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// end simulates the end of the process at an address.
func (n *network) end(address string) {
	n.update(func() {
		n.cut[address] = true
		close(n.ended[address])
	})
}

type link struct {
	network  *network
	from, to string
}

func (l link) reach(ctx context.Context) (*peer.Server, error) {
	n := l.network
	n.mu.Lock()
	server, cut, stalled := n.servers[l.to], n.cut[l.to] || n.cut[l.from], n.stalled[l.to]
	n.mu.Unlock()
	switch {
	case stalled:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut || server == nil:
		return nil, twirp.NewError(twirp.Unavailable, "connection refused")
	}
	return server, nil
}

func (l link) Exchange(ctx context.Context, r *peerpb.Presence) (*peerpb.Presence, error) {
	l.network.update(func() { l.network.exchanges++ })
	server, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return server.Exchange(ctx, r)
}

func (l link) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	server, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.network.mu.Lock()
	ended := l.network.ended[l.to]
	l.network.mu.Unlock()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	response, err := server.Fetch(ctx, r)
	// A response is lost if the connection was cut or stalled in the meantime.
	if _, lost := l.reach(ctx); lost != nil {
		return nil, lost
	}
	l.network.mu.Lock()
	corrupt, delay := l.network.corrupt[l.to], l.network.delay[l.to]
	l.network.mu.Unlock()
	time.Sleep(delay)
	if err == nil && corrupt != nil {
		corrupt(response)
	}
	return response, err
}

func (l link) Confirmed(ctx context.Context, r *peerpb.ConfirmedRequest) (*peerpb.ConfirmedResponse, error) {
	l.network.update(func() { l.network.confirmations++ })
	server, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return server.Confirmed(ctx, r)
}

// node is one member with its feed, syncer and registrar on the shared store.
type node struct {
	member    member.Member
	feed      *configfeed.Feed
	server    *peer.Server
	client    *peer.Client
	relay     *configsync.Syncer
	registrar *member.Registrar
	checker   *invariant.Checker
	stop      context.CancelFunc
}

// fleet is a set of members that share one store and one network.
type fleet struct {
	t       *testing.T
	store   *memstore.Store
	network *network
	nodes   []*node
	wait    sync.WaitGroup
}

var zones = []string{"a", "b", "c"}

func newFleet(t *testing.T, members int) *fleet {
	f := &fleet{t: t, store: memstore.New(), network: newNetwork()}
	for range members {
		f.start(f.store)
	}
	return f
}

// start adds a member that uses s as its store client.
func (f *fleet) start(s store.Store) *node { return f.startBuild(s, record.MaxSchema) }

// startBuild adds a member of a build that supports schemas up to maxSchema.
func (f *fleet) startBuild(s store.Store, maxSchema int) *node {
	index := len(f.nodes)
	self := member.Member{
		ID: fmt.Sprintf("gateway-%d", index+1), Role: member.RoleGateway, Zone: zones[index%len(zones)],
		PeerAddress: fmt.Sprintf("10.0.0.%d:7200", index+1), MaxSchema: maxSchema,
	}
	checker := invariant.New(zerolog.Nop(), nil)
	n := &node{member: self, checker: checker, feed: configfeed.New(s, zerolog.Nop(), checker, nil, configfeed.WithMaxSchema(maxSchema))}
	n.server = peer.NewServer(self, n.feed)
	n.client = peer.NewClient(peer.WithServer(n.server), peer.WithDial(func(address string) peerpb.Peer {
		return link{f.network, self.PeerAddress, address}
	}))
	n.relay = configsync.New(configsync.Config{Feed: n.feed, Server: n.server, Client: n.client, SeedAddresses: f.addresses(), Log: zerolog.Nop()})
	n.registrar = member.NewRegistrar(s, self, 0, zerolog.Nop())
	f.network.update(func() {
		f.network.servers[self.PeerAddress] = n.server
		f.network.ended[self.PeerAddress] = make(chan struct{})
	})
	f.nodes = append(f.nodes, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.wait.Go(func() { _ = n.relay.Serve(ctx) })
	f.wait.Go(func() { _ = n.registrar.Serve(ctx) })
	return n
}

func (f *fleet) addresses() []string {
	var list []string
	for _, n := range f.nodes {
		list = append(list, n.member.PeerAddress)
	}
	return list
}

// close stops all members and checks that no invariant was violated.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.wait.Wait()
	for _, n := range f.nodes {
		must.SliceEmpty(f.t, n.checker.Violations())
	}
}

// write stores a policy, as an accepted change does, and returns its revision.
func (f *fleet) write(stabilizationSeconds int) store.Revision {
	return f.writeEnvelope(record.NewEnvelope(record.PolicyName, &record.Policy{MoveStabilizationSeconds: stabilizationSeconds}))
}

func (f *fleet) writeEnvelope(envelope record.Envelope) store.Revision {
	f.t.Helper()
	key := storekeys.Spec(envelope.ID())
	entry, _ := f.store.Get(context.Background(), key)
	revision, err := f.store.CompareAndSwap(context.Background(), store.SwapRequest{
		Key: key, Expect: entry.ModRevision, Value: encode(f.t, envelope),
	})
	must.NoError(f.t, err)
	return revision
}

// behind returns the IDs of the nodes that do not serve a revision yet.
func behind(nodes []*node, revision store.Revision) []string {
	var list []string
	for _, n := range nodes {
		if n.feed.ServedRevision() < revision {
			list = append(list, n.member.ID)
		}
	}
	return list
}

// awaitRevision waits until every node serves the revision and returns how long it
// took in virtual time. It fails the test after limit.
func (f *fleet) awaitRevision(nodes []*node, revision store.Revision, limit time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for len(behind(nodes, revision)) > 0 {
		if time.Since(began) > limit {
			must.SliceEmpty(f.t, behind(nodes, revision))
		}
		time.Sleep(step)
	}
	return time.Since(began)
}

const step = 10 * time.Millisecond

// relays returns the nodes that watch the store.
func (f *fleet) relays() []*node {
	var list []*node
	for _, n := range f.nodes {
		if n.server.Watching() {
			list = append(list, n)
		}
	}
	return list
}
