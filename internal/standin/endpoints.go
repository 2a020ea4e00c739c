// Package standin simulates the environment of auburnglade: the platform, the
// endpoints on pooled hosts, and callers behind a load balancer. It keeps its own
// counts, so that a run is checked against what the endpoints actually did.
package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/outcome"
)

// Reply is the response body of an endpoint. It lets the caller verify that the
// response is complete and belongs to its request.
type Reply struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	Token   string `json:"token"`
	// Run is unique per run, so that a repeat that was run again is distinguished
	// from the replayed first response.
	Run int64 `json:"run"`
}

// TokenParam is the query parameter whose value an endpoint echoes.
const TokenParam = "token"

// DrainGrace is how long after its drain began a host may still receive requests
// without their being counted as requests after the drain.
const DrainGrace = 3 * time.Second

// Endpoints runs one HTTP server per host and service.
type Endpoints struct {
	// WorkTime is the mean duration of a request.
	WorkTime time.Duration

	mu                 sync.Mutex
	hosts              map[string]*endpointHost
	runs               map[string]int
	requestsAfterDrain int
	peakInFlight       int
	lastRun            int64
}

type endpointHost struct {
	info      fleet.Host
	services  map[string]int
	servers   []*http.Server
	inFlight  int
	drainedAt time.Time
}

// NewEndpoints returns endpoints for the hosts. Each host serves all services,
// given as ports by name, since hosts move between pools.
func NewEndpoints(hosts []fleet.Host, services map[string]int, workTime time.Duration) *Endpoints {
	e := &Endpoints{WorkTime: workTime, hosts: make(map[string]*endpointHost), runs: make(map[string]int)}
	for _, host := range hosts {
		e.hosts[host.Name] = &endpointHost{info: host, services: services}
	}
	return e
}

// Start opens the listeners of all hosts.
func (e *Endpoints) Start() error {
	for name := range e.hosts {
		if err := e.open(name); err != nil {
			return err
		}
	}
	return nil
}

func (e *Endpoints) open(name string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	host := e.hosts[name]
	host.drainedAt = time.Time{}
	for service, port := range host.services {
		listener, err := net.Listen("tcp", net.JoinHostPort(host.info.Address, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: e.handler(name, service), ReadHeaderTimeout: time.Second}
		host.servers = append(host.servers, server)
		go func() {
			// Returns when the server is closed.
			_ = server.Serve(listener)
		}()
	}
	return nil
}

// Down closes a host's listeners and connections at once, including requests in
// flight.
func (e *Endpoints) Down(name string) {
	e.mu.Lock()
	servers := e.hosts[name].servers
	e.hosts[name].servers = nil
	e.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// Up opens a host's listeners again. It retries up to 50 times, 20 ms apart, and
// leaves the host down if all tries fail.
func (e *Endpoints) Up(name string) {
	for range 50 {
		if e.open(name) == nil {
			return
		}
		e.Down(name)
		time.Sleep(20 * time.Millisecond)
	}
}

// Drained records that a host started to drain, or that it was undrained.
func (e *Endpoints) Drained(name string, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[name].drainedAt = time.Time{}
	if draining {
		e.hosts[name].drainedAt = time.Now()
	}
}

// InFlight returns the number of requests running on a host.
func (e *Endpoints) InFlight(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hosts[name].inFlight
}

// Stop closes the listeners and connections of all hosts.
func (e *Endpoints) Stop() {
	for name := range e.hosts {
		e.Down(name)
	}
}

// EndpointCounts is what the endpoints have counted.
type EndpointCounts struct {
	// MaxRuns is the maximum number of times that a request was run.
	MaxRuns int
	// Runs is the number of runs by token.
	Runs map[string]int
	// RequestsAfterDrain is the number of requests that started on a host more
	// than DrainGrace after it had started to drain.
	RequestsAfterDrain int
	// PeakInFlight is the maximum number of requests in flight on one host.
	PeakInFlight int
}

// Counts returns the counts so far.
func (e *Endpoints) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := EndpointCounts{Runs: make(map[string]int, len(e.runs)), RequestsAfterDrain: e.requestsAfterDrain, PeakInFlight: e.peakInFlight}
	for token, runs := range e.runs {
		counts.Runs[token] = runs
		counts.MaxRuns = max(counts.MaxRuns, runs)
	}
	return counts
}

func (e *Endpoints) handler(host, service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.URL.Query().Get(TokenParam)
		run, draining := e.startRequest(host, token)
		defer e.endRequest(host)
		simulateWork(r.Context(), e.WorkTime)
		if draining {
			w.Header().Set(outcome.DrainingHeader, "1")
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the gateway has closed the connection.
		_ = json.NewEncoder(w).Encode(Reply{Service: service, Host: host, Token: token, Run: run})
	})
}

func (e *Endpoints) startRequest(host, token string) (run int64, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hosts[host]
	state.inFlight++
	e.peakInFlight = max(e.peakInFlight, state.inFlight)
	e.runs[token]++
	e.lastRun++
	draining = !state.drainedAt.IsZero()
	if draining && time.Since(state.drainedAt) > DrainGrace {
		e.requestsAfterDrain++
	}
	return e.lastRun, draining
}

// Runs returns how often the request with a token has been run so far.
func (e *Endpoints) Runs(token string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[token]
}

func (e *Endpoints) endRequest(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[host].inFlight--
}

func simulateWork(ctx context.Context, mean time.Duration) {
	if mean == 0 {
		return
	}
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
