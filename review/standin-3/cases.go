package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func keepLogs() bool { return os.Getenv("KEEP_LOGS") != "" }

const lastingJob = `{"spec":"%s","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":900,"longRunning":true}]}`

func (w *world) verdict(isBroken bool, format string, values ...any) int {
	text := fmt.Sprintf(format, values...)
	if isBroken {
		w.watch.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
		return broken
	}
	w.watch.note("HELD: %s", text)
	fmt.Println("held:", text)
	return held
}

// other returns an entry host that is up and isn't one of some.
func (w *world) other(than ...*entry) *entry {
	for _, e := range w.entries {
		is := false
		for _, t := range than {
			is = is || t == e
		}
		if !is {
			return e
		}
	}
	return nil
}

// cancelInTakeover hands in jobs that last while the pool has no holder, and cancels them while
// the next one takes the pool over.
func cancelInTakeover(program, record string, trouble bool) int {
	const (
		jobs         = 8
		slowX        = 40
		slowFor      = 4500 * time.Millisecond
		cancelWithin = 3 * time.Second
		grace        = 400 * time.Millisecond
	)
	w, err := newWorld(program, record, options{entries: 4})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	claimed := make(chan struct{}, 16)
	holder := w.holder()
	w.store.onWrite = func(key string) {
		if key == "glade/live/claim/"+service {
			claimed <- struct{}{}
		}
	}
	if trouble {
		w.kill(holder, 3500*time.Millisecond)
	}
	e := w.other(holder)
	accepted := make([]bool, jobs)
	var posts sync.WaitGroup
	for i := range jobs {
		posts.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			id := fmt.Sprintf("00000000000000%02x", i+1)
			for try := 0; try < 3 && !accepted[i]; try++ {
				status, text := w.call(e, http.MethodPost, id, fmt.Sprintf(lastingJob, "last"))
				w.watch.note("client: POST %s%s at %s -> %d %s", prefix, id, e.name, status, text)
				accepted[i] = status == http.StatusOK
			}
		})
	}
	posts.Wait()
	if trouble {
		w.watch.disturb("the store's answers take %d times as long, for %v", slowX, slowFor)
		w.store.setDelay(slowX * storeDelay)
		time.AfterFunc(slowFor, func() {
			w.store.setDelay(storeDelay)
			w.watch.disturb("the store's answers take their usual time again")
		})
	}
	if trouble {
		select {
		case <-claimed:
			w.watch.note("the store shows the next holder: %s", w.holder().name)
		case <-time.After(10 * time.Second):
			return failed(fmt.Errorf("no next holder"))
		}
	}
	type outcome struct {
		status int
		at     time.Time
	}
	cancels := make([]outcome, jobs)
	var calls sync.WaitGroup
	for i := range jobs {
		calls.Go(func() {
			if !accepted[i] {
				return
			}
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			id := fmt.Sprintf("00000000000000%02x", i+1)
			for try := 0; try < 5; try++ {
				status, text := w.call(e, http.MethodDelete, id, "")
				w.watch.note("client: DELETE %s%s at %s -> %d %s", prefix, id, e.name, status, text)
				if status == http.StatusOK || status == http.StatusGone {
					cancels[i] = outcome{status, time.Now()}
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	// Long after the last disruption.
	time.Sleep(20 * time.Second)
	wrong, late := 0, 0
	for i := range jobs {
		id := fmt.Sprintf("00000000000000%02x", i+1)
		if !accepted[i] || cancels[i].status == 0 {
			continue
		}
		running, starts := w.watch.jobRuns(id)
		if cancels[i].status == http.StatusGone {
			wrong++
		}
		if running > 0 && time.Since(cancels[i].at) > cancelWithin+grace {
			late++
			status, text := w.call(e, http.MethodGet, id, "")
			w.watch.note("job %s was accepted and its cancel was answered with %d %.1f s ago; its tasks have %d runs after %d starts; GET -> %d %s",
				id, cancels[i].status, time.Since(cancels[i].at).Seconds(), running, starts, status, text)
		}
	}
	return w.verdict(late > 0, "of %d accepted jobs whose cancel was acknowledged, %d with 410, %d run on %v + %v after that", jobs, wrong, late, cancelWithin, grace)
}

// stateInTakeover hands in jobs while the pool has no holder, and asks for their states while the
// next one takes the pool over. The first that does is lost as well, so that the jobs are old
// enough.
func stateInTakeover(program, record string, trouble bool) int {
	const (
		jobs     = 12
		visible  = 3 * time.Second
		askEvery = 40 * time.Millisecond
		askFor   = 9 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 5})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	w.store.setDelay(storeDelay + 2*zoneDelay)
	holder := w.holder()
	var mu sync.Mutex
	lost := map[*entry]bool{holder: trouble}
	isLost := func(e *entry) bool {
		mu.Lock()
		defer mu.Unlock()
		return lost[e]
	}
	if trouble {
		w.kill(holder, 0)
		var once sync.Once
		w.store.onWrite = func(key string) {
			next := w.holder()
			if key != "glade/live/claim/"+service || next == nil || next == holder {
				return
			}
			once.Do(func() {
				mu.Lock()
				lost[next] = true
				mu.Unlock()
				w.kill(next, 0)
			})
		}
	}
	gone, early, asked := 0, 0, 0
	ask := func(e *entry, id string, acceptedAt time.Time) {
		for time.Since(acceptedAt) < askFor && !isLost(e) {
			sent := time.Now()
			status, text := w.call(e, http.MethodGet, id, "")
			mu.Lock()
			asked++
			if status == http.StatusGone {
				w.watch.note("client: GET %s%s at %s, sent %.3f s after the job was accepted -> %d %s", prefix, id, e.name, sent.Sub(acceptedAt).Seconds(), status, text)
				if sent.Sub(acceptedAt) > visible {
					gone++
				} else {
					early++
				}
			}
			mu.Unlock()
			time.Sleep(askEvery)
		}
	}
	var clients sync.WaitGroup
	for i := range jobs {
		clients.Go(func() {
			time.Sleep(200*time.Millisecond + time.Duration(i)*5*time.Millisecond)
			id := fmt.Sprintf("00000000000000%02x", i+1)
			e := w.other(holder)
			status, text := w.call(e, http.MethodPost, id, fmt.Sprintf(lastingJob, "last"))
			w.watch.note("client: POST %s%s at %s -> %d %s", prefix, id, e.name, status, text)
			if status != http.StatusOK {
				return
			}
			acceptedAt := time.Now()
			for _, e := range w.entries {
				clients.Go(func() { ask(e, id, acceptedAt) })
			}
		})
	}
	clients.Wait()
	return w.verdict(gone > 0, "%d of %d answers about accepted jobs that nobody has cancelled were 410 later than %v after they were accepted, %d sooner", gone, asked, visible, early)
}

// progress hands in a job that is due again and again and whose last step needs a minion with a
// label. The only one is lost for good. Then other jobs come.
func progress(program, record string, trouble bool) int {
	const (
		tasks   = 4000
		label   = "b"
		others  = 5
		handIn  = 70 * time.Second
		finish  = 14 * time.Second
		waiting = 3 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 3, special: label})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	w.watch.quiet = true
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	if trouble {
		w.minions[0].crash()
		w.watch.disturb("crash of minion %s, the only one with label %s, for good", w.minions[0].id, label)
		time.Sleep(time.Second)
	}
	const id = "00000000000000b1"
	body := fmt.Sprintf(`{"spec":"work 200","repeats":16,"firstMs":%d,"intervalMs":%d,"steps":[{"count":%d,"cpu":100,"memMb":16,"estMs":200},{"count":1,"cpu":1000,"memMb":64,"estMs":200,"after":[0],"requires":"%s"}]}`,
		time.Now().UnixMilli(), 3000, tasks, label)
	status, text := w.call(w.entries[0], http.MethodPost, id, body)
	w.watch.note("client: POST %s%s %s -> %d %s", prefix, id, body, status, text)
	if status != http.StatusOK {
		return cannotRun
	}
	for time.Since(w.began) < handIn {
		time.Sleep(4 * time.Second)
		_, starts := w.watch.jobRuns(id)
		key := "glade/pool/" + service + "/at/" + id
		it, _ := w.store.get(key)
		status, text := w.call(w.entries[0], http.MethodGet, id, "")
		w.watch.note("%d starts of the job's tasks; the store's value under %s has %d bytes; client: GET %s%s -> %d %s", starts, key, len(it.Value), prefix, id, status, text)
	}
	var accepted []string
	for i := range others {
		other := fmt.Sprintf("00000000000000c%d", i+1)
		status, text := w.call(w.entries[i%len(w.entries)], http.MethodPost, other, `{"spec":"work 500","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":500}]}`)
		w.watch.note("client: POST %s%s at %s -> %d %s", prefix, other, w.entries[i%len(w.entries)].name, status, text)
		if status == http.StatusOK {
			accepted = append(accepted, other)
		}
	}
	time.Sleep(finish + waiting)
	w.watch.note("%d tasks run on all minions together", w.watch.allRuns())
	never := 0
	for i, other := range accepted {
		_, starts := w.watch.jobRuns(other)
		status, text := w.call(w.entries[i%len(w.entries)], http.MethodGet, other, "")
		w.watch.note("client: GET %s%s -> %d %s; its task was started %d times", prefix, other, status, text, starts)
		if starts == 0 {
			never++
		}
	}
	return w.verdict(never > 0, "of %d jobs accepted at %v, %d had nothing running until %v later, while the minions were idle", len(accepted), handIn, never, finish+waiting)
}

// backfill hands in a job that is due again and again since long ago, so that all its runs are
// due at once. The platform kills processes that take more memory than their machines have.
// Other jobs come beside it.
func backfill(program, record string, trouble bool) int {
	const (
		repeats  = 1000
		tasks    = 500
		others   = 5
		finish   = 14 * time.Second
		waiting  = 3 * time.Second
		restart  = time.Second
		watchFor = 40 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 3})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	w.watch.quiet = true
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	kills := w.limitMemory(restart)
	if trouble {
		const id = "00000000000000d1"
		body := fmt.Sprintf(`{"spec":"work 1000","repeats":%d,"firstMs":%d,"intervalMs":%d,"steps":[{"count":%d,"cpu":100,"memMb":16,"estMs":1000}]}`,
			repeats, time.Now().Add(-repeats*time.Hour).UnixMilli(), time.Hour.Milliseconds(), tasks)
		status, text := w.call(w.entries[0], http.MethodPost, id, body)
		w.watch.disturb("client: POST %s%s %s -> %d %s", prefix, id, body, status, text)
		if status != http.StatusOK {
			return cannotRun
		}
	}
	time.Sleep(2 * time.Second)
	accepted := make(map[string]*entry)
	for i := range others {
		other := fmt.Sprintf("00000000000000c%d", i+1)
		for try := 0; try < 6; try++ {
			e := w.entries[(i+try)%len(w.entries)]
			status, text := w.call(e, http.MethodPost, other, `{"spec":"work 500","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":500}]}`)
			w.watch.note("client: POST %s%s at %s -> %d %s", prefix, other, e.name, status, text)
			if status == http.StatusOK {
				accepted[other] = e
				break
			}
		}
	}
	for range int(watchFor / (2 * time.Second)) {
		time.Sleep(2 * time.Second)
		_, starts := w.watch.jobRuns("00000000000000d1")
		w.watch.note("%d starts of the large job; memory of the processes in MB: %v", starts, w.memoryMB())
	}
	never := 0
	for other, e := range accepted {
		_, starts := w.watch.jobRuns(other)
		status, text := w.call(e, http.MethodGet, other, "")
		w.watch.note("client: GET %s%s -> %d %s; its task was started %d times", prefix, other, status, text, starts)
		if starts == 0 {
			never++
		}
	}
	all, machines := kills()
	return w.verdict(never > 0 || machines >= 2, "processes took more than %d MB %d times, on %d machines three times or more; of %d jobs accepted beside the large one, %d had nothing running within %v (limit %v)",
		memoryMB, all, machines, len(accepted), never, watchFor, finish+waiting)
}

// limit has a tenant's tasks that last run in one service, sets the tenant a limit, and hands in
// as many for another service. Without trouble the limit is set from the start.
func limit(program, record string, trouble bool) int {
	const (
		limitCPU = 24_000
		taskCPU  = 1000
		tasks    = 20
		overage  = 0.1
		apply    = 3 * time.Second
	)
	before := options{entries: 3, tenants: true, limitCPU: limitCPU}
	if trouble {
		before.limitCPU = 0
	}
	w, err := newWorld(program, record, before)
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	body := fmt.Sprintf(`{"spec":"last","steps":[{"count":%d,"cpu":%d,"memMb":256,"estMs":900,"longRunning":true}]}`, tasks, taskCPU)
	post := func(prefix, id string) bool {
		status, text := w.callQueue(w.entries[0], http.MethodPost, prefix, id, body)
		w.watch.note("client: POST %s%s %s -> %d %s", prefix, id, body, status, text)
		return status == http.StatusOK
	}
	const first, other = "00000000000000e1", "00000000000000e2"
	if !post(secondPrefix, first) {
		return cannotRun
	}
	time.Sleep(5 * time.Second)
	w.watch.note("the tenant has %d thousandths of a core running", taskCPU*w.watch.allRuns())
	if trouble {
		w.options.limitCPU = limitCPU
		w.store.put("op/config", w.config(11))
		w.watch.disturb("configuration 11 sets the tenant's maxCount to %d thousandths of a core", limitCPU)
	}
	// All older configurations are out of force after the first part.
	time.Sleep(apply + 5*time.Second)
	if !post(prefix, other) {
		return cannotRun
	}
	most := 0
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		most = max(most, taskCPU*w.watch.allRuns())
	}
	allowed := limitCPU*(1+overage) + taskCPU
	return w.verdict(float64(most) > allowed, "the tenant had %d thousandths of a core running at the most, allowed are %.0f (%d x %.1f and one task more)", most, allowed, limitCPU, 1+overage)
}

// largeText hands in one job of legal size with a long text of characters that the store's encoding
// makes longer, and other jobs after it.
func largeText(program, record string, trouble bool) int {
	const (
		textBytes = 200_000
		others    = 5
		finish    = 14 * time.Second
		waiting   = 3 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 3})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	if trouble {
		const id = "00000000000000aa"
		body := fmt.Sprintf(`{"spec":"work 300","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":300,"image":"%s"}]}`, strings.Repeat("<", textBytes))
		status, text := w.call(w.entries[0], http.MethodPost, id, body)
		w.watch.disturb("client: POST %s%s, %d bytes -> %d %s", prefix, id, len(body), status, text)
	}
	time.Sleep(3 * time.Second)
	accepted := make(map[string]*entry)
	for i := range others {
		id, e := fmt.Sprintf("00000000000000c%d", i+1), w.entries[i%len(w.entries)]
		status, text := w.call(e, http.MethodPost, id, `{"spec":"work 500","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":500}]}`)
		w.watch.note("client: POST %s%s at %s -> %d %s", prefix, id, e.name, status, text)
		if status == http.StatusOK {
			accepted[id] = e
		}
	}
	time.Sleep(finish + waiting)
	never := 0
	for id, e := range accepted {
		_, starts := w.watch.jobRuns(id)
		status, text := w.call(e, http.MethodGet, id, "")
		w.watch.note("client: GET %s%s -> %d %s; its task was started %d times", prefix, id, status, text, starts)
		if starts == 0 {
			never++
		}
	}
	return w.verdict(never > 0, "of %d jobs accepted after the one with a long text, %d had nothing running until %v later", len(accepted), never, finish+waiting)
}

// late hands in a job, has the first order to start its task held up, and has the minion crash
// and start again under its id before that order arrives.
func late(program, record string, trouble bool) int {
	const (
		id       = "00000000000000f2"
		heldUp   = 6 * time.Second
		crashAt  = 3300 * time.Millisecond
		downFor  = 700 * time.Millisecond
		workMs   = 9000
		watchFor = 14 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 3, keepID: true})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	if trouble {
		w.mu.Lock()
		w.holdUpFor = heldUp
		w.mu.Unlock()
	}
	body := fmt.Sprintf(`{"spec":"work %d","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":%d}]}`, workMs, workMs)
	status, text := w.call(w.entries[0], http.MethodPost, id, body)
	w.watch.note("client: POST %s%s %s -> %d %s", prefix, id, body, status, text)
	if status != http.StatusOK {
		return cannotRun
	}
	if trouble {
		time.Sleep(crashAt)
		w.mu.Lock()
		at := w.heldUp
		w.mu.Unlock()
		m := w.allMinions()[at]
		m.crash()
		w.watch.disturb("minion %s crashes", m.id)
		time.Sleep(downFor)
		if err := w.revive(at, 2); err != nil {
			return failed(err)
		}
		w.watch.disturb("minion %s is up again under its id, born %d", m.id, w.allMinions()[at].born)
	}
	time.Sleep(watchFor)
	status, text = w.call(w.entries[0], http.MethodGet, id, "")
	w.watch.note("client: GET %s%s -> %d %s", prefix, id, status, text)
	return w.verdict(w.watch.doubleStarts() > 0, "%d runs have started beside another run of their task, on minions that are up", w.watch.doubleStarts())
}

// carried hands in a job while an entry host that makes calls for the pool's holder stands still,
// and has a minion that didn't get a start crash and start again under its id before that
// entry host goes on.
func carried(program, record string, trouble bool) int {
	const (
		tasks    = 24
		freeze   = 4 * time.Second
		downFor  = 700 * time.Millisecond
		workMs   = 9000
		watchFor = 12 * time.Second
	)
	w, err := newWorld(program, record, options{entries: 4, keepID: true, minions: 36, cpuShare: "0.192"})
	if err != nil {
		return failed(err)
	}
	defer w.close(keepLogs())
	if !w.awaitReady() {
		return failed(fmt.Errorf("the deployment didn't start"))
	}
	time.Sleep(3 * time.Second)
	holder := w.holder()
	// Tasks that end a moment later leave room on other minions.
	const before = "00000000000000f0"
	short := `{"spec":"work 1200","steps":[{"count":5,"cpu":40000,"memMb":256,"estMs":1200}]}`
	status, text := w.call(holder, http.MethodPost, before, short)
	w.watch.note("client: POST %s%s at %s %s -> %d %s", prefix, before, holder.name, short, status, text)
	if status != http.StatusOK {
		return cannotRun
	}
	time.Sleep(time.Second)
	began := time.Now()
	if trouble {
		if err := w.freeze(w.other(holder), freeze); err != nil {
			return failed(err)
		}
	}
	const id = "00000000000000f3"
	body := fmt.Sprintf(`{"spec":"work %d","steps":[{"count":%d,"cpu":40000,"memMb":256,"estMs":%d}]}`, workMs, tasks, workMs)
	status, text = w.call(holder, http.MethodPost, id, body)
	w.watch.note("client: POST %s%s at %s %s -> %d %s", prefix, id, holder.name, body, status, text)
	if status != http.StatusOK {
		return cannotRun
	}
	if trouble {
		time.Sleep(time.Until(began.Add(freeze/2 - downFor/2)))
		at, ok := w.missedElsewhere()
		if !ok {
			w.watch.note("every minion got its starts, or runs what it missed")
			return cannotRun
		}
		m := w.allMinions()[at]
		m.crash()
		w.watch.disturb("minion %s crashes", m.id)
		time.Sleep(downFor)
		if err := w.revive(at, 2); err != nil {
			return failed(err)
		}
		w.watch.disturb("minion %s is up again under its id, born %d", m.id, w.allMinions()[at].born)
	}
	time.Sleep(watchFor)
	return w.verdict(w.watch.doubleStarts() > 0, "%d runs have started beside another run of their task, on minions that are up", w.watch.doubleStarts())
}
