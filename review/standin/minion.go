package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stopTime  = 50 * time.Millisecond
	beatEvery = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	tick      = 10 * time.Millisecond
	// startup is the time until a task that lasts is at work.
	startup = 300 * time.Millisecond
	maxEnds = 500
)

type minionRun struct {
	task     string
	number   int
	spec     string
	began    time.Time
	length   time.Duration
	stopping time.Time
	saved    string
}

type minionEnd struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// minion is one life of a machine. A new life at the same address is another minion value.
type minion struct {
	id, service, machine, rack, addr string
	cpu, memMB                       int
	// life counts the lives that had this id.
	life  int
	world *world

	mu      sync.Mutex
	born    time.Time
	fence   int64
	lease   int64
	runs    map[string]*minionRun
	maxRun  map[string]int
	ends    []minionEnd
	lastEnd int64
	changed chan struct{}
	dead    bool
	quit    chan struct{}
	server  *http.Server
	seq     int
	// lapsed is when its lease last ran out, leaseRuns is set while it hasn't since.
	lapsed    time.Time
	leaseRuns bool
}

// start serves a new life at m.addr, or at a free port if that is empty.
func (m *minion) start() error {
	m.born = time.Now()
	m.runs, m.maxRun = make(map[string]*minionRun), make(map[string]int)
	m.changed, m.quit = make(chan struct{}), make(chan struct{})
	address := m.addr
	if address == "" {
		address = m.world.ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /auburnglade/run-start", m.guard(m.serveStart))
	mux.HandleFunc("POST /auburnglade/run-stop", m.guard(m.serveStop))
	mux.HandleFunc("POST /auburnglade/hold", m.guard(m.serveHold))
	mux.HandleFunc("POST /auburnglade/pace", m.guard(m.servePace))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(listener) }()
	go m.work()
	go m.beat()
	m.world.record("minion %s life %d is up at %s in %s", m.id, m.life, m.addr, m.service)
	return nil
}

// crash ends this life with all that runs on it; it sends nothing.
func (m *minion) crash() {
	m.mu.Lock()
	m.dead = true
	m.runs = make(map[string]*minionRun)
	close(m.quit)
	m.mu.Unlock()
	_ = m.server.Close()
	m.world.record("minion %s life %d is down", m.id, m.life)
}

// clockMs is its own steady clock, which starts anew with each life.
func (m *minion) clockMs() int64 { return 1000 + time.Since(m.born).Milliseconds() }

func (m *minion) beat() {
	for {
		m.mu.Lock()
		m.seq++
		seq := m.seq
		m.mu.Unlock()
		m.world.store.put("servers/"+m.id, map[string]any{
			"service": m.service, "addr": m.addr, "zone": m.world.zones[0], "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpu": 0}, "labels": []string{"a", m.rack}, "clockMs": m.clockMs(),
			"machine": m.machine, "born": m.born.UnixMilli(), "seq": seq,
		})
		select {
		case <-m.quit:
			return
		case <-time.After(beatEvery):
		}
	}
}

func (m *minion) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Auburnglade-Instance-Id", m.id)
		if want := r.Header.Get("Auburnglade-Expect-Instance"); want != "" && want != m.id {
			reply(w, http.StatusMisdirectedRequest, map[string]int64{"clockMs": m.clockMs()})
			return
		}
		serve(w, r)
	}
}

type orderRequest struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       int64  `json:"lastSeen"`
	WaitMs         int64  `json:"waitMs"`
}

func (m *minion) decode(w http.ResponseWriter, r *http.Request) (o orderRequest, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// fencedLocked checks and keeps the highest fence.
func (m *minion) fencedLocked(fence int64) bool {
	if fence < m.fence {
		return true
	}
	m.fence = fence
	return false
}

func (m *minion) extendLocked(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clockMs()+maxHold.Milliseconds()))
	m.leaseRuns = m.lease >= m.clockMs()
}

func (m *minion) refuse(w http.ResponseWriter, o orderRequest, reason string) {
	m.world.record("start of %s run %d at %s is refused: %s", o.Task, o.Run, m.id, reason)
	reply(w, http.StatusConflict, map[string]any{"clockMs": m.clockMs(), "reason": reason})
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		panic(http.ErrAbortHandler)
	}
	if m.fencedLocked(o.Fence) {
		m.refuse(w, o, "fence")
		return
	}
	if existing := m.runs[o.Task]; existing != nil && existing.number == o.Run {
		m.extendLocked(o.DeadlineMs)
		reply(w, http.StatusOK, map[string]int64{"clockMs": m.clockMs()})
		return
	}
	if o.DeadlineMs <= m.clockMs() {
		m.refuse(w, o, "late")
		return
	}
	m.extendLocked(o.DeadlineMs)
	if m.runs[o.Task] != nil || o.Run <= m.maxRun[o.Task] {
		m.refuse(w, o, "old")
		return
	}
	m.runs[o.Task] = &minionRun{task: o.Task, number: o.Run, spec: o.Spec, began: time.Now(), length: m.world.lengthOf(o.Task)}
	m.world.started(m, o)
	reply(w, http.StatusOK, map[string]int64{"clockMs": m.clockMs()})
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fencedLocked(o.Fence) {
		m.refuse(w, o, "fence")
		return
	}
	m.maxRun[o.Task] = max(m.maxRun[o.Task], o.Run)
	if running := m.runs[o.Task]; running != nil && running.number <= o.Run && running.stopping.IsZero() {
		running.stopping = time.Now()
	}
	m.world.record("stop of %s run %d at %s", o.Task, o.Run, m.id)
	reply(w, http.StatusOK, map[string]int64{"clockMs": m.clockMs()})
}

func (m *minion) servePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.decode(w, r); ok {
		reply(w, http.StatusOK, map[string]int64{"clockMs": m.clockMs()})
	}
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	if m.fencedLocked(o.Fence) {
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clockMs": m.clockMs(), "reason": "fence"})
		return
	}
	if o.DeadlineMs > 0 {
		m.extendLocked(o.DeadlineMs)
	}
	m.noteLocked(o.LastSeen)
	deadline := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMs > 0; waiting && len(m.ends) == 0 && !m.dead; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.dead {
		panic(http.ErrAbortHandler)
	}
	running, ended := make([][]any, 0), make([][]any, 0)
	for _, run := range m.runs {
		running = append(running, []any{run.task, run.number, run.saved, m.percent(run), 0})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clockMs(), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

// noteLocked forgets the ends up to lastSeen.
func (m *minion) noteLocked(lastSeen int64) {
	for len(m.ends) > 0 && m.ends[0].n <= lastSeen {
		m.world.noted(m, m.ends[0])
		m.ends = m.ends[1:]
	}
}

func (m *minion) percent(run *minionRun) int {
	if run.length == 0 {
		return int(min(100, 100*time.Since(run.began)/startup))
	}
	return min(99, int(100*time.Since(run.began)/run.length))
}

func (m *minion) work() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		lapsed := m.leaseRuns && m.clockMs() > m.lease
		if lapsed {
			m.lapsed, m.leaseRuns = time.Now(), false
			m.world.record("the lease at %s life %d has run out with %d runs", m.id, m.life, len(m.runs))
		}
		for _, run := range m.runs {
			switch {
			case lapsed:
				m.endLocked(run, "lapsed")
			case !run.stopping.IsZero() && time.Since(run.stopping) >= stopTime:
				m.endLocked(run, "stopped")
			case run.stopping.IsZero() && run.length > 0 && time.Since(run.began) >= run.length:
				m.endLocked(run, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) endLocked(run *minionRun, how string) {
	delete(m.runs, run.task)
	m.maxRun[run.task] = max(m.maxRun[run.task], run.number)
	m.lastEnd++
	e := minionEnd{m.lastEnd, run.task, run.number, how, run.saved}
	m.ends = append(m.ends, e)
	m.world.ended(m, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) String() string { return fmt.Sprintf("%s life %d", m.id, m.life) }
