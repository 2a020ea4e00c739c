package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/bytecount"
	"auburnglade.example/glade/internal/devrun"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/platformhttp"
	"auburnglade.example/glade/internal/standin"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// IdleOptions configure a measurement of the control plane's cost per node.
type IdleOptions struct {
	Options
	Fleet standin.SyntheticFleet
	// ChangeInterval is the interval between two configuration changes; zero means
	// no changes.
	ChangeInterval time.Duration
}

// IdleReport holds the platform's counts over LengthSeconds, while the daemons were
// idle except for the configuration changes.
type IdleReport struct {
	Hosts           int     `json:"hosts"`
	Pools           int     `json:"pools"`
	Members         int     `json:"members"`
	LengthSeconds   float64 `json:"length_seconds"`
	Changes         int     `json:"changes"`
	ReadsPerSecond  float64 `json:"store_reads_per_second"`
	WritesPerSecond float64 `json:"store_writes_per_second"`
	LeasesPerSecond float64 `json:"store_lease_calls_per_second"`
	WatchPerSecond  float64 `json:"store_watch_calls_per_second"`
	OpenWatches     int64   `json:"store_open_watches"`
	// BytesPerMemberSecond is the platform's traffic in both directions, counted
	// as HTTP headers and bodies on its listener.
	BytesPerMemberSecond float64 `json:"platform_bytes_per_member_second"`
}

// EndLine is printed at the end of the measured period.
const EndLine = "END"

const (
	warmUpTime         = 5 * time.Second
	memberTimeout      = 60 * time.Second
	memberPollInterval = 100 * time.Millisecond
)

// Idle starts a platform with a fleet of the given size and without endpoints,
// waits until the daemons have registered, and counts their calls for the length
// of the run.
func Idle(ctx context.Context, options IdleOptions, out io.Writer) (IdleReport, error) {
	kv := memstore.New()
	if err := loadFleet(ctx, kv, options.Fleet); err != nil {
		return IdleReport{}, err
	}
	run, err := devrun.New(options.devrunOptions())
	if err != nil {
		return IdleReport{}, err
	}
	listener, err := net.Listen("tcp", run.PlatformAddress())
	if err != nil {
		return IdleReport{}, err
	}
	counting := &bytecount.Listener{Listener: listener, Bytes: new(atomic.Int64)}
	hosts := fakefleet.New(options.Fleet.HostList(), fakefleet.Options{ListLag: time.Second})
	server := &http.Server{
		Handler:           platformhttp.NewHandler(platformhttp.Backend{Store: kv, Hosts: hosts, HostControl: hosts}),
		ReadHeaderTimeout: time.Second,
	}
	go func() {
		// Returns when the server is closed.
		_ = server.Serve(counting)
	}()
	defer server.Close()
	members := options.Gateways + options.Controllers
	if err := awaitMembers(ctx, kv, members); err != nil {
		return IdleReport{}, err
	}
	pause.For(ctx, warmUpTime)
	m := &idleMeasurement{kv: kv, listener: counting, options: options, members: members}
	return m.run(ctx, out), nil
}

func loadFleet(ctx context.Context, kv *memstore.Store, fleet standin.SyntheticFleet) error {
	for _, entry := range fleet.Listing().Entries {
		if _, err := kv.CompareAndSwap(ctx, store.SwapRequest{Key: entry.Key, Value: entry.Value}); err != nil {
			return err
		}
	}
	return nil
}

func awaitMembers(ctx context.Context, kv *memstore.Store, wanted int) error {
	deadline := time.Now().Add(memberTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		listing, err := kv.List(ctx, storekeys.MemberPrefix)
		if err == nil && len(listing.Entries) >= wanted {
			return nil
		}
		pause.For(ctx, memberPollInterval)
	}
	return &devrun.SetupError{Part: "members", Cause: context.DeadlineExceeded}
}

type idleMeasurement struct {
	kv       *memstore.Store
	listener *bytecount.Listener
	options  IdleOptions
	members  int
	changes  int
}

func (m *idleMeasurement) run(ctx context.Context, out io.Writer) IdleReport {
	before, bytesBefore := m.kv.Counts(), m.listener.Bytes.Load()
	start := time.Now()
	fmt.Fprintln(out, BeginLine)
	m.makeChanges(ctx, start)
	after, bytesAfter := m.kv.Counts(), m.listener.Bytes.Load()
	fmt.Fprintln(out, EndLine)
	seconds := time.Since(start).Seconds()
	rate := func(a, b int64) float64 { return float64(a-b) / seconds }
	// Each change adds a read and a write by this process, which are not counted
	// as the daemons' calls.
	own := int64(m.changes)
	return IdleReport{
		Hosts: m.options.Fleet.Hosts, Pools: m.options.Fleet.Pools, Members: m.members,
		LengthSeconds: seconds, Changes: m.changes,
		ReadsPerSecond:       rate(after.Reads, before.Reads+own),
		WritesPerSecond:      rate(after.Writes, before.Writes+own),
		LeasesPerSecond:      rate(after.LeaseCalls, before.LeaseCalls),
		WatchPerSecond:       rate(after.WatchCalls, before.WatchCalls),
		OpenWatches:          after.OpenWatches,
		BytesPerMemberSecond: rate(bytesAfter, bytesBefore) / float64(m.members),
	}
}

// makeChanges rewrites one record every ChangeInterval until the end of the run.
func (m *idleMeasurement) makeChanges(ctx context.Context, start time.Time) {
	key := m.options.Fleet.Listing().Entries[0].Key
	for time.Since(start) < m.options.Length && ctx.Err() == nil {
		if m.options.ChangeInterval == 0 {
			pause.For(ctx, m.options.Length-time.Since(start))
			continue
		}
		pause.For(ctx, m.options.ChangeInterval)
		entry, err := m.kv.Get(ctx, key)
		if err != nil {
			continue
		}
		if _, err := m.kv.CompareAndSwap(ctx, store.SwapRequest{Key: key, Expect: entry.ModRevision, Value: entry.Value}); err == nil {
			m.changes++
		}
	}
}
