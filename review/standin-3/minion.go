package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on a minion. What it does follows from the job's spec:
//
//	work MS          ends done after MS milliseconds
//	last             is at work after the startup, until it is stopped
type run struct {
	task    string
	number  int
	started time.Time
	stopAt  time.Time
	doneIn  time.Duration
}

// startup is how long a task that lasts takes until it is at work.
const startup = 900 * time.Millisecond

func (r *run) percent(now time.Time) int {
	whole := r.doneIn
	if whole == 0 {
		whole = startup
	}
	percent := int(100 * now.Sub(r.started) / whole)
	if r.doneIn > 0 {
		return min(99, percent)
	}
	return min(100, percent)
}

type ending struct {
	number int64
	task   string
	run    int
	how    string
}

// minion is a stand-in for one minion: one life of a machine of a service.
type minion struct {
	w        *world
	id       string
	service  string
	addr     string
	rack     string
	capacity int
	kind     string
	server   *http.Server
	// born is the Unix millisecond of this life's start where a minion keeps its id, zero
	// where each life has another.
	born int64

	mu       sync.Mutex
	began    time.Time
	fence    int64
	deadline int64
	runs     []*run
	ended    []ending
	endCount int64
	// over is the highest run of each task that was stopped or has ended here.
	over   map[string]int
	wakeUp chan struct{}
	seq    int
	gone   bool
}

const (
	maxHold   = 10 * time.Second
	stopTakes = 60 * time.Millisecond
)

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.began).Milliseconds() }

// beat registers the minion in the store.
func (m *minion) beat() {
	for {
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		m.seq++
		entry := map[string]any{
			"service": m.service, "addr": m.addr, "zone": "hall-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": m.capacity, "memMb": 262144, "gpu": 0}, "labels": []string{m.kind, m.rack}, "clockMs": m.clock(time.Now()), "seq": m.seq,
		}
		if m.born != 0 {
			entry["born"] = m.born
		}
		m.mu.Unlock()
		m.w.store.put("servers/"+m.id, entry)
		time.Sleep(1500 * time.Millisecond)
	}
}

// tick ends runs that are over, and all of them when their lease has run out.
func (m *minion) tick() {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		now := time.Now()
		for _, r := range append([]*run(nil), m.runs...) {
			switch {
			case m.clock(now) > m.deadline:
				m.endLocked(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				m.endLocked(r, "stopped")
			case r.doneIn > 0 && now.Sub(r.started) >= r.doneIn:
				m.endLocked(r, "done")
			}
		}
		m.mu.Unlock()
	}
}

// crash ends the minion for good, with all that runs there. The platform removes its entry after
// three beats.
func (m *minion) crash() {
	m.mu.Lock()
	m.gone = true
	for _, r := range append([]*run(nil), m.runs...) {
		m.endLocked(r, "lost with its minion")
	}
	m.mu.Unlock()
	_ = m.server.Close()
	time.AfterFunc(4500*time.Millisecond, func() { m.w.forget(m) })
}

// carryOut carries out an order that was held up on its way.
func (m *minion) carryOut(o *order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status, body := m.fenced(m.start)(o)
	m.w.watch.note("minion %s: the order of run %d of task %s that was held up is carried out: %d %v", m.id, o.Run, o.Task, status, body)
}

func (m *minion) endLocked(r *run, how string) {
	for i, other := range m.runs {
		if other == r {
			m.runs = append(m.runs[:i:i], m.runs[i+1:]...)
		}
	}
	m.endCount++
	m.ended = append(m.ended, ending{m.endCount, r.task, r.number, how})
	m.over[r.task] = max(m.over[r.task], r.number)
	close(m.wakeUp)
	m.wakeUp = make(chan struct{})
	m.w.watch.ended(m.id, r.task, r.number, how)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Pct        int    `json:"pct"`
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(o *order) (int, map[string]any)) {
		mux.HandleFunc("POST /auburnglade/"+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				reply(w, http.StatusBadRequest, empty{})
				return
			}
			if want := r.Header.Get("Auburnglade-Expect-Instance"); want != "" && want != m.id {
				reply(w, http.StatusMisdirectedRequest, empty{})
				return
			}
			if path == "hold" {
				m.await(&o)
			}
			if path == "run-start" && m.w.holdUp(m, &o) {
				// The order gets no answer. Its sender gives up.
				<-r.Context().Done()
				return
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			status, body := serve(&o)
			body["clockMs"] = m.clock(time.Now())
			if m.born != 0 {
				body["born"] = m.born
			}
			reply(w, status, body)
		})
	}
	handle("run-start", m.fenced(m.start))
	handle("run-stop", m.fenced(m.stop))
	handle("pace", m.fenced(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	handle("hold", m.fenced(m.hold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced refuses what carries a lower fencing token than the highest seen.
func (m *minion) fenced(serve func(o *order) (int, map[string]any)) func(o *order) (int, map[string]any) {
	return func(o *order) (int, map[string]any) {
		if o.Fence < m.fence {
			return conflict("fence")
		}
		m.fence = o.Fence
		return serve(o)
	}
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock(time.Now())+maxHold.Milliseconds()))
}

func (m *minion) start(o *order) (int, map[string]any) {
	now := time.Now()
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run {
			m.extend(o.DeadlineMs)
			return http.StatusOK, map[string]any{}
		}
	}
	if o.DeadlineMs <= m.clock(now) {
		m.w.watch.refused(m.id, o, "late")
		return conflict("late")
	}
	m.extend(o.DeadlineMs)
	if o.Run <= m.over[o.Task] {
		m.w.watch.refused(m.id, o, "old")
		return conflict("old")
	}
	r := &run{task: o.Task, number: o.Run, started: now}
	if text, ok := strings.CutPrefix(o.Spec, "work "); ok {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		r.doneIn = time.Duration(ms) * time.Millisecond
	}
	m.runs = append(m.runs, r)
	m.w.watch.started(m.id, o)
	return http.StatusOK, map[string]any{}
}

func (m *minion) stop(o *order) (int, map[string]any) {
	found := false
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run {
			found = true
			if r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(stopTakes)
			}
		}
	}
	if !found {
		if m.over[o.Task] < o.Run {
			go m.w.noteMissed(m, o)
		}
		m.over[o.Task] = max(m.over[o.Task], o.Run)
	}
	return http.StatusOK, map[string]any{}
}

// await waits until the minion has an end to tell, for as long as the call allows.
func (m *minion) await(o *order) {
	deadline := time.After(time.Duration(min(2000, o.WaitMs)) * time.Millisecond)
	for {
		m.mu.Lock()
		news, wakeUp := m.endCount > o.LastSeen, m.wakeUp
		if o.Fence >= m.fence {
			m.fence = o.Fence
			m.extend(o.DeadlineMs)
		}
		m.mu.Unlock()
		if news {
			return
		}
		select {
		case <-wakeUp:
		case <-deadline:
			return
		}
	}
}

func (m *minion) hold(o *order) (int, map[string]any) {
	const page = 500
	now := time.Now()
	for len(m.ended) > 0 && m.ended[0].number <= o.LastSeen {
		m.ended = m.ended[1:]
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), 0})
	}
	for _, e := range m.ended[:min(page, len(m.ended))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// name returns the machine's name.
func (m *minion) name() string { return fmt.Sprintf("m-%s", m.id) }

func (m *minion) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone
}
