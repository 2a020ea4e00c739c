package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const gangTimeout = 3 * time.Second

// machine is a pooled machine over its lives.
type machine struct {
	name, rack string

	mu    sync.Mutex
	pool  string
	state string
	life  *minion
	// fence is the highest of the orders for it.
	fence int64
}

type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	MemMB        int   `json:"memMb"`
	EstMs        int   `json:"estMs"`
	After        []int `json:"after,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
	LongRunning  bool  `json:"longRunning,omitempty"`
	MayMiss      int   `json:"mayMiss,omitempty"`
	// fails is how many of its runs end `failed`.
	fails int
}

type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeats    int    `json:"repeats,omitempty"`
	FirstMs    int64  `json:"firstMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

// event is what a minion saw of a run.
type event struct {
	at                time.Time
	kind, task        string
	run               int
	minion, more      string
	job               string
	occurrence, stepN int
}

// world is the platform, the clients and the system's processes.
type world struct {
	dir    string
	began  time.Time
	store  *kvStore
	record *os.File

	mu       sync.Mutex
	machines []*machine
	jobs     map[string]*job
	events   []event
	nextID   int
	wave     map[int64]map[string]bool
	procs    []*process
	// approved is which minions the policy allows, by step; nil for all.
	approved func(step string, minion *minion) bool
	client   *http.Client
	// down counts the machines that are down for each wave, maxDown is how many may be, over
	// counts the upkeeps that began beyond that.
	down          map[int64]int
	maxDown, over int
}

// process is one process of the system.
type process struct {
	name, front, ready string
	file, logFile      string
	cmd                *exec.Cmd
	done               chan struct{}
}

func newWorld(record *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, began: time.Now(), store: newStore(), record: record, jobs: map[string]*job{}, wave: map[int64]map[string]bool{}, down: map[int64]int{},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// note records what a minion saw of a run.
func (w *world) note(kind, task string, number int, minion, more string) {
	id, occurrence, stepN, _ := taskParts(task)
	w.mu.Lock()
	w.events = append(w.events, event{time.Now(), kind, task, number, minion, more, id, occurrence, stepN})
	w.mu.Unlock()
	w.logf("minion %s: %s %s run %d %s", minion, kind, task, number, strings.Clone(more)[:min(12, len(more))])
}

func (w *world) allEvents() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// taskWork returns how long a task works, zero for one that lasts, and the size of its gang.
func (w *world) taskWork(task string) (work time.Duration, gang int) {
	id, _, stepN, _ := taskParts(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || stepN >= len(j.Steps) {
		return time.Second, 0
	}
	s := j.Steps[stepN]
	if s.Gang {
		gang = s.Count
	}
	if s.LongRunning {
		return 0, gang
	}
	if s.EstMs == 0 {
		return 800 * time.Millisecond, gang
	}
	return time.Duration(s.EstMs) * time.Millisecond, gang
}

func (w *world) howEnds(r *run) string {
	id, _, stepN, _ := taskParts(r.task)
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, e := range w.events {
		if e.kind == "end" && e.task == r.task && e.more == "failed" {
			failed++
		}
	}
	if j := w.jobs[id]; j != nil && stepN < len(j.Steps) && failed < j.Steps[stepN].fails {
		return "failed"
	}
	return "done"
}

// gangComplete reports whether all members of a run's gang have begun.
func (w *world) gangComplete(r *run) bool {
	id, occurrence, stepN, _ := taskParts(r.task)
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := map[string]bool{}
	for _, e := range w.events {
		if e.job == id && e.occurrence == occurrence && e.stepN == stepN && e.run == r.number && e.kind == "start" {
			begun[e.task] = true
		}
	}
	return len(begun) >= r.gang
}

// startLife starts a minion on a machine.
func (w *world) startLife(m *machine, pool, addr string) {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+w.nextID)
	w.mu.Unlock()
	life := &minion{
		w: w, id: id, pool: pool, machine: m, addr: listener.Addr().String(), listener: listener, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	life.server = &http.Server{Handler: life.handler()}
	go func() { _ = life.server.Serve(listener) }()
	m.mu.Lock()
	m.life, m.state, m.pool = life, "up", pool
	m.mu.Unlock()
	go life.live()
	go life.beat()
	w.logf("machine %s: minion %s of %s begins at %s", m.name, id, pool, life.addr)
}

func (w *world) addMachine(pool, rack string) *machine {
	w.mu.Lock()
	m := &machine{name: fmt.Sprintf("m-%05x", 0x0a300+len(w.machines)), rack: rack, pool: pool}
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	w.startLife(m, pool, "127.0.0.1:0")
	return m
}

// crash ends a machine's minion, and begins another one after a while.
func (w *world) crash(m *machine, silent bool, after time.Duration) {
	m.mu.Lock()
	life := m.life
	m.state = "down"
	m.mu.Unlock()
	w.logf("machine %s: minion %s crashes, silent %v", m.name, life.id, silent)
	life.kill(silent)
	time.AfterFunc(after, func() {
		addr := life.addr
		if silent {
			// What was silent is gone; connections to it end.
			_ = life.server.Close()
		}
		w.startLife(m, m.pool, addr)
	})
}

// adviceHandler serves the advice on steps.
func (w *world) adviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /auburnglade/advise", func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
			reply(rw, 400, struct{}{})
			return
		}
		time.Sleep(decision + time.Duration(len(in.Workers))*perItem)
		approved := [][]string{}
		for _, m := range w.machines {
			m.mu.Lock()
			life := m.life
			m.mu.Unlock()
			if slices.Contains(in.Workers, life.id) && w.approved(in.Step, life) {
				approved = append(approved, []string{life.id, "c81e-" + life.id + in.Step})
			}
		}
		w.logf("advice: step %s workers %v: %v", in.Step, in.Workers, approved)
		reply(rw, 200, map[string]any{"approved": approved, "validityMs": validity.Milliseconds()})
	})
	return mux
}

// What advice takes, and how long a ticket is valid.
const (
	decision = 20 * time.Millisecond
	perItem  = 2 * time.Millisecond
	validity = 3 * time.Second
)

type policy struct {
	DecisionMs float64 `json:"decisionMs"`
	PerItemMs  float64 `json:"perItemMs"`
	ValidityMs float64 `json:"validityMs"`
}

// cloudHandler serves the platform's machines.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /auburnglade/machines", func(rw http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		w.mu.Lock()
		machines := slices.Clone(w.machines)
		w.mu.Unlock()
		for _, m := range machines {
			m.mu.Lock()
			list = append(list, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": machineCPU, "memMb": machineMB, "gpu": 0}, "id": m.life.id,
			})
			m.mu.Unlock()
		}
		reply(rw, 200, map[string]any{"machines": list, "nextToken": nil})
	})
	act := func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
			Wave    int64  `json:"wave"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(rw, 400, struct{}{})
			return
		}
		status, reason := w.act(in.Machine, in.Pool, in.Wave, r.Header.Get("Auburnglade-Holder"), r.Header.Get("Auburnglade-Fence-Token"))
		w.logf("cloud: %s machine %s pool %q wave %d holder %s fence %s: %d %s", r.URL.Path, in.Machine, in.Pool, in.Wave,
			r.Header.Get("Auburnglade-Holder"), r.Header.Get("Auburnglade-Fence-Token"), status, reason)
		if status == 200 {
			reply(rw, 200, struct{}{})
			return
		}
		reply(rw, status, map[string]string{"reason": reason})
	}
	mux.HandleFunc("POST /auburnglade/machine-move", act)
	mux.HandleFunc("POST /auburnglade/machine-upkeep", act)
	return mux
}

func (w *world) act(name, pool string, wave int64, holder, token string) (status int, reason string) {
	var fence int64
	if _, err := fmt.Sscan(token, &fence); err != nil {
		return 400, "fence"
	}
	w.mu.Lock()
	at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	var m *machine
	if at >= 0 {
		m = w.machines[at]
	}
	upkept := w.wave[wave]
	w.mu.Unlock()
	if m == nil {
		return 400, "machine"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence < m.fence {
		return 409, "fence"
	}
	m.fence = fence
	takes, state := 1500*time.Millisecond, "moving"
	if wave != 0 {
		if upkept == nil {
			return 409, "wave"
		}
		w.mu.Lock()
		done := upkept[name]
		w.mu.Unlock()
		if done {
			return 200, ""
		}
		takes, state, pool = 2*time.Second, "upkeep", m.pool
	} else if m.pool == pool {
		return 200, ""
	}
	if m.state != "up" {
		return 409, "busy"
	}
	if wave != 0 {
		w.mu.Lock()
		upkept[name] = true
		if w.down[wave]++; w.down[wave] > w.maxDown {
			w.over++
			w.logf("BROKEN: an upkeep of wave %d begins by an order of %s with fence %d while %d machines are down for theirs, at most %d may be", wave, holder, fence, w.down[wave]-1, w.maxDown)
		}
		w.mu.Unlock()
	}
	life := m.life
	m.state, m.pool = state, pool
	life.kill(false)
	w.store.remove("servers/" + life.id)
	time.AfterFunc(takes, func() {
		if wave != 0 {
			w.mu.Lock()
			w.down[wave]--
			w.mu.Unlock()
		}
		w.startLife(m, pool, "127.0.0.1:0")
	})
	return 200, ""
}

func serve(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// given holds the ports that freePort has returned.
var given = map[int]bool{}

// freePort returns a port that is free now, with the one after it. It lies below those that
// are given to outgoing connections.
func freePort() int {
	for {
		port := 12000 + 2*rand.IntN(9000)
		if given[port] {
			continue
		}
		a, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = a.Close()
		if err == nil {
			_ = b.Close()
			given[port] = true
			return port
		}
	}
}

// startProcesses writes the settings files and starts the system's processes.
func (w *world) startProcesses(count int) error {
	storeAddr, err := serve(w.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := serve(w.cloudHandler())
	if err != nil {
		return err
	}
	adviceAddr, err := serve(w.adviceHandler())
	if err != nil {
		return err
	}
	for i := range count {
		ports := freePort()
		p := &process{
			name: fmt.Sprintf("edge-z1-%d", i+1), front: fmt.Sprintf("127.0.0.1:%d", freePort()), ready: fmt.Sprintf("127.0.0.1:%d", freePort()),
			file: filepath.Join(w.dir, fmt.Sprintf("local-%d.yaml", i+1)), logFile: filepath.Join(w.dir, fmt.Sprintf("edge-%d.log", i+1)),
		}
		settings := fmt.Sprintf(settingsText, p.name, p.front, p.ready, ports, ports+15, adviceAddr, storeAddr, cloudAddr)
		if err := os.WriteFile(p.file, []byte(settings), 0o644); err != nil {
			return err
		}
		w.procs = append(w.procs, p)
		if err := w.start(p); err != nil {
			return err
		}
	}
	return nil
}

const settingsText = `node: "%s"
role: "entry"
class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen: {front: "%s", ready: "%s"}
portRange: [%d, %d]
seeds: []
bootstrap: true
countsAsLoss: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
tolerate: {machines: 1, zones: 0, regions: 0}
bounds: {contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000, maxHoldMs: 10000, stopGraceMs: 400, gangTimeoutMs: 3000,
  cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, farX: 3, checkpointS: 1, restoreMs: 100, noticeMs: 4500,
  migrateS: 1.5, maintenanceS: 2, requireFence: true, leaseMs: 3000, thawMs: 300, pacingMs: 100, impactMs: 4000}
orders: "rpc"
advice: "%s"
platform: {addr: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, retentionS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
cloud: {addr: "%s", ratePerS: 64.0, duties: [], dutyPerS: 64.0}
`

func (w *world) start(p *process) error {
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command("target/glade-entry")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C.UTF-8", "AUBURNGLADE_BOOT=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	w.logf("process %s begins, front %s", p.name, p.front)
	return nil
}

// signal sends a signal to a process.
func (w *world) signal(p *process, s os.Signal) {
	w.logf("process %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// end ends all processes.
func (w *world) end() {
	for _, p := range w.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady() bool {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range w.procs {
			if status, _ := w.call(p.ready, http.MethodGet, "/auburnglade/readyz", "", nil); status == 200 {
				ready++
			}
		}
		if ready == len(w.procs) {
			return true
		}
	}
	for _, p := range w.procs {
		log, err := os.ReadFile(p.logFile)
		w.logf("%s is not ready, its log ends with: %s (%v)", p.name, log[max(0, len(log)-600):], err)
	}
	return false
}

// call sends a request to a process; the status is zero without an answer.
func (w *world) call(addr, method, path, host string, body any) (status int, answer []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		panic(err)
	}
	r.Host = host
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Auburnglade-Timeout-Ms", "3000")
	}
	response, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// clientCall is a client's request on a route, written to the record.
func (w *world) clientCall(p *process, method, path string, body any) (int, string) {
	sent := time.Now()
	status, answer := w.call(p.front, method, path, hostName, body)
	w.logf("client: %s %s to %s: %d %s after %d ms", method, path, p.name, status, bytes.TrimSpace(answer), time.Since(sent).Milliseconds())
	return status, string(bytes.TrimSpace(answer))
}

// submit hands a job in until it is accepted, at one process after the other.
func (w *world) submit(id, prefix string, j *job) bool {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for attempt := range 8 {
		p := w.procs[(attempt+int(id[15]))%len(w.procs)]
		if status, _ := w.clientCall(p, http.MethodPost, prefix+id, j); status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

const hostName = "pule25.example"

type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Kind      string  `json:"kind"`
	TimeoutMs int     `json:"timeoutMs"`
	SloMs     int     `json:"sloMs"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"attempts"`
	Stretch   float64 `json:"stretch"`
	Advice    *policy `json:"advice,omitempty"`
}

func newRoute(name, prefix, service string, attempts int) route {
	return route{name, hostName, prefix, "unsafe", 3000, 2500, 0, service, attempts, 1.6, nil}
}

type service struct {
	Name           string `json:"name"`
	AdmissionCheck bool   `json:"admissionCheck"`
	Headroom       bool   `json:"headroom"`
}

// configure writes the operator's configuration.
func (w *world) configure(version int, routes []route, services []service) {
	w.logf("operator: configuration %d", version)
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}
