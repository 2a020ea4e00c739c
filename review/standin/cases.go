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
	if trouble {
		clients.Go(func() {
			time.Sleep(restartAt)
			if err := w.restart(victim, down, true); err != nil {
				w.record("restart: %v", err)
			}
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
	w.mu.Lock()
	ends := w.failedEnds[id]
	w.mu.Unlock()
	if strings.Contains(state, "failed") && ends == 0 {
		w.broken("LOST: job %s is shown as failed, and no run of it has ended failed", id)
	}
	w.record("the job's last state was %s", state)
	return nil
}
