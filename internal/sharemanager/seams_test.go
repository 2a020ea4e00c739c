package sharemanager

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

func encodeEnvelope(t *testing.T, envelope record.Envelope) []byte {
	t.Helper()
	data, err := json.Marshal(envelope)
	must.NoError(t, err)
	return data
}

// gatedStore is the store as one gateway sees it: away while the gateway is
// cut off, and not answering while its process is paused.
type gatedStore struct {
	*memstore.Store
	gateway *testGateway
}

func (s *gatedStore) pass(ctx context.Context) error {
	for s.gateway.paused.Load() && ctx.Err() == nil {
		pause.For(ctx, 100*time.Millisecond)
	}
	if s.gateway.cutFromStore.Load() || ctx.Err() != nil {
		return &store.UnavailableError{Op: "any", Cause: context.DeadlineExceeded}
	}
	return nil
}

// follow is pass for calls that follow the configuration.
func (s *gatedStore) follow(ctx context.Context) error {
	if err := s.pass(ctx); err != nil || !s.gateway.feedLate.Load() {
		return err
	}
	return &store.UnavailableError{Op: "follow", Cause: context.DeadlineExceeded}
}

func (s *gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.pass(ctx); err != nil {
		return store.Entry{}, err
	}
	entry, err := s.Store.Get(ctx, key)
	if lost := s.pass(ctx); lost != nil {
		return store.Entry{}, lost
	}
	return entry, err
}

func (s *gatedStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.follow(ctx); err != nil {
		return store.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *gatedStore) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	if err := s.pass(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, write)
}

func (s *gatedStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := s.pass(ctx); err != nil {
		return store.WatchBatch{}, err
	}
	batch, err := s.Store.Watch(ctx, prefix, after)
	if lost := s.follow(ctx); lost != nil {
		return store.WatchBatch{}, lost
	}
	return batch, err
}

func (s *gatedStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.pass(ctx); err != nil {
		return store.Lease{}, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *gatedStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	if err := s.pass(ctx); err != nil {
		return store.Lease{}, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// gatedAsker carries messages between gateways with delays and losses.
type gatedAsker struct{ from *testGateway }

func (a *gatedAsker) Probe(ctx context.Context, m share.Member) (ProbeResult, error) {
	f := a.from.fleet
	f.mu.Lock()
	target := f.gateways[m.PeerAddress]
	delay, lost := time.Duration(f.random.Int64N(int64(f.delay)+1)), f.random.IntN(100) < f.lost
	f.mu.Unlock()
	pause.For(ctx, delay)
	switch {
	case a.from.cutFromPeers.Load() || lost:
		<-ctx.Done()
		return ProbeResult{}, ctx.Err()
	case target == nil:
		return ProbeResult{}, &ConnectionRefusedError{Member: m.ID, Cause: syscall.ECONNREFUSED}
	case target.cutFromPeers.Load() || target.paused.Load() || a.from.paused.Load():
		<-ctx.Done()
		return ProbeResult{}, ctx.Err()
	}
	answer := ProbeResult{Member: target.id, Revision: store.Revision(target.keeper.ConfirmedRevision())}
	pause.For(ctx, delay)
	return answer, ctx.Err()
}

// gatedBroker borrows as lending.Broker does, over the same bad messages.
type gatedBroker struct{ from *testGateway }

func (b *gatedBroker) Borrow(ctx context.Context, service string, hosts []string, count int) limit.LoanBatch {
	others := b.from.keeper.Peers()
	if len(others) == 0 {
		return limit.LoanBatch{}
	}
	f := b.from.fleet
	f.mu.Lock()
	m := others[f.random.IntN(len(others))]
	f.mu.Unlock()
	asked := time.Now()
	if !b.pass(ctx, m) {
		return limit.LoanBatch{}
	}
	f.mu.Lock()
	lender := f.gateways[m.ID]
	f.mu.Unlock()
	if lender == nil {
		return limit.LoanBatch{}
	}
	may, connections := lender.keeper.LendsTo(b.from.id)
	if !may {
		return limit.LoanBatch{}
	}
	hold := lender.keeper.LongestTimeout() + share.LoanMargin
	loans := lender.limiter.Lend(service, hosts, count, hold, connections)
	if !b.pass(ctx, m) {
		return limit.LoanBatch{}
	}
	return limit.LoanBatch{
		Lender: m.ID, Loans: loans, ExpiresAt: asked.Add(hold), WithConnections: connections, StartBy: asked.Add(share.LoanMargin),
	}
}

// CanBorrow implements Lenders.
func (b *gatedBroker) CanBorrow(ctx context.Context) bool {
	for _, m := range b.from.keeper.Peers() {
		if !b.pass(ctx, m) {
			continue
		}
		b.from.fleet.mu.Lock()
		lender := b.from.fleet.gateways[m.ID]
		b.from.fleet.mu.Unlock()
		if lender == nil {
			continue
		}
		if may, _ := lender.keeper.LendsTo(b.from.id); may {
			return true
		}
	}
	return false
}

func (b *gatedBroker) Return(lender string, ids []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if m, known := b.from.keeper.Member(lender); known && b.pass(ctx, m) {
		b.from.fleet.mu.Lock()
		g := b.from.fleet.gateways[lender]
		b.from.fleet.mu.Unlock()
		if g != nil {
			g.limiter.EndLoans(ids)
		}
	}
}

// pass carries one message, if it arrives.
func (b *gatedBroker) pass(ctx context.Context, m share.Member) bool {
	_, err := (&gatedAsker{from: b.from}).Probe(ctx, m)
	return err == nil
}

// countedConn is one connection that the endpoint counts while it is open.
type countedConn struct {
	net.Conn
	endpoint *countingEndpoint
	once     sync.Once
}

func newCountedConn(e *countingEndpoint) *countedConn {
	near, _ := net.Pipe()
	e.connect(+1)
	return &countedConn{Conn: near, endpoint: e}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.endpoint.connect(-1) })
	return c.Conn.Close()
}

// idleConns keeps connections for the next request, as a transport does.
type idleConns struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (i *idleConns) take() net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.conns) == 0 {
		return nil
	}
	conn := i.conns[len(i.conns)-1]
	i.conns = i.conns[:len(i.conns)-1]
	return conn
}

func (i *idleConns) keep(conn net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns = append(i.conns, conn)
	return true
}

func (i *idleConns) closeAll() {
	i.mu.Lock()
	conns := i.conns
	i.conns = nil
	i.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
