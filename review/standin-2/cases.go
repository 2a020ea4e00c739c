package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// begin starts a small deployment: pools of machines and three processes.
func (w *world) begin(pools map[string]int, routes []route) bool {
	var services []service
	for pool, count := range pools {
		services = append(services, service{Name: pool})
		for i := range count {
			w.addMachine(pool, fmt.Sprintf("r-%s-%d", pool, i/4))
		}
	}
	w.configure(3, routes, services)
	if err := w.startProcesses(3); err != nil {
		w.logf("cannot start: %v", err)
		return false
	}
	return w.awaitReady()
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n) }

// state returns the state of a job as a process shows it.
func (w *world) state(p *process, prefix, id string) string {
	status, answer := w.clientCall(p, http.MethodGet, prefix+id, nil)
	if status != 200 {
		return fmt.Sprint(status)
	}
	var shown struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &shown) != nil {
		return answer
	}
	return shown.State
}

// begun reports whether a task of a job has begun.
func (w *world) begun(id string) bool {
	for _, e := range w.allEvents() {
		if e.job == id && e.kind == "start" {
			return true
		}
	}
	return false
}

// waiting: the rack of a pool goes dark while jobs are handed in.
func waiting(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	if !w.begin(map[string]int{"huvo11a": 4}, []route{newRoute("r-a", prefix, "huvo11a", 3)}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	oneTask := func() *job { return &job{Spec: "text", Steps: []step{{Count: 1, CPU: 1000, MemMB: 256, EstMs: 800}}} }
	if !w.submit(jobID(1), prefix, oneTask()) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, m := range w.machines {
			w.crash(m, true, 7*time.Second)
		}
	}
	accepted := map[string]time.Time{}
	for n := 2; n < 12; n++ {
		if !w.submit(jobID(n), prefix, oneTask()) {
			return notRun
		}
		accepted[jobID(n)] = time.Now()
		time.Sleep(20 * time.Millisecond)
	}
	result := held
	for ended := time.Now().Add(9 * time.Second); time.Now().Before(ended); time.Sleep(300 * time.Millisecond) {
		for _, p := range w.procs {
			owed := 0
			for id, at := range accepted {
				if time.Since(at) > 5*time.Second && !w.begun(id) {
					owed++
				}
			}
			status, answer := w.clientCall(p, http.MethodGet, prefix, nil)
			var shown struct {
				Waiting int `json:"waiting"`
			}
			if status != 200 || json.Unmarshal([]byte(answer), &shown) != nil {
				continue
			}
			still := 0
			for id := range accepted {
				if time.Since(accepted[id]) > 5*time.Second && !w.begun(id) {
					still++
				}
			}
			if owed = min(owed, still); 2*shown.Waiting < owed {
				w.logf("BROKEN: %s gives %d as waiting, %d jobs accepted over 5 s before haven't begun", p.name, shown.Waiting, owed)
				result = broken
			}
		}
	}
	return result
}

// crashes: minions crash one after the other, each while it runs the same task.
func crashes(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	if !w.begin(map[string]int{"huvo11a": 8}, []route{newRoute("r-a", prefix, "huvo11a", 3)}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	id := jobID(1)
	if !w.submit(id, prefix, &job{Spec: "text", Steps: []step{{Count: 1, CPU: 1000, MemMB: 256, EstMs: 2000}}}) {
		return notRun
	}
	hit := map[string]bool{}
	for ended := time.Now().Add(60 * time.Second); time.Now().Before(ended); time.Sleep(50 * time.Millisecond) {
		for _, e := range w.allEvents() {
			if trouble && e.kind == "start" && !hit[e.minion] && time.Since(e.at) > 300*time.Millisecond && len(hit) < 4 {
				hit[e.minion] = true
				for _, m := range w.machines {
					if m.life.id == e.minion {
						w.crash(m, false, time.Second)
					}
				}
			}
		}
		shown := w.state(w.procs[0], prefix, id)
		if shown == "failed" {
			w.logf("BROKEN: the job is shown as failed, and no run of it has ended `failed`")
			return broken
		}
		if shown == "done" {
			return held
		}
		time.Sleep(250 * time.Millisecond)
	}
	return held
}

// doneWithin reports whether a job is shown as done by a process within a time.
func (w *world) doneWithin(prefix, id string, wait time.Duration) bool {
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if w.state(w.procs[0], prefix, id) == "done" {
			return true
		}
	}
	return false
}

// finish is `finish_s`, how long after the end of the traffic jobs are asked for, and still
// the 3 s for which a job may have nothing running.
const (
	finish = 14 * time.Second
	still  = 3 * time.Second
)

// standsStill judges LOST for jobs that have nothing running: the machines of the pool have
// room for their tasks, and under half of their capacity is in use.
func (w *world) standsStill(prefix string, ids []string) int {
	w.logf("the traffic has ended")
	time.Sleep(finish + still)
	result := held
	for _, id := range ids {
		state := w.state(w.procs[0], prefix, id)
		if !w.begun(id) {
			w.logf("BROKEN: no task of %s has begun %d s after the end of the traffic, it is %s", id, int((finish + still).Seconds()), state)
			result = broken
		}
	}
	for _, m := range w.machines {
		m.mu.Lock()
		life := m.life
		m.mu.Unlock()
		life.mu.Lock()
		used := 0
		for task := range life.runs {
			id, _, stepN, _ := taskParts(task)
			used += w.jobs[id].Steps[stepN].CPU
		}
		life.mu.Unlock()
		w.logf("machine %s: %d of 16000 thousandths of a core in use", m.name, used)
	}
	return result
}

// lasting: jobs that last come for which there is no room, and others for which there is.
func lasting(w *world, trouble bool) int {
	const prefix, shortPrefix = "/puxa400/", "/kafi706/"
	if !w.begin(map[string]int{"huvo11a": 4}, []route{newRoute("r-a", prefix, "huvo11a", 3), newRoute("r-b", shortPrefix, "huvo11a", 3)}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	// One task that lasts on each machine.
	if !w.submit(jobID(1), prefix, &job{Spec: "text", Steps: []step{{Count: 4, CPU: 6000, MemMB: 1024, EstMs: 900, AntiAffinity: 1, LongRunning: true, MayMiss: 1}}}) {
		return notRun
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for n := 2; n < 6; n++ {
			if !w.submit(jobID(n), prefix, &job{Spec: "text", Steps: []step{{Count: 1, CPU: 12000, MemMB: 1024, EstMs: 900, LongRunning: true, MayMiss: 1}}}) {
				return notRun
			}
		}
	}
	time.Sleep(8 * time.Second)
	var ids []string
	for n := 10; n < 13; n++ {
		if !w.submit(jobID(n), shortPrefix, &job{Spec: "text", Steps: []step{{Count: 2, CPU: 1000, MemMB: 256, EstMs: 800}}}) {
			return notRun
		}
		ids = append(ids, jobID(n))
	}
	return w.standsStill(shortPrefix, ids)
}

// advice: jobs that the policy allows on one minion only come at once, more than fit there.
// Another one is allowed on the others.
func advice(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	r := newRoute("r-a", prefix, "huvo11a", 3)
	r.Advice = &policy{float64(decision.Milliseconds()), float64(perItem.Milliseconds()), float64(validity.Milliseconds())}
	w.approved = func(step string, m *minion) bool {
		id, _, _, _ := taskParts(step + ".0")
		return (id < jobID(10)) == (m.machine == w.machines[0])
	}
	if !w.begin(map[string]int{"huvo11a": 4}, []route{r}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	large := func(count int) *job {
		return &job{Spec: "text", Steps: []step{{Count: count, CPU: 4000, MemMB: 1024, EstMs: 50000}}}
	}
	if !w.submit(jobID(1), prefix, large(4)) {
		return notRun
	}
	for n := 2; n < 6 && trouble; n++ {
		if !w.submit(jobID(n), prefix, large(1)) {
			return notRun
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	var ids []string
	for n := 10; n < 12; n++ {
		if !w.submit(jobID(n), prefix, large(1)) {
			return notRun
		}
		ids = append(ids, jobID(n))
	}
	return w.standsStill(prefix, ids)
}
