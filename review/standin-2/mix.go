package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// faults are what goes wrong between the system and the platform.
type faults struct {
	storeLost, storeLate atomic.Int64 // percent of the writes
	storeDown            atomic.Bool
	ordersLate           atomic.Int64 // percent of the orders to minions
}

var trouble faults

// storeFaults loses answers of the store.
func storeFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if trouble.storeDown.Load() {
			reply(w, 503, struct{}{})
			return
		}
		if r.URL.Path == "/auburnglade/kv-txn" {
			roll := rand.Int64N(100)
			late := roll < trouble.storeLate.Load()
			if late || roll < trouble.storeLost.Load() {
				body, _ := io.ReadAll(r.Body)
				carryOut := func() {
					again, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
					next.ServeHTTP(httptest.NewRecorder(), again)
				}
				if late {
					time.AfterFunc(time.Second+time.Duration(rand.Int64N(5000))*time.Millisecond, carryOut)
				} else {
					carryOut()
				}
				<-r.Context().Done()
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// lateOrders carries out a share of the orders seconds later, without an answer.
func lateOrders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rand.Int64N(100) < trouble.ordersLate.Load() {
			body, _ := io.ReadAll(r.Body)
			header := r.Header.Clone()
			time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(10000))*time.Millisecond, func() {
				defer func() { _ = recover() }()
				again, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
				again.Header = header
				next.ServeHTTP(httptest.NewRecorder(), again)
			})
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// mix plays random jobs and disruptions, to look for faults.
func mix(w *world, _ bool) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 3))
	prefixes := []string{"/puxa400/", "/kafi706/"}
	routes := []route{newRoute("r-a", prefixes[0], "huvo11a", 2), newRoute("r-b", prefixes[1], "lovo22d", 3)}
	if !w.begin(map[string]int{"huvo11a": 6, "lovo22d": 6}, routes) {
		return notRun
	}
	time.Sleep(5 * time.Second)
	accepted := map[string]string{}
	cancelled := map[string]bool{}
	ids := 0
	until := time.Now().Add(40 * time.Second)
	for time.Now().Before(until) {
		ids++
		id, prefix := jobID(ids), prefixes[rnd.IntN(2)]
		j := randomJob(rnd)
		if w.submit(id, prefix, j) {
			accepted[id] = prefix
			if rnd.IntN(12) == 0 {
				status, _ := w.clientCall(w.procs[rnd.IntN(3)], http.MethodDelete, prefix+id, nil)
				_ = status
				cancelled[id] = true
			}
		}
		if rnd.IntN(8) == 0 {
			w.disrupt(rnd)
		}
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	w.logf("calm")
	result := held
	deadline := time.Now().Add(35 * time.Second)
	for id, prefix := range accepted {
		j := w.jobs[id]
		attempts := 2
		if prefix == prefixes[1] {
			attempts = 3
		}
		mayFail := false
		for _, s := range j.Steps {
			mayFail = mayFail || s.fails >= attempts
		}
		if cancelled[id] || j.Steps[0].LongRunning {
			continue
		}
		shown := ""
		for {
			shown = w.state(w.procs[0], prefix, id)
			if shown == "done" || shown == "failed" || time.Now().After(deadline) {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if shown == "done" && mayFail || shown != "done" && !mayFail {
			w.logf("BROKEN: job %s is shown as %s", id, shown)
			result = broken
		}
	}
	for _, line := range w.check(cancelled) {
		w.logf("BROKEN: %s", line)
		fmt.Println(line)
		result = broken
	}
	return result
}

func randomJob(rnd *rand.Rand) *job {
	j := &job{Spec: fmt.Sprintf("text %d", rnd.Int())}
	if rnd.IntN(12) == 0 {
		j.Steps = []step{{Count: 3, CPU: 1000, MemMB: 256, EstMs: 900, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}
		return j
	}
	for i := range 1 + rnd.IntN(3) {
		s := step{Count: 1 + rnd.IntN(5), CPU: 500 + rnd.IntN(3000), MemMB: 256, EstMs: 200 + rnd.IntN(1200)}
		if i > 0 {
			s.After = []int{i - 1}
		}
		switch rnd.IntN(4) {
		case 0:
			s.Gang = true
		case 1:
			s.AntiAffinity = 1 + rnd.IntN(2)
		case 2:
			s.fails = rnd.IntN(2)
			if rnd.IntN(6) == 0 {
				s.fails = 9
			}
		}
		j.Steps = append(j.Steps, s)
	}
	if rnd.IntN(3) == 0 {
		j.Repeats, j.FirstMs, j.IntervalMs = 2+rnd.IntN(3), time.Now().UnixMilli()+int64(rnd.IntN(2000)), int64(500+rnd.IntN(3000))
	}
	return j
}

func (w *world) disrupt(rnd *rand.Rand) {
	p := w.procs[rnd.IntN(len(w.procs))]
	length := time.Duration(1000+rnd.IntN(4000)) * time.Millisecond
	m := w.machines[rnd.IntN(len(w.machines))]
	switch rnd.IntN(8) {
	case 0:
		w.signal(p, syscall.SIGKILL)
		w.restart(p, 300*time.Millisecond)
	case 1:
		w.signal(p, syscall.SIGSTOP)
		time.AfterFunc(length, func() { w.signal(p, syscall.SIGCONT) })
	case 2:
		w.signal(p, syscall.SIGTERM)
		w.restart(p, 6*time.Second)
	case 3:
		if m.state == "up" {
			w.crash(m, false, length)
		}
	case 4:
		if m.state == "up" {
			w.crash(m, true, length)
		}
	case 5:
		w.logf("store loses answers")
		trouble.storeLost.Store(30)
		trouble.storeLate.Store(int64(rnd.IntN(2)) * 15)
		time.AfterFunc(length, func() { trouble.storeLost.Store(0); trouble.storeLate.Store(0) })
	case 6:
		w.logf("orders late")
		trouble.ordersLate.Store(20)
		time.AfterFunc(length, func() { trouble.ordersLate.Store(0) })
	case 7:
		w.logf("store down")
		trouble.storeDown.Store(true)
		time.AfterFunc(length, func() { trouble.storeDown.Store(false) })
	}
}

// check checks what the minions saw.
func (w *world) check(cancelled map[string]bool) (bad []string) {
	type taskState struct {
		running  map[string]int
		doneSeen bool
		ends     int
		failSeen int
	}
	events := w.allEvents()
	// A success counts if it is taken note of at some time.
	seen := map[string]bool{}
	for _, e := range events {
		if e.kind == "seen" {
			seen[fmt.Sprint(e.task, e.run, e.minion)] = true
		}
	}
	tasks := map[string]*taskState{}
	gangDone := map[string]bool{}
	doneStep := map[string]map[string]bool{}
	onMinion := map[string]int{}
	for _, e := range events {
		t := tasks[e.task]
		if t == nil {
			t = &taskState{running: map[string]int{}}
			tasks[e.task] = t
		}
		j := w.jobs[e.job]
		stepKey := fmt.Sprintf("%s.%d.%d", e.job, e.occurrence, e.stepN)
		here := stepKey + "@" + e.minion
		switch e.kind {
		case "start":
			if j == nil {
				bad = append(bad, "UNASKED "+e.task)
				continue
			}
			s := j.Steps[e.stepN]
			if e.more != j.Spec {
				bad = append(bad, "UNASKED other spec "+e.task)
			}
			if len(t.running) > 0 {
				bad = append(bad, fmt.Sprintf("TWICE two runs of %s: run %d on %s beside %v", e.task, e.run, e.minion, t.running))
			}
			if t.doneSeen || s.Gang && gangDone[stepKey] {
				bad = append(bad, fmt.Sprintf("TWICE %s run %d on %s starts after it was done", e.task, e.run, e.minion))
			}
			for _, before := range s.After {
				key := fmt.Sprintf("%s.%d.%d", e.job, e.occurrence, before)
				if len(doneStep[key]) < j.Steps[before].Count && !(j.Steps[before].Gang && len(doneStep[key]) > 0) {
					bad = append(bad, "ORDER "+e.task)
				}
			}
			if j.Repeats > 0 && e.at.UnixMilli() < j.FirstMs+int64(e.occurrence)*j.IntervalMs-250 {
				bad = append(bad, "ORDER early "+e.task)
			}
			attempts := 2
			if w.poolOf(e.minion) == "lovo22d" {
				attempts = 3
			}
			if t.failSeen >= attempts && !s.LongRunning {
				bad = append(bad, "BUDGET "+e.task)
			}
			t.running[e.minion] = e.run
			if onMinion[here]++; s.AntiAffinity > 0 && onMinion[here] > s.AntiAffinity {
				bad = append(bad, "ROUTE antiAffinity "+e.task)
			}
		case "end", "lost":
			delete(t.running, e.minion)
			onMinion[here]--
			if e.more == "done" && seen[fmt.Sprint(e.task, e.run, e.minion)] {
				t.doneSeen, gangDone[stepKey] = true, true
			}
			if e.more == "done" {
				if doneStep[stepKey] == nil {
					doneStep[stepKey] = map[string]bool{}
				}
				doneStep[stepKey][e.task] = true
			}
			if e.more == "failed" && seen[fmt.Sprint(e.task, e.run, e.minion)] {
				t.failSeen++
			}
			if e.more == "alone" {
				w.logf("alone %s run %d", e.task, e.run)
			}
		}
	}
	_ = cancelled
	return bad
}

func (w *world) poolOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pools[id]
}
