package emulate

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/work"
)

// hopTime is how long a call between entry hosts takes one way.
const hopTime = time.Millisecond

// UnreachableError says that an entry host doesn't answer.
type UnreachableError struct{ Address string }

func (e UnreachableError) Error() string { return "no answer from " + e.Address }

// plugged is an entry host as it can be reached, nothing when it is cut off.
type plugged struct {
	poolrpc.Service
	carrier *carrier.Server
}

// Network carries calls between emulated entry hosts.
type Network struct {
	mu    sync.Mutex
	entry map[string]plugged
	// exchanges counts those with carriers that answer.
	exchanges int
}

var (
	_ poolrpc.Peers = (*Network)(nil)
	_ carrier.Peers = (*Network)(nil)
)

// NewNetwork returns a switch that reaches nobody.
func NewNetwork() *Network {
	return &Network{entry: make(map[string]plugged)}
}

// Connect makes an entry host reachable; nil cuts it off.
func (s *Network) Connect(address string, service poolrpc.Service, carries *carrier.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry[address] = plugged{service, carries}
}

// Exchange implements carrier.Peers.
func (s *Network) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	entry, err := s.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.exchanges++
	s.mu.Unlock()
	replies := entry.carrier.Exchange(ctx, session, calls)
	pause.For(ctx, hopTime)
	return replies, ctx.Err()
}

// Exchanges counts the exchanges that reached a carrier.
func (s *Network) Exchanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchanges
}

// reach returns an entry host after the time of a hop, or waits until the
// caller gives up.
func (s *Network) reach(ctx context.Context, address string) (plugged, error) {
	pause.For(ctx, hopTime)
	s.mu.Lock()
	entry := s.entry[address]
	s.mu.Unlock()
	if entry.Service == nil {
		<-ctx.Done()
		return plugged{}, UnreachableError{address}
	}
	return entry, nil
}

// Submit implements poolrpc.Peers.
func (s *Network) Submit(ctx context.Context, address string, record *work.Record, relay bool) (poolmanager.Result, bool, error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return poolmanager.ResultUnknown, true, err
	}
	result, held := service.Submit(ctx, record, relay)
	return result, held, nil
}

// Cancel implements poolrpc.Peers.
func (s *Network) Cancel(ctx context.Context, address, pool, id string, relay bool) (poolmanager.Result, bool, error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return poolmanager.ResultUnknown, true, err
	}
	result, held := service.Cancel(ctx, pool, id, relay)
	return result, held, nil
}

// State implements poolrpc.Peers.
func (s *Network) State(ctx context.Context, address, pool, id string, relay bool) (work.State, bool, bool, error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return "", false, false, err
	}
	state, known, held := service.State(ctx, pool, id, relay)
	return state, known, held, nil
}

// Waiting implements poolrpc.Peers.
func (s *Network) Waiting(ctx context.Context, address, pool, queue string) (int, bool, error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return 0, false, err
	}
	count, held := service.Waiting(ctx, pool, queue)
	return count, held, nil
}

// Vacate implements poolrpc.Peers.
func (s *Network) Vacate(ctx context.Context, address, pool string, hosts []string) (emptied []hostmanager.DrainState, held bool, err error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return nil, false, err
	}
	emptied, held = service.Vacate(ctx, pool, hosts)
	return emptied, held, nil
}

// Load implements poolrpc.Peers.
func (s *Network) Load(ctx context.Context, address, pool string, due []string) (hostmanager.Load, bool, error) {
	service, err := s.reach(ctx, address)
	if err != nil {
		return hostmanager.Load{}, false, err
	}
	load, held := service.LocalLoad(ctx, pool, due)
	return load, held, nil
}
