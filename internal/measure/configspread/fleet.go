package configspread

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/bytecount"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/storelimit"
)

// fleet is a set of complete members on one store, in one process.
type fleet struct {
	ctx                  context.Context
	cancel               context.CancelFunc
	store                *memstore.Store
	zones                int
	bytes                atomic.Int64
	members              []*node
	peers                []string
	wait                 sync.WaitGroup
	stabilizationSeconds int
	policyRevision       store.Revision
}

// node is one member.
type node struct {
	feed   *configfeed.Feed
	server *http.Server
}

func newFleet(ctx context.Context, zones, hosts, pools int) (*fleet, error) {
	f := &fleet{store: memstore.New(), zones: zones}
	f.ctx, f.cancel = context.WithCancel(ctx)
	for i := range pools {
		envelope := record.NewEnvelope(fmt.Sprintf("pool-%d", i), &record.Pool{Size: 4})
		if err := f.put(storekeys.Spec(envelope.ID()), encode(envelope)); err != nil {
			return nil, err
		}
	}
	for i := range hosts {
		host := hostrecord.Record{Host: fmt.Sprintf("host-%04d", i), Pool: fmt.Sprintf("pool-%d", i%pools), Phase: hostrecord.Serving}
		if err := f.put(storekeys.Host(host.Host), host.Encode()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) put(key string, value []byte) error {
	_, err := f.store.CompareAndSwap(f.ctx, store.SwapRequest{Key: key, Value: value})
	return err
}

// start starts a member with the components that a daemon runs.
func (f *fleet) start() (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	index := len(f.members)
	self := member.Member{
		ID: fmt.Sprintf("gateway-%03d", index), Role: member.RoleGateway, Zone: fmt.Sprintf("zone-%d", index%f.zones),
		PeerAddress: listener.Addr().String(), MaxSchema: record.MaxSchema,
	}
	n := &node{}
	log := zerolog.Nop()
	budget := storelimit.New(f.store, storelimit.Config{
		Members: func() int { return len(n.feed.Snapshot().Members) }, Log: log,
	})
	n.feed = configfeed.New(budget, log, invariant.New(log, nil), nil)
	server := peer.NewServer(self, n.feed)
	client := peer.NewClient(peer.WithServer(server))
	syncer := configsync.New(configsync.Config{Feed: n.feed, Server: server, Client: client, SeedAddresses: f.addresses(), Log: log})
	registrar := member.NewRegistrar(budget, self, 0, log)
	_, handler := server.Handler()
	n.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.members = append(f.members, n)
	f.peers = append(f.peers, self.PeerAddress)
	f.wait.Go(func() { _ = n.server.Serve(&bytecount.Listener{Listener: listener, Bytes: &f.bytes}) })
	f.wait.Go(func() { _ = syncer.Serve(f.ctx) })
	f.wait.Go(func() { _ = registrar.Serve(f.ctx) })
	return n, nil
}

// maxSeeds is the number of seed addresses in the settings of each member.
const maxSeeds = 9

func (f *fleet) addresses() []string { return f.peers[:min(maxSeeds, len(f.peers))] }

func encode(envelope record.Envelope) []byte {
	data, err := json.Marshal(envelope)
	if err != nil {
		// Encoding an envelope can't fail.
		panic(err)
	}
	return data
}

func (f *fleet) stop() {
	f.cancel()
	for _, n := range f.members {
		_ = n.server.Close()
	}
	f.wait.Wait()
}

// applyChange writes one change and returns the time in milliseconds from its
// acceptance until the last member has it.
func (f *fleet) applyChange(ctx context.Context) (float64, error) {
	f.stabilizationSeconds++
	envelope := record.NewEnvelope(record.PolicyName, &record.Policy{MoveStabilizationSeconds: f.stabilizationSeconds})
	revision, err := f.store.CompareAndSwap(ctx, store.SwapRequest{
		Key: storekeys.Spec(envelope.ID()), Expect: f.policyRevision, Value: encode(envelope),
	})
	if err != nil {
		return 0, err
	}
	f.policyRevision = revision
	began := time.Now()
	for _, n := range f.members {
		if err := awaitRevision(ctx, n.feed, revision); err != nil {
			return 0, err
		}
	}
	return milliseconds(time.Since(began)), nil
}

// PropagationTimeoutError reports that a member didn't receive a change in time.
type PropagationTimeoutError struct{ Revision, Has store.Revision }

func (e *PropagationTimeoutError) Error() string {
	return fmt.Sprintf("member is at revision %d, want at least %d", e.Has, e.Revision)
}

func awaitRevision(ctx context.Context, f *configfeed.Feed, revision store.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for {
		snapshot, changed := f.Current()
		if snapshot.Revision >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &PropagationTimeoutError{Revision: revision, Has: snapshot.Revision}
		}
	}
}

// calls returns the number of calls that reached the store, including refused ones.
func (f *fleet) calls() int64 {
	c := f.store.Counts()
	return c.Reads + c.Writes + c.LeaseCalls + c.WatchCalls + c.Refused
}

// observe returns the cost of the fleet during run.
func (f *fleet) observe(run func()) Cost {
	bytes, calls, cpu, began := f.bytes.Load(), f.calls(), cpuTime(), time.Now()
	counts := f.store.Counts()
	run()
	after := f.store.Counts()
	seconds := time.Since(began).Seconds()
	members := float64(len(f.members))
	cost := Cost{
		// Each byte counts for both members of the connection.
		BytesPerMember: 2 * float64(f.bytes.Load()-bytes) / seconds / members,
		StoreCalls:     float64(f.calls()-calls) / seconds,
		LeaseCalls:     float64(after.LeaseCalls-counts.LeaseCalls) / seconds,
		WatchCalls:     float64(after.Reads+after.WatchCalls-counts.Reads-counts.WatchCalls) / seconds,
		CPUPerMember:   100 * (cpuTime() - cpu).Seconds() / seconds / members,
	}
	cost.StoreCallsPerMember = cost.StoreCalls / members
	return cost
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
