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

// faultyStore is the store as one gateway reaches it: unavailable while the gateway is
// cut off, and not responding while its process is paused.
type faultyStore struct {
	*memstore.Store
	gateway *testGateway
}

func (s *faultyStore) admitCall(ctx context.Context) error {
	for s.gateway.paused.Load() && ctx.Err() == nil {
		pause.For(ctx, 100*time.Millisecond)
	}
	if s.gateway.cutFromStore.Load() || ctx.Err() != nil {
		return &store.UnavailableError{Op: "any", Cause: context.DeadlineExceeded}
	}
	return nil
}

// admitConfigCall is admitCall for calls that read the configuration.
func (s *faultyStore) admitConfigCall(ctx context.Context) error {
	if err := s.admitCall(ctx); err != nil || !s.gateway.configDelayed.Load() {
		return err
	}
	return &store.UnavailableError{Op: "follow", Cause: context.DeadlineExceeded}
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.admitCall(ctx); err != nil {
		return store.Entry{}, err
	}
	entry, err := s.Store.Get(ctx, key)
	if faultErr := s.admitCall(ctx); faultErr != nil {
		return store.Entry{}, faultErr
	}
	return entry, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.admitConfigCall(ctx); err != nil {
		return store.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if err := s.admitCall(ctx); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, write)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := s.admitCall(ctx); err != nil {
		return store.WatchBatch{}, err
	}
	batch, err := s.Store.Watch(ctx, prefix, after)
	if faultErr := s.admitConfigCall(ctx); faultErr != nil {
		return store.WatchBatch{}, faultErr
	}
	return batch, err
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.admitCall(ctx); err != nil {
		return store.Lease{}, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s *faultyStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	if err := s.admitCall(ctx); err != nil {
		return store.Lease{}, err
	}
	return s.Store.KeepAlive(ctx, id)
}

// faultyProber delivers probes between gateways with delays and losses.
type faultyProber struct{ from *testGateway }

func (a *faultyProber) Probe(ctx context.Context, m share.Member) (ProbeResult, error) {
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
	result := ProbeResult{Member: target.id, Revision: store.Revision(target.manager.ConfirmedRevision())}
	pause.For(ctx, delay)
	return result, ctx.Err()
}

// faultyBorrower borrows as lending.Client does, over the same unreliable messages.
type faultyBorrower struct{ from *testGateway }

func (b *faultyBorrower) Borrow(ctx context.Context, service string, hosts []string, count int) limit.LoanBatch {
	peers := b.from.manager.Peers()
	if len(peers) == 0 {
		return limit.LoanBatch{}
	}
	f := b.from.fleet
	f.mu.Lock()
	m := peers[f.random.IntN(len(peers))]
	f.mu.Unlock()
	sentAt := time.Now()
	if !b.deliver(ctx, m) {
		return limit.LoanBatch{}
	}
	f.mu.Lock()
	lender := f.gateways[m.ID]
	f.mu.Unlock()
	if lender == nil {
		return limit.LoanBatch{}
	}
	allowed, connections := lender.manager.LendsTo(b.from.id)
	if !allowed {
		return limit.LoanBatch{}
	}
	hold := lender.manager.LongestTimeout() + share.LoanMargin
	loans := lender.limiter.Lend(service, hosts, count, hold, connections)
	if !b.deliver(ctx, m) {
		return limit.LoanBatch{}
	}
	return limit.LoanBatch{
		Lender: m.ID, Loans: loans, ExpiresAt: sentAt.Add(hold), WithConnections: connections, StartBy: sentAt.Add(share.LoanMargin),
	}
}

// CanBorrow implements Lenders.
func (b *faultyBorrower) CanBorrow(ctx context.Context) bool {
	for _, m := range b.from.manager.Peers() {
		if !b.deliver(ctx, m) {
			continue
		}
		b.from.fleet.mu.Lock()
		lender := b.from.fleet.gateways[m.ID]
		b.from.fleet.mu.Unlock()
		if lender == nil {
			continue
		}
		if allowed, _ := lender.manager.LendsTo(b.from.id); allowed {
			return true
		}
	}
	return false
}

func (b *faultyBorrower) Return(lender string, ids []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if m, known := b.from.manager.Member(lender); known && b.deliver(ctx, m) {
		b.from.fleet.mu.Lock()
		g := b.from.fleet.gateways[lender]
		b.from.fleet.mu.Unlock()
		if g != nil {
			g.limiter.EndLoans(ids)
		}
	}
}

// deliver delivers one message and reports whether it arrived.
func (b *faultyBorrower) deliver(ctx context.Context, m share.Member) bool {
	_, err := (&faultyProber{from: b.from}).Probe(ctx, m)
	return err == nil
}

// countedConn is a connection that the endpoint counts while it is open.
type countedConn struct {
	net.Conn
	endpoint *countingEndpoint
	once     sync.Once
}

func newCountedConn(e *countingEndpoint) *countedConn {
	local, _ := net.Pipe()
	e.connect(+1)
	return &countedConn{Conn: local, endpoint: e}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.endpoint.connect(-1) })
	return c.Conn.Close()
}

// idleConns keeps idle connections for later requests, as an HTTP transport does.
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
