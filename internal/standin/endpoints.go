// Package standin is a small stand-in for what auburnglade serves: the
// platform, endpoints on pooled hosts, and callers behind a balancer. It counts
// on its own side, so that a run is judged by what the endpoints did.
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

// Reply is what an endpoint answers: enough for the caller to see that the
// answer is whole and its own.
type Reply struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	Token   string `json:"token"`
	// Run is unique per run: a repeat that ran again can't pass for the first.
	Run int64 `json:"run"`
}

// TokenParam is the query parameter whose value an endpoint echoes.
const TokenParam = "token"

// DrainGrace is how long after a drain an endpoint may still get new work
// without it counting as late.
const DrainGrace = 3 * time.Second

// Endpoints runs one HTTP server per host and service.
type Endpoints struct {
	// WorkTime is the mean time one request takes.
	WorkTime time.Duration

	mu       sync.Mutex
	hosts    map[string]*endpointHost
	runs     map[string]int
	lateWork int
	peak     int
	lastRun  int64
}

type endpointHost struct {
	host     fleet.Host
	services map[string]int
	servers  []*http.Server
	inFlight int
	drained  time.Time
}

// NewEndpoints returns endpoints for the hosts; each host serves every
// service, by name and port, since hosts move between pools.
func NewEndpoints(hosts []fleet.Host, services map[string]int, workTime time.Duration) *Endpoints {
	e := &Endpoints{WorkTime: workTime, hosts: make(map[string]*endpointHost), runs: make(map[string]int)}
	for _, host := range hosts {
		e.hosts[host.Name] = &endpointHost{host: host, services: services}
	}
	return e
}

// Start opens every host's listeners.
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
	host.drained = time.Time{}
	for service, port := range host.services {
		listener, err := net.Listen("tcp", net.JoinHostPort(host.host.Address, strconv.Itoa(port)))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: e.handler(name, service), ReadHeaderTimeout: time.Second}
		host.servers = append(host.servers, server)
		go func() {
			// Ends with the server's Close.
			_ = server.Serve(listener)
		}()
	}
	return nil
}

// Down cuts a host off at once, with everything in flight on it.
func (e *Endpoints) Down(name string) {
	e.mu.Lock()
	servers := e.hosts[name].servers
	e.hosts[name].servers = nil
	e.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// Up opens a host's listeners again.
func (e *Endpoints) Up(name string) {
	for range 50 {
		if e.open(name) == nil {
			return
		}
		e.Down(name)
		time.Sleep(20 * time.Millisecond)
	}
}

// Drained notes when a host began to leave.
func (e *Endpoints) Drained(name string, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[name].drained = time.Time{}
	if leaving {
		e.hosts[name].drained = time.Now()
	}
}

// InFlight counts the requests that run on a host.
func (e *Endpoints) InFlight(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hosts[name].inFlight
}

// Stop closes everything.
func (e *Endpoints) Stop() {
	for name := range e.hosts {
		e.Down(name)
	}
}

// EndpointCounts is what the endpoints saw.
type EndpointCounts struct {
	// MaxRuns is the most times any one request was run.
	MaxRuns int
	// Runs is how often requests were run, by token.
	Runs map[string]int
	// RequestsAfterDrain is how many requests began on a host LeavingGrace or more after
	// it began to leave.
	RequestsAfterDrain int
	// PeakInFlight is the most requests one host ran at once.
	PeakInFlight int
}

// Counts returns what the endpoints saw so far.
func (e *Endpoints) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := EndpointCounts{Runs: make(map[string]int, len(e.runs)), RequestsAfterDrain: e.lateWork, PeakInFlight: e.peak}
	for token, runs := range e.runs {
		counts.Runs[token] = runs
		counts.MaxRuns = max(counts.MaxRuns, runs)
	}
	return counts
}

func (e *Endpoints) handler(host, service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.URL.Query().Get(TokenParam)
		run, leaving := e.begin(host, token)
		defer e.end(host)
		work(r.Context(), e.WorkTime)
		if leaving {
			w.Header().Set(outcome.DrainingHeader, "1")
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the gateway has gone.
		_ = json.NewEncoder(w).Encode(Reply{Service: service, Host: host, Token: token, Run: run})
	})
}

func (e *Endpoints) begin(host, token string) (run int64, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.hosts[host]
	state.inFlight++
	e.peak = max(e.peak, state.inFlight)
	e.runs[token]++
	e.lastRun++
	leaving = !state.drained.IsZero()
	if leaving && time.Since(state.drained) > DrainGrace {
		e.lateWork++
	}
	return e.lastRun, leaving
}

// Runs returns how often a token was run so far.
func (e *Endpoints) Runs(token string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[token]
}

func (e *Endpoints) end(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[host].inFlight--
}

func work(ctx context.Context, mean time.Duration) {
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
