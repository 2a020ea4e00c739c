package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// LiveRun is the result of a run of one controller at the target size in real time,
// counted by the fakes.
type LiveRun struct {
	Hosts       int     `json:"hosts"`
	Pools       int     `json:"pools"`
	Tasks       int     `json:"tasks"`
	Urgent      int     `json:"urgent"`
	FillSeconds float64 `json:"fill_seconds"`
	// Start times of urgent jobs are from the write of the record to the start on the
	// worker.
	UrgentStartP50  float64 `json:"urgent_start_seconds_p50"`
	UrgentStartP99  float64 `json:"urgent_start_seconds_p99"`
	UrgentStartMax  float64 `json:"urgent_start_seconds_max"`
	Preempted       int     `json:"displaced"`
	DoubleRuns      int     `json:"double_runs"`
	StoreWrites     float64 `json:"store_writes_per_second"`
	StoreReads      float64 `json:"store_reads_per_second"`
	IdleWrites      float64 `json:"idle_store_writes_per_second"`
	IdleReads       float64 `json:"idle_store_reads_per_second"`
	WorkerCallsIdle float64 `json:"idle_worker_calls_per_second"`
	// IdleCores is the CPU time of this process per second while nothing changes,
	// including that of the fakes.
	IdleCores  float64 `json:"idle_cores"`
	Violations int     `json:"invariant_violations"`
}

// In the live run, every worker is full of tasks of low priority, and urgent jobs are
// submitted one after the other, round-robin over the pools.
const (
	storeLatency   = 3 * time.Millisecond
	checkpointTime = 300 * time.Millisecond
	urgentInterval = 100 * time.Millisecond
	idleDuration   = 30 * time.Second
	fillTimeout    = 2 * time.Minute
	tasksPerHost   = 4
)

// TimeoutError reports that a part of the run didn't end in time.
type TimeoutError struct{ Part string }

func (e *TimeoutError) Error() string { return "measurement: timeout waiting for " + e.Part }

type alwaysOwner struct{}

func (alwaysOwner) Owned() bool { return true }

type liveBench struct {
	cmd     *Cmd
	store   *memstore.Store
	workers *fakeworkers.Workers
	fleet   *fakefleet.Fleet
	checker *invariant.Checker
}

func (c *Cmd) measureLive() (*LiveRun, error) {
	r := &liveBench{cmd: c, store: memstore.New(), checker: invariant.New(zerolog.Nop(), nil)}
	r.setUp()
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	f := configfeed.New(r.store, zerolog.Nop(), r.checker, nil)
	m := jobs.New(jobs.Config{
		Member: "measured", Store: r.store, Feed: f, Hosts: r.fleet, HostControl: r.fleet, Workers: r.workers,
		Shard: alwaysOwner{}, Invariant: r.checker, Log: zerolog.Nop(),
	})
	r.store.SetLatency(storeLatency)
	wait.Go(func() { _ = f.Serve(ctx) })
	wait.Go(func() { _ = m.Serve(ctx) })
	return r.observe()
}

func (r *liveBench) setUp() {
	var hosts []fleet.Host
	var names []string
	capacity := record.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory, Accelerators: accelerators}
	perPool := make(map[string]int)
	for i := range r.cmd.Hosts {
		name, pool := fmt.Sprintf("host-%05d", i), poolName(i%r.cmd.Pools)
		names = append(names, name)
		perPool[pool]++
		hosts = append(hosts, fleet.Host{Name: name, Zone: fmt.Sprintf("zone-%d", i%zoneCount), Capacity: capacity})
		r.write(storekeys.Host(name), hostrecord.Record{Host: name, Pool: pool, Phase: hostrecord.Serving}.Encode())
	}
	r.fleet = fakefleet.New(hosts, fakefleet.Options{})
	r.workers = fakeworkers.New(names, fakeworkers.Options{
		ReportLag: 2 * time.Second, CheckpointTime: checkpointTime,
		Behave: func(fleet.Task) fakeworkers.Behaviour {
			return fakeworkers.Behaviour{Used: record.Resources{MilliCPU: 1000, MemoryMB: 1024}, Work: time.Hour}
		},
	})
	for i := range r.cmd.Pools {
		pool := poolName(i)
		r.put(pool, &record.Pool{Size: perPool[pool], Jobs: true})
		r.put("fill-"+pool, &record.Job{
			Pool: pool, Team: fmt.Sprintf("team-%02d", i%teams), Tasks: perPool[pool] * tasksPerHost, ExpectedSeconds: 3600,
			Resources: record.Resources{MilliCPU: workerCPU / tasksPerHost, MemoryMB: workerMemory / tasksPerHost}, Priority: record.PriorityLow,
		})
	}
}

func poolName(i int) string { return fmt.Sprintf("pool-%04d", i) }

func (r *liveBench) put(name string, spec record.Spec) {
	envelope := record.NewEnvelope(name, spec)
	value, err := json.Marshal(envelope)
	if err != nil {
		// Encoding the specs of this package can't fail.
		panic(err)
	}
	r.write(storekeys.Spec(envelope.ID()), value)
}

func (r *liveBench) write(key string, value []byte) {
	// The in-memory store has no faults injected here.
	_, _ = r.store.CompareAndSwap(context.Background(), store.SwapRequest{Key: key, Value: value})
}

func (r *liveBench) observe() (*LiveRun, error) {
	a := &LiveRun{Hosts: r.cmd.Hosts, Pools: r.cmd.Pools, Tasks: r.cmd.Hosts * tasksPerHost, Urgent: r.cmd.Urgent}
	began := time.Now()
	if !r.waitPlaced(a.Tasks, fillTimeout) {
		return nil, &TimeoutError{Part: "the first placements"}
	}
	a.FillSeconds = time.Since(began).Seconds()
	r.measureIdle(a)
	before, began := r.store.Counts(), time.Now()
	sent := r.sendUrgent()
	if !r.waitPlaced(a.Tasks+len(sent), fillTimeout) {
		return nil, &TimeoutError{Part: "the urgent starts"}
	}
	span := time.Since(began).Seconds()
	after := r.store.Counts()
	// The writes of the urgent records aren't made by the controller.
	a.StoreWrites = float64(after.Writes-before.Writes-int64(len(sent))) / span
	a.StoreReads = float64(after.Reads-before.Reads) / span
	r.urgentStarts(a, sent)
	counts := r.workers.Counts()
	a.Preempted, a.DoubleRuns = counts.Checkpoints+counts.Throttles, counts.DoubleRuns
	a.Violations = len(r.checker.Violations())
	return a, nil
}

// measureIdle measures calls and CPU time while nothing changes.
func (r *liveBench) measureIdle(a *LiveRun) {
	time.Sleep(time.Second)
	before, calls, busy := r.store.Counts(), r.workers.Counts().Calls, processorTime()
	time.Sleep(idleDuration)
	a.IdleCores = (processorTime() - busy).Seconds() / idleDuration.Seconds()
	after := r.store.Counts()
	a.IdleWrites = float64(after.Writes-before.Writes) / idleDuration.Seconds()
	a.IdleReads = float64(after.Reads-before.Reads) / idleDuration.Seconds()
	a.WorkerCallsIdle = float64(r.workers.Counts().Calls-calls) / idleDuration.Seconds()
}

// processorTime returns the CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (r *liveBench) sendUrgent() map[string]time.Time {
	sent := make(map[string]time.Time)
	for i := range r.cmd.Urgent {
		name := fmt.Sprintf("urgent-%04d", i)
		sent[name] = time.Now()
		r.put(name, &record.Job{
			Pool: poolName(i % r.cmd.Pools), Team: "urgent", Priority: record.PriorityUrgent, ExpectedSeconds: 60,
			Resources: record.Resources{MilliCPU: workerCPU / tasksPerHost, MemoryMB: workerMemory / tasksPerHost},
		})
		time.Sleep(urgentInterval)
	}
	return sent
}

func (r *liveBench) urgentStarts(a *LiveRun, sent map[string]time.Time) {
	var delays []float64
	for _, started := range r.workers.Starts() {
		if at, urgent := sent[started.Task.Job]; urgent {
			delays = append(delays, started.At.Sub(at).Seconds())
		}
	}
	a.UrgentStartP50, a.UrgentStartP99 = quantile(delays, 0.5), quantile(delays, 0.99)
	a.UrgentStartMax = quantile(delays, 1)
}

func (r *liveBench) waitPlaced(placed int, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if r.workers.Counts().Placed >= placed {
			return true
		}
	}
	return false
}
