package emulate

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
	"auburnglade.example/glade/internal/work"
)

// hopLatency is the one-way latency of a call between entry hosts.
const hopLatency = time.Millisecond

// UnreachableError reports that no entry host is reachable at Address.
type UnreachableError struct{ Address string }

func (e UnreachableError) Error() string { return "no response from " + e.Address }

// connection holds the services of a connected entry host; Service is nil when the
// host is disconnected.
type connection struct {
	poolrpc.Service
	carrier *carrier.Server
	access  *storeaccess.Access
}

// Network delivers calls between emulated entry hosts. It implements
// poolrpc.Peers and carrier.Peers.
type Network struct {
	mu          sync.Mutex
	connections map[string]connection
	// exchanges is the number of exchanges delivered to a carrier.
	exchanges int
	// storeCalls counts the calls in place of the store that were delivered.
	storeCalls StoreCalls
}

var (
	_ poolrpc.Peers = (*Network)(nil)
	_ carrier.Peers = (*Network)(nil)
)

// NewNetwork returns a network without connected entry hosts.
func NewNetwork() *Network {
	return &Network{connections: make(map[string]connection)}
}

// Connect makes an entry host reachable at address. A nil service disconnects it.
func (n *Network) Connect(address string, service poolrpc.Service, carrierServer *carrier.Server, access *storeaccess.Access) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[address] = connection{service, carrierServer, access}
}

// Exchange implements carrier.Peers.
func (n *Network) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	entry, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.exchanges++
	n.mu.Unlock()
	replies := entry.carrier.Exchange(ctx, session, calls)
	pause.For(ctx, hopLatency)
	return replies, ctx.Err()
}

// Exchanges returns the number of exchanges delivered to a carrier.
func (n *Network) Exchanges() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exchanges
}

// reach returns an entry host after the latency of one hop. If the host is
// disconnected, it waits until ctx ends and returns UnreachableError.
func (n *Network) reach(ctx context.Context, address string) (connection, error) {
	pause.For(ctx, hopLatency)
	n.mu.Lock()
	entry := n.connections[address]
	n.mu.Unlock()
	if entry.Service == nil {
		<-ctx.Done()
		return connection{}, UnreachableError{address}
	}
	return entry, nil
}

// Submit implements poolrpc.Peers.
func (n *Network) Submit(ctx context.Context, address string, record *work.JobRecord, relay bool) (poolmanager.Reply, bool, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return poolmanager.Reply{Result: poolmanager.ResultUnknown}, true, err
	}
	reply, held := service.Submit(ctx, record, relay)
	return reply, held, nil
}

// Cancel implements poolrpc.Peers.
func (n *Network) Cancel(ctx context.Context, address string, job work.JobRef, relay bool) (poolmanager.Result, bool, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return poolmanager.ResultUnknown, true, err
	}
	result, held := service.Cancel(ctx, job, relay)
	return result, held, nil
}

// State implements poolrpc.Peers.
func (n *Network) State(ctx context.Context, address string, job work.JobRef, relay bool) (work.State, bool, bool, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return "", false, false, err
	}
	state, known, held := service.State(ctx, job, relay)
	return state, known, held, nil
}

// Waiting implements poolrpc.Peers.
func (n *Network) Waiting(ctx context.Context, address, pool, queue string) (int, bool, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return 0, false, err
	}
	count, held := service.Waiting(ctx, pool, queue)
	return count, held, nil
}

// Vacate implements poolrpc.Peers.
func (n *Network) Vacate(ctx context.Context, address, pool string, hosts []string) (drained []hostmanager.DrainState, held bool, err error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return nil, false, err
	}
	drained, held = service.DrainLocal(ctx, pool, hosts)
	return drained, held, nil
}

// NewestConfiguration implements configrelay.Peers.
func (n *Network) NewestConfiguration(ctx context.Context, address string) (configrelay.Answer, error) {
	answer, err := n.Configuration(ctx, address, 0)
	answer.Data = nil
	return answer, err
}

// Configuration implements configrelay.Peers.
func (n *Network) Configuration(ctx context.Context, address string, known store.Revision) (configrelay.Answer, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return configrelay.Answer{}, err
	}
	answer := service.ConfigurationAfter(known)
	pause.For(ctx, hopLatency)
	return answer, ctx.Err()
}

// Load implements poolrpc.Peers.
func (n *Network) Load(ctx context.Context, address, pool string, due []string) (hostmanager.Load, bool, error) {
	service, err := n.reach(ctx, address)
	if err != nil {
		return hostmanager.Load{}, false, err
	}
	load, held := service.LocalLoad(ctx, pool, due)
	return load, held, nil
}
