package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reborn restarts one of eight minions under the id that it had, while jobs keep about
// seven eighths of all cores busy.
func reborn(w *world, dir string, trouble bool) error {
	const (
		restartAt = 8 * time.Second
		down      = 2500 * time.Millisecond
		traffic   = 45 * time.Second
		interval  = 145 * time.Millisecond
		victim    = "m-alpha-03"
	)
	if err := w.deploy(dir, 8, []string{"alpha"}, route{"/quick/", "alpha"}); err != nil {
		return err
	}
	var accepted sync.Map
	var clients sync.WaitGroup
	var restarted error
	if trouble {
		clients.Go(func() {
			time.Sleep(restartAt)
			restarted = w.restart(victim, down, true)
		})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	number := 0
	for end := time.Now().Add(traffic); time.Now().Before(end); <-ticker.C {
		number++
		id := jobID(number)
		clients.Go(func() {
			if w.submit("/quick/"+id, job("spec of "+id, 4, 1000, 1000)) {
				accepted.Store(id, true)
			}
		})
	}
	clients.Wait()
	if restarted != nil {
		return restarted
	}
	time.Sleep(14 * time.Second)
	count := 0
	accepted.Range(func(_, _ any) bool { count++; return true })
	w.record("%d jobs handed in, %d accepted", number, count)
	if count < number/2 {
		return fmt.Errorf("only %d of %d jobs were accepted", count, number)
	}
	return nil
}

// movedQueue removes a queue from the configuration and adds it again with another service,
// while accepted jobs run.
func movedQueue(w *world, dir string, trouble bool) error {
	services := []string{"alpha", "beta"}
	before := []route{{"/quick/", "alpha"}, {"/slow/", "beta"}, {"/other/", "alpha"}}
	if err := w.deploy(dir, 3, services, before...); err != nil {
		return err
	}
	const jobs = 4
	accepted := make([]string, 0, jobs)
	for i := range jobs {
		id := jobID(i + 1)
		if !w.submit("/quick/"+id, job("spec of "+id, 2, 500, 25000)) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		accepted = append(accepted, id)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.configure(3, services, before[1], before[2])
		time.Sleep(4 * time.Second)
		w.configure(4, services, route{"/quick/", "beta"}, before[1], before[2])
	} else {
		time.Sleep(4 * time.Second)
	}
	// A version is in force configApplyMs (3 s) after its acknowledgement, and an accepted
	// job is known visible_ms (3 s) after its own.
	time.Sleep(4 * time.Second)
	for _, id := range accepted {
		for _, e := range w.entries {
			status, answer := w.askAt(e, http.MethodGet, "/quick/"+id, nil)
			if status == http.StatusGone {
				w.broken("LOST: a GET at %s for the accepted job %s, which nobody has cancelled, is answered 410", e.node, id)
			} else if status != http.StatusOK || !strings.Contains(answer, "running") {
				w.record("unexpected: %d %s", status, answer)
			}
		}
	}
	// A request for an ID arrives once more, seconds after its 2xx.
	again := accepted[0]
	w.ask(http.MethodPost, "/quick/"+again, job("spec of "+again, 2, 500, 25000))
	reported := make(map[string]bool)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for index := range 2 {
			task := taskOf(again, index)
			if on := w.runningOn(task); len(on) > 1 && !reported[task] {
				reported[task] = true
				w.broken("TWICE: %s runs at the same time on %s", task, strings.Join(on, " and "))
			}
		}
	}
	return nil
}

// lostMembers stops and starts the three entry hosts in turn. While the first two of them
// leave, the answer to one of their writes is lost, and the write is done late. Later the
// third one is removed for good.
func lostMembers(w *world, dir string, trouble bool) error {
	const (
		tasks    = 4
		lossy    = 4500 * time.Millisecond
		maxShare = 0.35
		between  = 5 * time.Second
		calm     = 20 * time.Second
	)
	if err := w.deploy(dir, 4, []string{"alpha"}, route{"/watch/", "alpha"}, route{"/quick/", "alpha"}); err != nil {
		return err
	}
	id := jobID(1)
	spec := job("spec of "+id, tasks, 1000, 900)
	step := spec["steps"].([]map[string]any)[0]
	step["longRunning"], step["mayMiss"] = true, 1
	w.mu.Lock()
	w.lasting[id] = true
	w.mu.Unlock()
	if !w.submit("/watch/"+id, spec) {
		return fmt.Errorf("job %s was not accepted", id)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { w.quickJobs(stop) })
	for i, e := range w.entries {
		if trouble && i < 2 {
			w.record("answers of the store are lost from here on")
			chosen := false
			w.store.loseAnswers(func(txn txnRequest) bool {
				first := !chosen && writesMember(txn, e)
				chosen = chosen || first
				return first
			})
			time.AfterFunc(lossy, func() {
				writes, lates := w.store.loseAnswers(nil)
				w.record("%d of %d writes were not answered and are done late", lates, writes)
				if float64(lates) > maxShare*float64(writes) {
					w.record("more writes are late than the pages allow")
					w.mu.Lock()
					w.unfair = true
					w.mu.Unlock()
				}
			})
		}
		if err := w.restartEntry(e); err != nil {
			return err
		}
		time.Sleep(between)
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	close(stop)
	clients.Wait()
	time.Sleep(between)
	if on := w.running(id, tasks); on != tasks {
		return fmt.Errorf("%d of %d tasks run before the removal", on, tasks)
	}
	last := w.entries[2]
	w.record("%s is removed", last.node)
	if err := last.process.Process.Kill(); err != nil {
		return err
	}
	// A process that was killed ends with an error.
	_ = last.process.Wait()
	time.Sleep(between)
	w.record("nothing is disrupted from here on")
	late := jobID(9999)
	status, _ := w.askAt(w.entries[0], http.MethodPost, "/quick/"+late, job("spec of "+late, 1, 500, 100))
	time.Sleep(calm)
	if on := w.running(id, tasks); on < tasks {
		w.broken("LOST: %d of %d tasks of job %s, which last, run after %v of calm, with all minions up and idle and two entry hosts up", on, tasks, id, calm)
	}
	_, answer := w.askAt(w.entries[0], http.MethodGet, "/quick/"+late, nil)
	if status == http.StatusOK && !strings.Contains(answer, "done") {
		w.broken("LOST: job %s, accepted %v ago, hasn't begun: %s", late, calm, answer)
	}
	return nil
}

// writesMember reports whether a transaction writes one key only, which names an entry host.
func writesMember(txn txnRequest, e *entry) bool {
	return len(txn.Writes) == 1 && len(txn.Deletes) == 0 && len(txn.ExpectRev) == 0 && strings.HasSuffix(txn.Writes[0].Key, "/"+e.node)
}

// quickJobs hands in five small jobs a second until stop is closed.
func (w *world) quickJobs(stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for number := 100; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id := jobID(number)
		clients.Go(func() { w.submit("/quick/"+id, job("spec of "+id, 1, 500, 100)) })
	}
}

// crashes lets five of the eight minions of a service crash one after the other, one every
// 9 s and each for 2.5 s, while one long job runs there.
func crashes(w *world, dir string, trouble bool) error {
	const (
		minions = 8
		crashed = 5
		down    = 2500 * time.Millisecond
		pace    = 9 * time.Second
	)
	if err := w.deploy(dir, minions, []string{"alpha"}, route{"/quick/", "alpha"}); err != nil {
		return err
	}
	id := jobID(1)
	if !w.submit("/quick/"+id, job("spec of "+id, 1, 1000, int(w.length.Milliseconds()))) {
		return fmt.Errorf("job %s was not accepted", id)
	}
	if trouble {
		go func() {
			for i := range crashed {
				time.Sleep(pace - down)
				if err := w.restart(fmt.Sprintf("m-alpha-%02d", i+1), down, false); err != nil {
					w.record("restart: %v", err)
					return
				}
			}
		}()
	}
	state := ""
	for end := time.Now().Add(crashed*pace + w.length + 5*time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if status, answer := w.ask(http.MethodGet, "/quick/"+id, nil); status == http.StatusOK {
			state = answer
		}
		if strings.Contains(state, "done") || strings.Contains(state, "failed") {
			break
		}
	}
	// No run ends failed here: a run ends done, is stopped, or is lost with its minion.
	if strings.Contains(state, "failed") {
		w.broken("LOST: job %s is shown as failed, and no run of it has ended failed", id)
	}
	w.record("the job's last state was %s", state)
	return nil
}

// droppedQueue removes the only queue of a service from the configuration, while a job that
// lasts runs there, and then stops and starts the entry hosts in turn.
func droppedQueue(w *world, dir string, trouble bool) error {
	const tasks = 4
	services := []string{"alpha", "beta"}
	if err := w.deploy(dir, 4, services, route{"/watch/", "alpha"}, route{"/quick/", "beta"}); err != nil {
		return err
	}
	id := jobID(1)
	spec := job("spec of "+id, tasks, 1000, 900)
	step := spec["steps"].([]map[string]any)[0]
	step["longRunning"], step["mayMiss"] = true, 1
	w.mu.Lock()
	w.lasting[id] = true
	w.mu.Unlock()
	if !w.submit("/watch/"+id, spec) {
		return fmt.Errorf("job %s was not accepted", id)
	}
	time.Sleep(5 * time.Second)
	if on := w.running(id, tasks); on != tasks {
		return fmt.Errorf("%d of %d tasks run", on, tasks)
	}
	if trouble {
		w.configure(3, services, route{"/quick/", "beta"})
		time.Sleep(4 * time.Second)
		for _, e := range w.entries {
			if err := w.restartEntry(e); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	w.record("nothing is disrupted from here on")
	const calm = 20 * time.Second
	time.Sleep(calm)
	if on := w.running(id, tasks); on < tasks {
		w.broken("LOST: %d of %d tasks of job %s, which last and which nobody has cancelled, run after %v of calm, with all minions up and idle", on, tasks, id, calm)
	}
	status, answer := w.ask(http.MethodGet, "/watch/"+id, nil)
	w.record("the job is asked for: %d %s", status, answer)
	return nil
}
