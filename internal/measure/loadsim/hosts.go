package loadsim

import (
	"fmt"
	"strconv"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	// orderTime is how long an order takes to its host and back.
	orderTime = 4 * time.Millisecond
	// answerPause is the least time between two answers of a host to holds, and
	// holdWait the longest.
	answerPause = 18 * time.Millisecond
	holdWait    = 600 * time.Millisecond
	// migrateTime and maintainTime are how long a host is away, and listTime the
	// most that it takes from there until its pool's holder hears of it.
	migrateTime  = 1500 * time.Millisecond
	maintainTime = 2 * time.Second
	listTime     = 800 * time.Millisecond
	// stopTime is how long a stop takes.
	stopTime = 200 * time.Millisecond
	// startupTime is how long a lasting task takes until it is at work.
	startupTime = 400 * time.Millisecond
)

// machine is a host over all its lives.
type machine struct {
	name, pool, rack string
	size             work.Resources
	// life is what runs on it now; nil while it is away.
	life *life
	// back is when it is up again, listed when its pool hears of that.
	back, listed time.Duration
	upAs         string
	known        bool
	// due: it has yet to go through the day's maintenance.
	due bool
	// dark until this time.
	dark time.Duration
}

// life is one life of a host.
type life struct {
	id     string
	runs   map[work.TaskName]*run
	ended  []worker.RunEnd
	number int64
	// answered is when it last answered a hold; news: a run has ended since.
	answered time.Duration
	news     bool
	asked    bool
}

// fresh: nobody has asked it yet, and whoever may does so at once.
func (l *life) fresh() bool { return !l.asked }

type run struct {
	name       work.TaskName
	number     int
	began      time.Duration
	length     time.Duration
	lasting    bool
	stopped    time.Duration
	hasStopped bool
}

func (l *life) end(r *run, how work.EndReason) {
	delete(l.runs, r.name)
	l.number++
	l.ended = append(l.ended, worker.RunEnd{Number: l.number, Task: r.name, Run: r.number, Reason: how})
	l.news = true
}

// work ends what is over at now.
func (l *life) work(now time.Duration) {
	for _, r := range l.runs {
		switch {
		case r.hasStopped && now >= r.stopped:
			l.end(r, work.EndStopped)
		case !r.lasting && now >= r.began+r.length:
			l.end(r, work.EndDone)
		}
	}
}

const whole = 100

func (r *run) percent(now time.Duration) int {
	length := r.length
	if r.lasting {
		length = startupTime
	}
	return min(whole, int(whole*(now-r.began)/max(1, length)))
}

// answer is what the host says to a hold that has seen the ends up to seen.
func (l *life) answer(seen int64, now time.Duration) worker.HeartbeatReply {
	a := worker.HeartbeatReply{ClockMs: (now + 2*warmUp).Milliseconds()}
	for _, r := range l.runs {
		a.Running = append(a.Running, worker.Report{Task: r.name, Run: r.number, Percent: r.percent(now)})
	}
	kept := l.ended[:0]
	for _, e := range l.ended {
		if e.Number > seen {
			kept = append(kept, e)
		}
	}
	l.ended = kept
	a.Ended = append(a.Ended, kept...)
	return a
}

func (m *machine) host() worker.Host {
	return worker.Host{
		ID: m.life.id, Pool: m.pool, Address: m.life.id, Rack: m.rack, Kind: "a", Labels: []string{"a", m.rack}, Capacity: m.size,
	}
}

// goAway ends a life; the next one begins after away.
func (w *world) goAway(m *machine, away time.Duration) {
	if m.life != nil {
		if p := w.pools[m.pool]; p != nil {
			p.sched.RemoveHost(m.life.id, w.time(), w.time())
			p.dirty, p.relist = true, true
		}
	}
	m.life, m.known = nil, false
	m.back = w.now + away
	m.listed = m.back + time.Duration(w.random.Int64N(int64(listTime)))
	w.lives++
	m.upAs = m.name + "-" + strconv.Itoa(w.lives)
}

// comeBack brings hosts up whose time away is over.
func (w *world) comeBack() {
	for _, m := range w.machines {
		if m.life == nil && w.now >= m.back {
			m.life = &life{id: m.upAs, runs: make(map[work.TaskName]*run), answered: w.now}
		}
		if m.life != nil && !m.known && w.now >= m.listed {
			m.known = true
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
				name: name, upAs: name, back: -warmUp, listed: -warmUp, pool: pool, rack: fmt.Sprintf("r%d", n/p.RackHosts),
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
