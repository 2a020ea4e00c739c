package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	stopTakes    = 60 * time.Millisecond
	maxHoldMs    = 10000
)

// run is a run of a task on a minion.
type run struct {
	task    string
	number  int
	began   time.Time
	work    time.Duration
	gang    int
	worked  time.Duration
	stopped time.Time
}

// minion is one life of a machine.
type minion struct {
	w        *world
	id, pool string
	machine  *machine
	addr     string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	born     time.Time
	fence    int64
	deadline int64
	runs     map[string]*run
	highest  map[string]int
	ended    [][]any
	nextEnd  int64
	acked    int64
	changed  chan struct{}
	dead     bool
	dark     chan struct{}
	seq      int
}

func (m *minion) clock() int64 { return 5000 + time.Since(m.born).Milliseconds() }

func (m *minion) wakeLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// endLocked ends a run and lists its end.
func (m *minion) endLocked(r *run, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.nextEnd++
	m.ended = append(m.ended, []any{m.nextEnd, r.task, r.number, how, ""})
	m.w.note("end", r.task, r.number, m.id, how)
	m.wakeLocked()
}

const tickEvery = 10 * time.Millisecond

// live advances the runs of a minion until its life ends.
func (m *minion) live() {
	last := time.Now()
	for {
		time.Sleep(tickEvery)
		now := time.Now()
		step := now.Sub(last)
		last = now
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		if len(m.runs) > 0 && m.clock() > m.deadline {
			for _, r := range m.runs {
				m.endLocked(r, "lapsed")
			}
		}
		var done []*run
		for _, r := range m.runs {
			switch {
			case !r.stopped.IsZero():
				if now.After(r.stopped) {
					m.endLocked(r, "stopped")
				}
			case r.gang > 1 && !m.w.gangComplete(r):
				if now.Sub(r.began) > gangTimeout {
					m.endLocked(r, "alone")
				}
			default:
				r.worked += step
				if r.work > 0 && r.worked >= r.work {
					done = append(done, r)
				}
			}
		}
		for _, r := range done {
			m.endLocked(r, m.w.howEnds(r))
		}
		m.mu.Unlock()
	}
}

// beat writes the minion's entry until its life ends.
func (m *minion) beat() {
	for {
		m.mu.Lock()
		dead := m.dead
		m.seq++
		entry := map[string]any{
			"service": m.pool, "addr": m.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": machineCPU, "memMb": machineMB, "gpu": 0}, "labels": []string{"a", m.machine.rack}, "seq": m.seq,
		}
		m.mu.Unlock()
		if dead {
			// The entry goes after three intervals of silence.
			time.Sleep(3 * beatInterval)
			m.w.store.remove("servers/" + m.id)
			return
		}
		m.w.store.put("servers/"+m.id, entry)
		time.Sleep(beatInterval)
	}
}

// kill ends the life. A silent one leaves calls unanswered, otherwise connections are
// refused.
func (m *minion) kill(silent bool) {
	m.mu.Lock()
	m.dead = true
	for _, r := range m.runs {
		m.w.note("lost", r.task, r.number, m.id, "")
	}
	m.runs = map[string]*run{}
	if silent {
		m.dark = make(chan struct{})
	}
	m.mu.Unlock()
	if !silent {
		_ = m.server.Close()
	}
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /auburnglade/run-start", m.guard(m.start))
	mux.HandleFunc("POST /auburnglade/run-stop", m.guard(m.stop))
	mux.HandleFunc("POST /auburnglade/hold", m.guard(m.hold))
	mux.HandleFunc("POST /auburnglade/pace", m.guard(func(w http.ResponseWriter, _ *http.Request, _ order) {
		reply(w, 200, map[string]int64{"clockMs": m.clock()})
	}))
	return mux
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int    `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

// guard checks the life and the fence of an order.
func (m *minion) guard(carryOut func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			reply(w, 400, struct{}{})
			return
		}
		m.mu.Lock()
		dark, dead := m.dark, m.dead
		m.mu.Unlock()
		if dark != nil {
			<-r.Context().Done()
			return
		}
		if dead {
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Auburnglade-Expect-Instance"); want != "" && want != m.id {
			reply(w, 421, struct{}{})
			return
		}
		m.mu.Lock()
		if o.Fence < m.fence {
			m.mu.Unlock()
			m.refuse(w, "fence")
			return
		}
		m.fence = o.Fence
		m.mu.Unlock()
		carryOut(w, r, o)
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, 409, map[string]any{"clockMs": m.clock(), "reason": reason})
}

func (m *minion) extendLocked(deadline int64) {
	if deadline > 0 {
		m.deadline = max(m.deadline, min(deadline, m.clock()+maxHoldMs))
	}
}

func (m *minion) start(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.DeadlineMs <= m.clock() {
		m.refuse(w, "late")
		return
	}
	m.extendLocked(o.DeadlineMs)
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		reply(w, 200, map[string]int64{"clockMs": m.clock()})
		return
	}
	if m.runs[o.Task] != nil || o.Run <= m.highest[o.Task] {
		m.refuse(w, "old")
		return
	}
	if m.w.approved != nil && o.Ticket != "c81e-"+m.id+o.Task[:strings.LastIndexByte(o.Task, '.')] {
		m.refuse(w, "ticket")
		return
	}
	r := &run{task: o.Task, number: o.Run, began: time.Now()}
	r.work, r.gang = m.w.taskWork(o.Task)
	m.runs[o.Task] = r
	m.w.note("start", o.Task, o.Run, m.id, o.Spec)
	reply(w, 200, map[string]int64{"clockMs": m.clock()})
}

func (m *minion) stop(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number == o.Run && r.stopped.IsZero() {
		r.stopped = time.Now().Add(stopTakes)
	}
	reply(w, 200, map[string]int64{"clockMs": m.clock()})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	m.extendLocked(o.DeadlineMs)
	for len(m.ended) > 0 && m.ended[0][0].(int64) <= o.LastSeen {
		m.w.note("seen", m.ended[0][1].(string), m.ended[0][2].(int), m.id, m.ended[0][3].(string))
		m.ended = m.ended[1:]
	}
	m.acked = max(m.acked, o.LastSeen)
	if len(m.ended) == 0 && o.WaitMs > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.dead {
		return
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*r.worked/r.work))
		}
		running = append(running, []any{r.task, r.number, "", percent})
	}
	reply(w, 200, map[string]any{"clockMs": m.clock(), "running": running, "ended": m.ended[:min(500, len(m.ended))]})
}

// taskParts splits the name of a task.
func taskParts(task string) (job string, occurrence, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		panic(fmt.Sprintf("task name %q", task))
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}
