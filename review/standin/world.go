package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// world is the deployment of one case: the platform's stand-ins, what they saw, and the
// project's own processes.
type world struct {
	ip     string
	zones  []string
	store  *kvStore
	began  time.Time
	length time.Duration

	recordMu sync.Mutex
	out      *bufio.Writer

	mu sync.Mutex
	// minions are the present lives, by machine.
	minions  map[string]*minion
	doneEnds map[string][]*doneEnd
	verdicts []string
	// unfair is set if a disruption went beyond its limits.
	unfair bool
	// lasting are the jobs whose tasks last.
	lasting map[string]bool

	entriesMu sync.Mutex
	entries   []*entry
}

// doneEnd is an end "done" of a run.
type doneEnd struct {
	at    time.Time
	by    *minion
	n     int64
	run   int
	noted bool
	// restarted is the first start after it that began in its sight.
	restarted string
}

func newWorld(recordPath string, length time.Duration) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{
		ip: "127.0.0.1", zones: []string{"zone-a", "zone-b", "zone-c"}, store: newStore(), began: time.Now(), length: length, out: bufio.NewWriter(file),
		minions: make(map[string]*minion), doneEnds: make(map[string][]*doneEnd), lasting: make(map[string]bool),
	}, nil
}

func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) flush() {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_ = w.out.Flush()
}

// broken records that a rule was broken.
func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdicts = append(w.verdicts, text)
}

// lengthOf is how long a run of a task takes, zero for one that lasts.
func (w *world) lengthOf(task string) time.Duration {
	id, _, _ := strings.Cut(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lasting[id] {
		return 0
	}
	return w.length
}

// started is told of each start that a minion began. The minion holds its lock.
func (w *world) started(m *minion, o orderRequest) {
	w.record("start of %s run %d at %s, fence %d", o.Task, o.Run, m, o.Fence)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.doneEnds[o.Task] {
		if d.restarted == "" {
			d.restarted = fmt.Sprintf("run %d at %s at %.3f", o.Run, m, time.Since(w.began).Seconds())
		}
		w.judgeLocked(o.Task, d)
	}
}

// ended is told of each end.
func (w *world) ended(m *minion, e minionEnd) {
	w.record("end %d of %s run %d at %s: %s", e.n, e.task, e.run, m, e.how)
	if e.how != "done" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doneEnds[e.task] = append(w.doneEnds[e.task], &doneEnd{at: time.Now(), by: m, n: e.n, run: e.run})
}

// noted is told of each end that lastSeen has reached.
func (w *world) noted(m *minion, e minionEnd) {
	w.record("end %d of %s at %s is taken note of", e.n, e.task, m)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.doneEnds[e.task] {
		// An end counts as taken note of unless the lease ran out between the two.
		if d.by == m && d.n == e.n && !m.lapsed.After(d.at) {
			d.noted = true
			w.judgeLocked(e.task, d)
		}
	}
}

// judgeLocked applies the second case of TWICE: a start after a run has ended done, if that
// end is taken note of then or later.
func (w *world) judgeLocked(task string, d *doneEnd) {
	if d.noted && d.restarted != "" {
		text := fmt.Sprintf("TWICE: %s ended done (end %d, run %d) at %s, which was taken note of, and was started again: %s", task, d.n, d.run, d.by, d.restarted)
		d.noted = false
		w.verdicts = append(w.verdicts, text)
		w.record("BROKEN %s", text)
	}
}

// runningOn returns the minions on which a task runs now.
func (w *world) runningOn(task string) []string {
	w.mu.Lock()
	minions := make([]*minion, 0, len(w.minions))
	for _, m := range w.minions {
		minions = append(minions, m)
	}
	w.mu.Unlock()
	var on []string
	for _, m := range minions {
		m.mu.Lock()
		if run := m.runs[task]; run != nil && !m.dead {
			on = append(on, fmt.Sprintf("%s (%s, run %d)", m, m.service, run.number))
		}
		m.mu.Unlock()
	}
	return on
}

// running counts the tasks of a job's first step that run now.
func (w *world) running(job string, tasks int) (count int) {
	for index := range tasks {
		if len(w.runningOn(taskOf(job, index))) > 0 {
			count++
		}
	}
	return count
}

// addMinions adds minions of a service on machines of their own.
func (w *world) addMinions(service string, count, cpu int) error {
	for i := range count {
		m := &minion{
			id: fmt.Sprintf("i-%s-%02d", service, i+1), machine: fmt.Sprintf("m-%s-%02d", service, i+1), service: service,
			rack: fmt.Sprintf("r-%s-%d", service, i/4), cpu: cpu, memMB: 65536, life: 1, world: w,
		}
		if err := m.start(); err != nil {
			return err
		}
		w.mu.Lock()
		w.minions[m.machine] = m
		w.mu.Unlock()
	}
	return nil
}

// silentFor is how long a minion is silent before its entry is removed: three heartbeats.
const silentFor = 3 * beatEvery

// restart ends the life of a machine's minion and begins another at the same address, under
// the same id or a new one.
func (w *world) restart(machine string, down time.Duration, sameID bool) error {
	w.mu.Lock()
	old := w.minions[machine]
	w.mu.Unlock()
	old.crash()
	next := &minion{
		id: old.id, machine: old.machine, service: old.service, rack: old.rack, cpu: old.cpu, memMB: old.memMB, addr: old.addr, life: old.life + 1, world: w,
	}
	if !sameID {
		next.id = fmt.Sprintf("%s-%d", machine, next.life)
		time.AfterFunc(silentFor, func() { w.store.remove("servers/" + old.id) })
	}
	time.Sleep(down)
	if err := next.start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.minions[machine] = next
	w.mu.Unlock()
	return nil
}

// listenOn returns a listener on a free port of the loopback address.
func listenOn(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }

// freePorts returns the first of count free ports in a row.
func freePorts(ip string, count int) (int, error) {
	for range 200 {
		first, err := listenOn(ip)
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		held := []net.Listener{first}
		for i := 1; i < count; i++ {
			next, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				break
			}
			held = append(held, next)
		}
		for _, l := range held {
			_ = l.Close()
		}
		if len(held) == count {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row at %s", count, ip)
}

func jobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+number) }

func taskOf(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }
