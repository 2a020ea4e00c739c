package loadsim

import (
	"fmt"
	"strconv"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	// workerCallTime is the round-trip time of a start or stop call to a host.
	workerCallTime = 4 * time.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeat replies of a host,
	// maxHeartbeatInterval the maximum.
	minHeartbeatInterval = 18 * time.Millisecond
	maxHeartbeatInterval = 600 * time.Millisecond
	// migrateTime and maintainTime are how long a host is unavailable during a move
	// and maintenance. maxListDelay is the maximum further delay until the holder of
	// its pool has the host in its list.
	migrateTime  = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
	maxListDelay = 800 * time.Millisecond
	// stopTime is the time from a stop call to the end of the run.
	stopTime = 200 * time.Millisecond
	// startupTime is the startup time of a long-running task.
	startupTime = 400 * time.Millisecond
)

// machine is a host across its incarnations.
type machine struct {
	name, pool, rack string
	size             work.Resources
	// current is the current incarnation, nil while the host is unavailable.
	current *incarnation
	// upAt is when the host is up again, listedAt when its pool receives it in the
	// host list.
	upAt, listedAt time.Duration
	nextID         string
	inList         bool
	// maintenanceDue reports whether the wave's maintenance of the host is pending.
	maintenanceDue bool
	// movedAt is when the host was last moved, zero for never.
	movedAt time.Duration
	// unresponsiveUntil is the time until which the host is unresponsive.
	unresponsiveUntil time.Duration
}

// incarnation is one incarnation of a host.
type incarnation struct {
	id     string
	runs   map[work.TaskName]*run
	ended  []worker.RunEnd
	number int64
	// lastHeartbeat is the time of the last heartbeat reply. runEnded reports
	// whether a run has ended since.
	lastHeartbeat time.Duration
	runEnded      bool
	contacted     bool
}

// neverContacted reports whether the incarnation has had no heartbeat yet. The
// first one is sent without delay.
func (l *incarnation) neverContacted() bool { return !l.contacted }

type run struct {
	name        work.TaskName
	number      int
	began       time.Duration
	length      time.Duration
	longRunning bool
	stopsAt     time.Duration
	stopping    bool
}

func (l *incarnation) end(r *run, reason work.EndReason) {
	delete(l.runs, r.name)
	l.number++
	l.ended = append(l.ended, worker.RunEnd{Seq: l.number, Task: r.name, Run: r.number, Reason: reason})
	l.runEnded = true
}

// advance ends the runs that are done or stopped at now.
func (l *incarnation) advance(now time.Duration) {
	for _, r := range l.runs {
		switch {
		case r.stopping && now >= r.stopsAt:
			l.end(r, work.EndStopped)
		case !r.longRunning && now >= r.began+r.length:
			l.end(r, work.EndDone)
		}
	}
}

const fullPercent = 100

// percent returns the progress of a run. For a long-running task it is the
// progress of its startup.
func (r *run) percent(now time.Duration) int {
	length := r.length
	if r.longRunning {
		length = startupTime
	}
	return min(fullPercent, int(fullPercent*(now-r.began)/max(1, length)))
}

// heartbeatReply returns the reply to a heartbeat that acknowledges the run ends
// up to number acked, and discards those.
func (l *incarnation) heartbeatReply(acked int64, now time.Duration) worker.HeartbeatReply {
	a := worker.HeartbeatReply{ClockMs: (now + 2*warmUp).Milliseconds()}
	for _, r := range l.runs {
		a.Running = append(a.Running, worker.Report{Task: r.name, Run: r.number, Percent: r.percent(now)})
	}
	kept := l.ended[:0]
	for _, e := range l.ended {
		if e.Seq > acked {
			kept = append(kept, e)
		}
	}
	l.ended = kept
	a.Ended = append(a.Ended, kept...)
	return a
}

func (m *machine) host() worker.Host {
	return worker.Host{
		ID: m.current.id, Pool: m.pool, Address: m.current.id, Rack: m.rack, Kind: "a", Labels: []string{"a", m.rack}, Capacity: m.size,
	}
}

// takeDown stops the current incarnation of a host. The next one starts after away.
func (w *world) takeDown(m *machine, away time.Duration) {
	if m.current != nil {
		if p := w.pools[m.pool]; p != nil {
			p.sched.RemoveHost(m.current.id, w.time(), w.time())
			p.dirty, p.relist = true, true
		}
	}
	m.current, m.inList = nil, false
	m.upAt = w.now + away
	m.listedAt = m.upAt + time.Duration(w.random.Int64N(int64(maxListDelay)))
	w.incarnations++
	m.nextID = m.name + "-" + strconv.Itoa(w.incarnations)
}

// bringUpHosts starts the next incarnations that are due and lists hosts whose list
// delay is over.
func (w *world) bringUpHosts() {
	for _, m := range w.machines {
		if m.current == nil && w.now >= m.upAt {
			m.current = &incarnation{id: m.nextID, runs: make(map[work.TaskName]*run), lastHeartbeat: w.now}
		}
		if m.current != nil && !m.inList && w.now >= m.listedAt {
			m.inList = true
			if p := w.pools[m.pool]; p != nil {
				p.relist = true
			}
		}
	}
}

func (p *Pattern) machines() []*machine {
	var all []*machine
	add := func(pool string, count int) {
		for range count {
			n := len(all)
			name := fmt.Sprintf("m%03d", n)
			all = append(all, &machine{
				name: name, nextID: name, upAt: -warmUp, listedAt: -warmUp, pool: pool, rack: fmt.Sprintf("r%d", n/p.RackHosts),
				size: work.Resources{MilliCPU: p.HostCores * 1000, MemMB: p.HostMemMB},
			})
		}
	}
	for _, pool := range p.Pools {
		add(pool.Name, pool.Hosts)
	}
	add(sparePool, p.Spare)
	return all
}
