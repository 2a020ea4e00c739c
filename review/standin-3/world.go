package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service   = "works"
	hostName  = "jobs.example"
	prefix    = "/lasting/"
	queueName = "r-lasting"
)

// world is a small deployment: entry hosts as processes, and stand-ins for the platform's
// store, the cloud and the minions in this process.
type world struct {
	began   time.Time
	watch   *watch
	store   *kv
	mu      sync.Mutex
	minions []*minion
	// holdUpFor, if above zero, is how long the next order to start a run is held up, and
	// heldUp the minion that it was for.
	holdUpFor time.Duration
	heldUp    int
	// missed are the runs that minions were told to stop and never got.
	missed  []missedRun
	entries []*entry
	dir     string
	program string
	options options
	ports   struct{ front, ready, control, first int }
	storeAt string
	cloudAt string
	client  *http.Client
}

// entry is an entry host.
type entry struct {
	name, ip, settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// anyPort is an address with a free port.
const anyPort = "127.0.0.1:0"

// freePorts returns a port from which on count ports are free on all addresses.
func freePorts(addresses []string, count int) (int, error) {
	for try := 0; try < 200; try++ {
		first := 21000 + (os.Getpid()*37+try*101)%20000
		free := true
		for _, address := range addresses {
			for port := first; port < first+count && free; port++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (w *world) serve(handler http.Handler, at string) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// minionCount is the usual number of minions of each service.
const minionCount = 9

func newWorld(program, record string, options options) (*world, error) {
	watch, err := newWatch(record)
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), watch: watch, store: newKV(), program: program, options: options}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	go w.store.expire()
	if w.storeAt, _, err = w.serve(w.store.handler(), anyPort); err != nil {
		return nil, err
	}
	if w.cloudAt, _, err = w.serve(http.HandlerFunc(w.serveCloud), anyPort); err != nil {
		return nil, err
	}
	services := []string{service}
	if options.tenants {
		services = append(services, second)
	}
	each := cmp.Or(options.minions, minionCount)
	for i := range each * len(services) {
		m := &minion{
			w: w, id: fmt.Sprintf("i-%d", i+1), service: services[i/each], rack: fmt.Sprintf("r1-%d", 1+i/4), capacity: 64000, kind: "a",
			began: time.Now(), over: make(map[string]int), wakeUp: make(chan struct{}),
		}
		if options.keepID {
			m.born = time.Now().UnixMilli()
		}
		if i == 0 && options.special != "" {
			m.kind = options.special
		}
		if m.addr, m.server, err = w.serve(m.handler(), anyPort); err != nil {
			return nil, err
		}
		w.minions = append(w.minions, m)
		go m.beat()
		go m.tick()
	}
	return w, w.addEntries(options.entries)
}

func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		reply(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	machines := []map[string]any{}
	for _, m := range w.allMinions() {
		if m.isGone() {
			continue
		}
		machines = append(machines, map[string]any{
			"machine": m.name(), "pool": m.service, "state": "up", "zone": "hall-a", "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": m.capacity, "memMb": 262144, "gpu": 0}, "id": m.id,
		})
	}
	reply(rw, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

// revive starts a minion again that has crashed: another life of its machine, at the same
// address.
func (w *world) revive(i, life int) error {
	old := w.allMinions()[i]
	m := &minion{
		w: w, id: fmt.Sprintf("i-%d-%d", i+1, life), service: old.service, rack: old.rack, capacity: old.capacity, kind: old.kind,
		began: time.Now(), over: make(map[string]int), wakeUp: make(chan struct{}),
	}
	if w.options.keepID {
		m.id, m.born = old.id, time.Now().UnixMilli()
	}
	var err error
	if m.addr, m.server, err = w.serve(m.handler(), old.addr); err != nil {
		return err
	}
	w.mu.Lock()
	w.minions[i] = m
	w.mu.Unlock()
	go m.beat()
	go m.tick()
	return nil
}

// forget removes the entry of a minion that is gone, unless a later life has taken its id.
func (w *world) forget(m *minion) {
	for _, other := range w.allMinions() {
		if other != m && other.id == m.id {
			return
		}
	}
	w.store.remove("servers/" + m.id)
}

// noteMissed records that a minion is told to stop a run which it never got.
func (w *world) noteMissed(m *minion, o *order) {
	w.watch.note("minion %s: run %d of task %s is to be stopped, and isn't there", m.id, o.Run, o.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.minions {
		if other == m {
			w.missed = append(w.missed, missedRun{i, o.Task})
		}
	}
}

// missedRun is a run of a task that the minion at an index never got.
type missedRun struct {
	at   int
	task string
}

// missedElsewhere returns the index of a minion that never got a run of a task which now runs on
// another one.
func (w *world) missedElsewhere() (at int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, missed := range w.missed {
		if minion, runs := w.watch.runsOn(missed.task); runs && minion != w.minions[missed.at].id {
			return missed.at, true
		}
	}
	return 0, false
}

// holdUp holds up one order to start a run if that is due, and reports whether it does. It
// reaches whatever life of the minion's machine is up then under the same id.
func (w *world) holdUp(m *minion, o *order) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	length := w.holdUpFor
	if length == 0 {
		return false
	}
	w.holdUpFor = 0
	for i, other := range w.minions {
		if other == m {
			w.heldUp = i
		}
	}
	at := w.heldUp
	held := *o
	w.watch.disturb("the order of run %d of task %s to minion %s gets no answer and is carried out %v later", o.Run, o.Task, m.id, length)
	time.AfterFunc(length, func() {
		if now := w.allMinions()[at]; now.id == m.id && !now.isGone() {
			now.carryOut(&held)
		}
	})
	return true
}

func (w *world) allMinions() []*minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*minion(nil), w.minions...)
}

func (w *world) addEntries(count int) error {
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("127.0.7.%d", 11+i))
	}
	first, err := freePorts(addresses, 20)
	if err != nil {
		return err
	}
	w.ports.first, w.ports.front, w.ports.ready, w.ports.control = first, first+17, first+18, first+19
	w.store.put("op/config", w.config(7))
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i, ip := range addresses {
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), ip: ip}
		e.settings = filepath.Join(w.dir, e.name+".yaml")
		text := w.settings(e, zones[i%len(zones)])
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.start(e); err != nil {
			return err
		}
	}
	return nil
}

// second is the other service of a case with two, secondPrefix that of its queue.
const (
	second       = "desk"
	secondPrefix = "/desk/"
	// tenant and key are the tenant of a case with one, and its key.
	tenant, key = "tenant-1", "k-4f1c2a"
)

// options are what a case changes in the deployment.
type options struct {
	entries int
	// special is the kind of the first minion, empty for that of the others.
	special string
	// tenants is set for a deployment with tenants and two services. The tenant may have
	// limitCPU thousandths of a core running, zero for any number.
	tenants  bool
	limitCPU int
	// minions is the number of minions of each service, zero for the usual one, and cpuShare
	// the part of a core that an entry host has, empty for the usual one.
	minions  int
	cpuShare string
	// keepID is set if a minion keeps its id when it starts again.
	keepID bool
}

// config returns a version of the configuration.
func (w *world) config(version int) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 2500,
			"priority": 0, "service": service, "attempts": 3, "stretch": 2.2, "public": false,
		}
	}
	offer := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "headroom": false}
	}
	config := map[string]any{
		"version":  version,
		"routes":   []map[string]any{route(queueName, prefix, service)},
		"services": []map[string]any{offer(service)},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if w.options.tenants {
		config["routes"] = []map[string]any{route(queueName, prefix, service), route("r-desk", secondPrefix, second)}
		config["services"] = []map[string]any{offer(service), offer(second)}
		config["tenants"] = []map[string]any{{
			"name": tenant, "apiKeys": []string{key}, "weight": 10, "maxCount": map[string]int{"cpu": w.options.limitCPU, "memMb": 0, "gpu": 0},
		}}
	}
	return config
}

// settings returns a settings file with the figures of the Klarlund deployment, those of its
// later sheet where it has tenants.
func (w *world) settings(e *entry, zone string) string {
	contracts, applyMs := `"base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"`, 2000
	if w.options.tenants {
		contracts, applyMs = contracts+`, "tenants", "quota"`, 3000
	}
	return fmt.Sprintf(`node: "%s"
role: "entry"
class: "edge"
serves: ["edge"]
ip: "%s"
zone: "%s"
region: "uppsala"
zones: {hall-a: "uppsala", hall-b: "uppsala", hall-c: "uppsala"}
listen: {front: "%s:%d", ready: "%s:%d", control: "%s:%d"}
portRange: [%d, %d]
seeds: []
bootstrap: true
countsAsLoss: false
limits: {cpuShare: %s, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: [%s]
tolerate: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200,
  configApplyMs: %d, revokeStrict: false, revokeMs: 5000, quotaWindowS: 5, quotaOverage: 0.1, quotaSlack: 20, rollbackSlackMs: 250, maxSkewMs: 5000, recoverS: 12, maxHoldMs: 10000, stopGraceMs: 400, gangTimeoutMs: 3000,
  cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, farX: 3, checkpointS: 1, restoreMs: 100, noticeMs: 4500,
  migrateS: 1.5, maintenanceS: 2, requireFence: true, leaseMs: 3000, thawMs: 300, pacingMs: 100, impactMs: 4000}
orders: "rpc"
platform: {addr: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, retentionS: 20, maxValueBytes: 1048576, minTtlMs: 1000}
cloud: {addr: "%s", ratePerS: 64.0, duties: [], dutyPerS: 64.0}
`, e.name, e.ip, zone, e.ip, w.ports.front, e.ip, w.ports.ready, e.ip, w.ports.control, w.ports.first, w.ports.first+15, cmp.Or(w.options.cpuShare, "0.4"), contracts, applyMs, w.storeAt, w.cloudAt)
}

func (w *world) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(w.program)
	command.Env = []string{"AUBURNGLADE_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	e.mu.Lock()
	e.command, e.exited = command, exited
	e.mu.Unlock()
	w.watch.note("starts the process of %s", e.name)
	return nil
}

// kill kills an entry host's process. With after above zero it is started again then.
func (w *world) kill(e *entry, after time.Duration) {
	e.mu.Lock()
	command, exited := e.command, e.exited
	e.mu.Unlock()
	_ = command.Process.Kill()
	<-exited
	w.watch.disturb("kill of the process of %s", e.name)
	if after > 0 {
		time.AfterFunc(after, func() {
			w.watch.disturb("%s starts again", e.name)
			if err := w.start(e); err != nil {
				w.watch.note("start of %s: %v", e.name, err)
			}
		})
	}
}

// freeze makes an entry host's process stand still for a while.
func (w *world) freeze(e *entry, length time.Duration) error {
	e.mu.Lock()
	process := e.command.Process
	e.mu.Unlock()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	w.watch.disturb("the process of %s stands still for %v", e.name, length)
	time.AfterFunc(length, func() {
		_ = process.Signal(syscall.SIGCONT)
		w.watch.disturb("the process of %s goes on", e.name)
	})
	return nil
}

func (w *world) close(keepLogs bool) {
	for _, e := range w.entries {
		e.mu.Lock()
		command, exited := e.command, e.exited
		e.mu.Unlock()
		_ = command.Process.Kill()
		<-exited
	}
	if keepLogs {
		w.watch.note("logs are kept")
		fmt.Println("logs:", w.dir)
	} else {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.watch.file.Close()
}

// holder returns the entry host that holds the pool, as the claim in the store says, or nil.
func (w *world) holder() *entry {
	it, ok := w.store.get("glade/live/claim/" + service)
	if !ok {
		return nil
	}
	var claim struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(it.Value, &claim) != nil {
		return nil
	}
	for _, e := range w.entries {
		if e.name == claim.Node {
			return e
		}
	}
	return nil
}

// awaitReady waits until all entry hosts are ready and the pool has a holder.
func (w *world) awaitReady() bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := w.holder() != nil
		for _, e := range w.entries {
			response, err := w.client.Get(fmt.Sprintf("http://%s:%d/auburnglade/readyz", e.ip, w.ports.ready))
			if err != nil {
				ready = false
				continue
			}
			response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		if ready {
			time.Sleep(3 * time.Second)
			return true
		}
	}
	return false
}

// call makes a client's call to an entry host. The status is zero without an answer.
func (w *world) call(e *entry, method, id, body string) (status int, text string) {
	return w.callQueue(e, method, prefix, id, body)
}

// callQueue is call for any queue.
func (w *world) callQueue(e *entry, method, prefix, id, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, w.ports.front, prefix, id), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Auburnglade-Timeout-Ms", "3000")
	if w.options.tenants {
		request.Header.Set("Authorization", "Token "+key)
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
