package emulate

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/worker"
)

// Process is an entry host's process as the platform sees it: it may stand still, or be cut
// off from hosts. A call that is due while it stands still is made when it goes on, and
// a response that arrives meanwhile is read then.
type Process struct {
	// killed ends when the process is killed.
	killed context.Context

	mu sync.Mutex
	// resumed is closed when the process goes on, nil while it does.
	resumed chan struct{}
	// cutOff reports whether the process is cut off from a host, nil for from none.
	cutOff func(host string) bool
}

// NewProcess returns a process that runs until ctx ends.
func NewProcess(ctx context.Context) *Process { return &Process{killed: ctx} }

// Suspend makes the process stand still until Resume.
func (p *Process) Suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

// Resume makes the process go on.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// CutOff cuts the process off from the hosts for which from reports so, nil for from none.
func (p *Process) CutOff(from func(host string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = from
}

// await waits until the process goes on, or was killed.
func (p *Process) await() {
	for {
		p.mu.Lock()
		resumed := p.resumed
		p.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-p.killed.Done():
			return
		}
	}
}

func (p *Process) stands() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

func (p *Process) isCutOff(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff != nil && p.cutOff(host)
}

// held makes a call once the process goes on and returns when it does. The timeout of a
// call that was due while it stood still begins then.
func held[T any](ctx context.Context, p *Process, call func(ctx context.Context) (T, error)) (result T, err error) {
	if p.stands() {
		ctx = context.WithoutCancel(ctx)
	}
	p.await()
	if err := p.killed.Err(); err != nil {
		return result, err
	}
	result, err = call(ctx)
	p.await()
	return result, err
}

// Client returns the client through which the process calls hosts.
func (p *Process) Client(client worker.Client) worker.Client { return processClient{p, client} }

// processClient is a client of the hosts in a Process.
type processClient struct {
	process *Process
	client  worker.Client
}

// call makes a call to a host.
func (c processClient) call(ctx context.Context, to worker.Target, timeout time.Duration, call func(ctx context.Context) worker.Outcome) worker.Outcome {
	outcome, err := held(ctx, c.process, func(ctx context.Context) (worker.Outcome, error) {
		if c.process.isCutOff(to.ID) {
			pause.For(ctx, timeout)
			return worker.Unknown, nil
		}
		outcome := call(ctx)
		if c.process.isCutOff(to.ID) {
			return worker.Unknown, nil
		}
		return outcome, nil
	})
	if err != nil {
		return worker.Unknown
	}
	return outcome
}

// Start implements worker.Client.
func (c processClient) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	return c.call(ctx, to, callTimeout, func(ctx context.Context) worker.Outcome { return c.client.Start(ctx, to, o) })
}

// Stop implements worker.Client.
func (c processClient) Stop(ctx context.Context, to worker.Target, o worker.Stop) worker.Outcome {
	return c.call(ctx, to, callTimeout, func(ctx context.Context) worker.Outcome { return c.client.Stop(ctx, to, o) })
}

// Throttle implements worker.Client.
func (c processClient) Throttle(ctx context.Context, to worker.Target, o worker.Throttle) worker.Outcome {
	return c.call(ctx, to, callTimeout, func(ctx context.Context) worker.Outcome { return c.client.Throttle(ctx, to, o) })
}

// Heartbeat implements worker.Client.
func (c processClient) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (reply worker.HeartbeatReply, outcome worker.Outcome) {
	outcome = c.call(ctx, to, o.Wait+heartbeatGrace, func(ctx context.Context) (outcome worker.Outcome) {
		reply, outcome = c.client.Heartbeat(ctx, to, o)
		return outcome
	})
	if outcome != worker.Accepted {
		return worker.HeartbeatReply{}, outcome
	}
	return reply, outcome
}

// Hosts returns the source from which the process knows the hosts of pools.
func (p *Process) Hosts(source worker.HostSource) worker.HostSource { return processHosts{p, source} }

// processHosts is a source of hosts in a Process.
type processHosts struct {
	process *Process
	source  worker.HostSource
}

// Watch implements worker.HostSource.
func (h processHosts) Watch(ctx context.Context, pool string, update func([]worker.Host)) {
	h.source.Watch(ctx, pool, func(hosts []worker.Host) {
		h.process.await()
		update(hosts)
	})
}

// Fleet returns the service that moves and maintains hosts as the process reaches it.
func (p *Process) Fleet(fleet hostmanager.Fleet) hostmanager.Fleet { return processFleet{p, fleet} }

// processFleet is the service that moves and maintains hosts in a Process.
type processFleet struct {
	process *Process
	fleet   hostmanager.Fleet
}

// List implements hostmanager.Fleet.
func (f processFleet) List(ctx context.Context) ([]hostmanager.Host, error) {
	return held(ctx, f.process, f.fleet.List)
}

// Move implements hostmanager.Fleet.
func (f processFleet) Move(ctx context.Context, host, pool string, fence int64) hostmanager.Outcome {
	return f.call(ctx, func(ctx context.Context) hostmanager.Outcome { return f.fleet.Move(ctx, host, pool, fence) })
}

// Maintain implements hostmanager.Fleet.
func (f processFleet) Maintain(ctx context.Context, host string, wave int64, fence int64) hostmanager.Outcome {
	return f.call(ctx, func(ctx context.Context) hostmanager.Outcome { return f.fleet.Maintain(ctx, host, wave, fence) })
}

func (f processFleet) call(ctx context.Context, call func(ctx context.Context) hostmanager.Outcome) hostmanager.Outcome {
	outcome, err := held(ctx, f.process, func(ctx context.Context) (hostmanager.Outcome, error) { return call(ctx), nil })
	if err != nil {
		return hostmanager.Unknown
	}
	return outcome
}

// Store returns the store as the process reaches it.
func (p *Process) Store(s store.Transactor) store.Transactor { return processStore{s, p} }

// processStore is the store in a Process.
type processStore struct {
	store.Transactor
	process *Process
}

// Get implements store.Store.
func (s processStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Entry, error) { return s.Transactor.Get(ctx, key) })
}

// List implements store.Store.
func (s processStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Listing, error) { return s.Transactor.List(ctx, prefix) })
}

// CompareAndSwap implements store.Store.
func (s processStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Revision, error) { return s.Transactor.CompareAndSwap(ctx, write) })
}

// Watch implements store.Store.
func (s processStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.WatchBatch, error) { return s.Transactor.Watch(ctx, prefix, after) })
}

// Grant implements store.Store.
func (s processStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Lease, error) { return s.Transactor.Grant(ctx, ttl) })
}

// KeepAlive implements store.Store.
func (s processStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Lease, error) { return s.Transactor.KeepAlive(ctx, id) })
}

// Commit implements store.Transactor.
func (s processStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	return held(ctx, s.process, func(ctx context.Context) (store.Revision, error) { return s.Transactor.Commit(ctx, txn) })
}
