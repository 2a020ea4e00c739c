package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// machineCPU and machineMB are the size of each machine.
const (
	machineCPU = 16000
	machineMB  = 32768
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
	return w.counts(prefix, accepted, 9*time.Second, nil)
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

// finish is `finish_s`, how long after the end of the traffic jobs are asked for, and still
// the 3 s for which a job may have nothing running.
const (
	finish = 14 * time.Second
	still  = 3 * time.Second
)

// standsStill judges LOST: for 3 s, `finish_s` after the end of the traffic, a job has nothing
// running, there is capacity for its task twice over on the minions that may run it, and under
// half of the capacity of the service is in use.
func (w *world) standsStill(prefix string, ids []string, may func(m *machine) bool) int {
	w.logf("the traffic has ended")
	time.Sleep(finish)
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for until := time.Now().Add(still); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		used, most, room := w.room(may)
		for _, id := range ids {
			task := w.jobs[id].Steps[0]
			if w.works(id) || 2*used >= most || room(task) < 2 {
				idle[id] = false
			}
		}
		w.logf("%d of %d thousandths of a core of the service are in use", used, most)
	}
	result := held
	for _, id := range ids {
		state := w.state(w.procs[0], prefix, id)
		if idle[id] {
			w.logf("BROKEN: %s is shown as %s and had nothing running for %v, %v after the end of the traffic", id, state, still, finish)
			result = broken
		}
	}
	return result
}

// works reports whether a task of a job of one step runs, or all have ended `done`.
func (w *world) works(id string) bool {
	running, done := map[string]bool{}, map[string]bool{}
	for _, e := range w.allEvents() {
		if e.job != id || e.kind == "seen" {
			continue
		}
		running[e.task] = e.kind == "start"
		done[e.task] = done[e.task] || e.kind == "end" && e.more == "done"
	}
	count := 0
	for task := range running {
		if running[task] {
			return true
		}
		if done[task] {
			count++
		}
	}
	return count == w.jobs[id].Steps[0].Count
}

// room returns what is in use of the machines' thousandths of a core, how many they have, and
// how many tasks of a step fit on those that may run it.
func (w *world) room(may func(m *machine) bool) (used, most int, fits func(s step) int) {
	var free []int
	for _, m := range w.machines {
		m.mu.Lock()
		life := m.life
		m.mu.Unlock()
		here := 0
		life.mu.Lock()
		for task := range life.runs {
			id, _, stepN, _ := taskParts(task)
			here += w.jobs[id].Steps[stepN].CPU
		}
		life.mu.Unlock()
		used, most = used+here, most+machineCPU
		if may(m) {
			free = append(free, machineCPU-here)
		}
	}
	return used, most, func(s step) int {
		count := 0
		for _, left := range free {
			count += left / s.CPU
		}
		return count
	}
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
	return w.standsStill(shortPrefix, ids, func(*machine) bool { return true })
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
	return w.standsStill(prefix, ids, func(m *machine) bool { return m != w.machines[0] })
}

// moved: a queue goes to another service while jobs of it wait, and the process that holds
// the former pool is killed.
func moved(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	r, other := newRoute("r-a", prefix, "huvo11a", 3), newRoute("r-b", "/kafi706/", "lovo22d", 3)
	if !w.begin(map[string]int{"huvo11a": 4, "lovo22d": 4}, []route{r, other}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	oneTask := func(cpu, ms int) *job {
		return &job{Spec: "text", Steps: []step{{Count: 1, CPU: cpu, MemMB: 256, EstMs: ms}}}
	}
	for n := 1; n < 5; n++ {
		if !w.submit(jobID(n), prefix, oneTask(machineCPU, 60000)) || !w.submit(jobID(n+4), other.Prefix, oneTask(machineCPU, 60000)) {
			return notRun
		}
	}
	time.Sleep(2 * time.Second)
	accepted := map[string]time.Time{}
	for n := 10; n < 20; n++ {
		if !w.submit(jobID(n), prefix, oneTask(machineCPU, 60000)) {
			return notRun
		}
		accepted[jobID(n)] = time.Now()
	}
	r.Service = "lovo22d"
	w.configure(9, []route{r, other}, []service{{Name: "huvo11a"}, {Name: "lovo22d"}})
	time.Sleep(8 * time.Second)
	holder := w.holder("huvo11a")
	if holder == nil {
		return notRun
	}
	result := w.counts(prefix, accepted, 2*time.Second, nil)
	if trouble {
		w.signal(holder, syscall.SIGKILL)
	}
	return max(result, w.counts(prefix, accepted, 4*time.Second, holder))
}

// holder returns the process that holds a pool.
func (w *world) holder(pool string) *process {
	var claim struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(w.store.value("glade/live/claim/"+pool), &claim) != nil {
		return nil
	}
	for _, p := range w.procs {
		if p.name == claim.Node {
			return p
		}
	}
	return nil
}

// counts judges MIXED: a machine in touch gives as `waiting` under half of the jobs without
// times that were accepted over `visible_ms` + 2 s before and haven't begun.
func (w *world) counts(prefix string, accepted map[string]time.Time, length time.Duration, without *process) int {
	owed := func() (count int) {
		for id, at := range accepted {
			if time.Since(at) > 5*time.Second && !w.begun(id) {
				count++
			}
		}
		return count
	}
	result := held
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, p := range w.procs {
			if p == without {
				continue
			}
			before := owed()
			status, answer := w.clientCall(p, http.MethodGet, prefix, nil)
			var shown struct {
				Waiting int `json:"waiting"`
			}
			if status != 200 || json.Unmarshal([]byte(answer), &shown) != nil {
				continue
			}
			if least := min(before, owed()); 2*shown.Waiting < least {
				w.logf("BROKEN: %s gives %d as waiting, %d jobs accepted over 5 s before haven't begun", p.name, shown.Waiting, least)
				result = broken
			}
		}
	}
	return result
}

// freezeAfter is how long after the store has accepted the progress of a wave the machine that
// wrote it freezes.
const freezeAfter = 4 * time.Millisecond

// stale: a machine of the system freezes for 4 s while it sends machines to upkeep.
func stale(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	if !w.begin(map[string]int{"huvo11a": 24}, []route{newRoute("r-a", prefix, "huvo11a", 3)}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	var frozen atomic.Bool
	if trouble {
		w.store.written = func(keys []string) {
			if !strings.HasPrefix(keys[0], "glade/wave/") || frozen.Swap(true) {
				return
			}
			p := w.holder(".hosts")
			if p == nil {
				frozen.Store(false)
				return
			}
			time.Sleep(freezeAfter)
			w.signal(p, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			w.signal(p, syscall.SIGCONT)
			time.Sleep(5 * time.Second)
			frozen.Store(false)
		}
	}
	for number := int64(1); number <= 4; number++ {
		var names []string
		for _, m := range w.machines {
			names = append(names, m.name)
		}
		w.mu.Lock()
		w.wave[number], w.maxDown = map[string]bool{}, 6
		w.mu.Unlock()
		w.logf("operator: wave %d", number)
		w.store.put(fmt.Sprintf("op/wave/%d", number), map[string]any{"wave": number, "machines": names, "durationS": 20, "maxCount": 6})
		time.Sleep(23 * time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("%d upkeeps began beyond what is allowed", w.over)
	if w.over > 0 {
		return broken
	}
	return held
}

// suspects: the rack of a service crashes twice while it is busy, and is back for good.
func suspects(w *world, trouble bool) int {
	const prefix = "/puxa400/"
	if !w.begin(map[string]int{"huvo11a": 4}, []route{newRoute("r-a", prefix, "huvo11a", 3)}) {
		return notRun
	}
	time.Sleep(6 * time.Second)
	var ids []string
	for n := 1; n < 16; n++ {
		if !w.submit(jobID(n), prefix, &job{Spec: "text", Steps: []step{{Count: 4, CPU: 1000, MemMB: 256, EstMs: 3000}}}) {
			return notRun
		}
		ids = append(ids, jobID(n))
	}
	for range 2 {
		time.Sleep(1200 * time.Millisecond)
		if trouble {
			for _, m := range w.machines {
				w.crash(m, false, time.Second)
			}
		}
		// Until the tasks work again.
		time.Sleep(1600 * time.Millisecond)
	}
	return w.standsStill(prefix, ids, func(*machine) bool { return true })
}
