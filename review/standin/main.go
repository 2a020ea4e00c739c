// Command standin plays one case of the review against the project's own processes: it is
// the platform's store, the service for machines, the minions, the operator and the
// clients. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(w *world, dir string, trouble bool) error{
	"reborn": reborn, "moved-queue": movedQueue, "lost-members": lostMembers,
	// Shown, but not among the three cases.
	"crashes": crashes, "dropped-queue": droppedQueue,
}

var runLengths = map[string]time.Duration{"reborn": time.Second, "moved-queue": 25 * time.Second, "lost-members": 100 * time.Millisecond,
	"crashes": 45 * time.Second, "dropped-queue": time.Second}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "where what was sent, answered and run is written")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *trouble))
}

// timeLimit bounds a case.
const timeLimit = 115 * time.Second

func play(name, recordPath string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	w, err := newWorld(recordPath, runLengths[name])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.flush()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer w.stopEntries()
	go w.endEarly(dir)
	done := make(chan struct{})
	defer close(done)
	go w.store.expire(done)
	if err := run(w, dir, trouble); err != nil {
		w.record("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unfair {
		fmt.Println("the disruption was beyond its limits")
		return 2
	}
	if len(w.verdicts) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(w.verdicts), w.verdicts[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// endEarly ends the project's processes with this one, when it is told to end or takes too
// long.
func (w *world) endEarly(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	w.stopEntries()
	w.flush()
	_ = os.RemoveAll(dir)
	os.Exit(2)
}

// serve starts the store and the service for machines and returns their addresses.
func (w *world) serve() (storeAddr, cloudAddr string, err error) {
	var addresses []string
	for _, handler := range []http.Handler{w.store.handler(), (&cloud{w}).handler()} {
		listener, err := listenOn(w.ip)
		if err != nil {
			return "", "", err
		}
		go func() { _ = http.Serve(listener, handler) }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses[0], addresses[1], nil
}

type route struct{ prefix, service string }

// configure is the operator: it writes a version of the configuration.
func (w *world) configure(version int, services []string, routes ...route) {
	type object = map[string]any
	listed := make([]object, 0)
	for _, r := range routes {
		listed = append(listed, object{
			"name": "r" + r.prefix[1:len(r.prefix)-1], "host": hostName, "prefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
			"priority": 0, "service": r.service, "attempts": 3, "stretch": 1.6,
		})
	}
	named := make([]object, 0)
	for _, name := range services {
		named = append(named, object{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "headroom": false})
	}
	w.store.put("op/config", object{
		"version": version, "routes": listed, "services": named,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.record("the operator writes version %d of the configuration: %v", version, routes)
}

func job(spec string, tasks, cpu, estMs int) map[string]any {
	return map[string]any{"spec": spec, "steps": []map[string]any{{"count": tasks, "cpu": cpu, "memMb": 256, "estMs": estMs}}}
}

// deploy starts minions, platform and entry hosts and waits until they are ready.
func (w *world) deploy(dir string, minions int, services []string, routes ...route) error {
	storeAddr, cloudAddr, err := w.serve()
	if err != nil {
		return err
	}
	w.configure(1, services, routes...)
	for _, service := range services {
		if err := w.addMinions(service, minions, 4000); err != nil {
			return err
		}
	}
	if err := w.addEntries(dir, 3, storeAddr, cloudAddr); err != nil {
		return err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
