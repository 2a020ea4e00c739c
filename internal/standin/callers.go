package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/pause"
)

// Target holds the addresses of one gateway.
type Target struct {
	CallerAddress string
	AdminAddress  string
}

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer is a fake of the platform's load balancer: it directs callers to
// gateways whose readiness probe succeeds.
type Balancer struct {
	targets []Target
	http    *http.Client
	scheme  string
	tls     *tls.Config

	mu    sync.Mutex
	ready []Target
}

// NewBalancer returns a balancer for the targets.
func NewBalancer(targets []Target) *Balancer {
	return &Balancer{targets: targets, scheme: "http://", http: &http.Client{Timeout: probeTimeout}}
}

// SpeakTLS makes the balancer and its callers use TLS. With nil they use plain
// HTTP.
func (b *Balancer) SpeakTLS(config *tls.Config) {
	if config != nil {
		b.scheme, b.tls = "https://", config
		b.http.Transport = &http.Transport{TLSClientConfig: config}
	}
}

// Serve probes the targets until ctx is done.
func (b *Balancer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		b.probe(ctx)
		pause.For(ctx, probeInterval)
	}
	return ctx.Err()
}

func (b *Balancer) probe(ctx context.Context) {
	var ready []Target
	for _, target := range b.targets {
		if b.isReady(ctx, target) {
			ready = append(ready, target)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(ctx context.Context, target Target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.scheme+target.AdminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ReadyCount returns the number of ready gateways.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns a random ready gateway, and false if there is none.
func (b *Balancer) Pick() (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Target{}, false
	}
	return b.ready[rand.IntN(len(b.ready))], true
}

// CallerCounts counts the outcomes that callers observed.
type CallerCounts struct {
	Sent              int64 `json:"sent"`
	Answered          int64 `json:"answered"`
	RefusedNotRun     int64 `json:"refused_not_run"`
	Unknown           int64 `json:"unknown"`
	Mismatched        int64 `json:"mismatched"`
	NonidempotentSent int64 `json:"-"`
	// FalseNotRun counts requests reported as not run that an endpoint did run.
	FalseNotRun int64        `json:"false_not_run"`
	Repeats     RepeatCounts `json:"-"`
}

// Callers sends requests through a balancer and checks every response.
type Callers struct {
	Balancer *Balancer
	// Idempotent and NonIdempotent are the paths to request.
	Idempotent    []string
	NonIdempotent []string
	// ThinkTime is the mean pause between two requests of one caller.
	ThinkTime time.Duration
	// Runs returns how often the endpoints have run the request with a token so
	// far.
	Runs func(token string) int

	counts    CallerCounts
	lastToken atomic.Int64
	mu        sync.Mutex
	// notRun and nonIdempotent hold the tokens that Counts checks.
	notRun        []string
	nonIdempotent map[string]bool
}

const callerTimeout = 15 * time.Second

// Run sends requests from n concurrent callers until ctx is done; each caller
// completes its last request.
func (c *Callers) Run(ctx context.Context, n int) {
	c.nonIdempotent = make(map[string]bool)
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() { c.runCaller(ctx) })
	}
	wait.Wait()
}

func (c *Callers) runCaller(ctx context.Context) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, TLSClientConfig: c.Balancer.tls}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendRequest(client)
		pause.For(ctx, c.ThinkTime/2+rand.N(c.ThinkTime+1))
	}
}

// nonIdempotentOneIn makes one in this many requests non-idempotent.
const nonIdempotentOneIn = 4

func (c *Callers) sendRequest(client *http.Client) {
	target, ok := c.Balancer.Pick()
	if !ok {
		return
	}
	token := fmt.Sprintf("t%d", c.lastToken.Add(1))
	method, path := http.MethodGet, c.Idempotent[rand.IntN(len(c.Idempotent))]
	if rand.IntN(nonIdempotentOneIn) == 0 && len(c.NonIdempotent) > 0 {
		method, path = http.MethodPost, c.NonIdempotent[rand.IntN(len(c.NonIdempotent))]
		c.recordNonIdempotent(token)
	}
	c.increment(&c.counts.Sent)
	first := c.send(client, target, method, path, token)
	c.classify(token, first)
	if method == http.MethodPost {
		c.maybeRepeat(client, target, path, token, first)
	}
}

// reply is the response to one request; its outcome is empty if no complete
// response was received.
type reply struct {
	outcome outcome.Outcome
	body    []byte
}

func (c *Callers) send(client *http.Client, target Target, method, path, token string) reply {
	request, err := http.NewRequest(method, c.Balancer.scheme+target.CallerAddress+path+"?"+TokenParam+"="+token, nil)
	if err != nil {
		return reply{}
	}
	request.Header.Set(outcome.RequestIDHeader, token)
	if method == http.MethodPost {
		// The client's own transport must not send the request twice either.
		request.Header["idempotency-key"] = []string{token}
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{outcome: outcome.Outcome(response.Header.Get(outcome.Header)), body: body}
}

func (c *Callers) classify(token string, received reply) {
	switch received.outcome {
	case outcome.NotRun:
		c.increment(&c.counts.RefusedNotRun)
		c.mu.Lock()
		c.notRun = append(c.notRun, token)
		c.mu.Unlock()
	case outcome.Answered:
		c.increment(&c.counts.Answered)
		var answer Reply
		if json.Unmarshal(received.body, &answer) != nil || answer.Token != token {
			c.increment(&c.counts.Mismatched)
		}
	default:
		c.increment(&c.counts.Unknown)
	}
}

func (c *Callers) recordNonIdempotent(token string) {
	c.increment(&c.counts.NonidempotentSent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonIdempotent[token] = true
}

func (c *Callers) increment(counter *int64) { atomic.AddInt64(counter, 1) }

// Counts checks the run against the endpoints' counts of runs by token; it must be
// called after Run has returned. maxRuns is the maximum number of times that a
// non-idempotent request was run.
func (c *Callers) Counts(runs map[string]int) (counts CallerCounts, maxRuns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts = c.counts
	for _, token := range c.notRun {
		if runs[token] > 0 {
			counts.FalseNotRun++
		}
	}
	for token := range c.nonIdempotent {
		maxRuns = max(maxRuns, runs[token])
	}
	return counts, maxRuns
}
