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

// Target is one gateway as the balancer knows it.
type Target struct {
	Callers string
	Admin   string
}

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer stands in for the platform's balancer: it sends callers to
// gateways whose readiness probe passes.
type Balancer struct {
	targets []Target
	http    *http.Client
	scheme  string
	tls     *tls.Config

	mu    sync.Mutex
	ready []Target
}

// NewBalancer returns a balancer over the targets.
func NewBalancer(targets []Target) *Balancer {
	return &Balancer{targets: targets, scheme: "http://", http: &http.Client{Timeout: probeTimeout}}
}

// SpeakTLS makes the balancer and its callers speak TLS; nil leaves it at plain HTTP.
func (b *Balancer) SpeakTLS(config *tls.Config) {
	if config != nil {
		b.scheme, b.tls = "https://", config
		b.http.Transport = &http.Transport{TLSClientConfig: config}
	}
}

// Serve probes until ctx ends.
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.scheme+target.Admin+"/readyz", nil)
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

// ReadyCount returns how many gateways take callers.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns one ready gateway at random, and false when there is none.
func (b *Balancer) Pick() (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Target{}, false
	}
	return b.ready[rand.IntN(len(b.ready))], true
}

// CallerCounts is what callers saw.
type CallerCounts struct {
	Sent              int64 `json:"sent"`
	Answered          int64 `json:"answered"`
	RefusedNotRun     int64 `json:"refused_not_run"`
	Unknown           int64 `json:"unknown"`
	Mismatched        int64 `json:"mismatched"`
	NonidempotentSent int64 `json:"-"`
	// FalseNotRun counts requests refused as "not run" that an endpoint ran.
	FalseNotRun int64        `json:"false_not_run"`
	Repeats     RepeatCounts `json:"-"`
}

// Callers sends requests through a balancer and judges every answer.
type Callers struct {
	Balancer *Balancer
	// Idempotent and NonIdempotent are paths to call.
	Idempotent    []string
	NonIdempotent []string
	// ThinkTime is the pause between one caller's requests.
	ThinkTime time.Duration
	// Runs returns how often the endpoints have run a token so far.
	Runs func(token string) int

	counts CallerCounts
	next   atomic.Int64
	mu     sync.Mutex
	// notRun and nonIdempotent hold tokens for the final check.
	notRun        []string
	nonIdempotent map[string]bool
}

const callerTimeout = 15 * time.Second

// Run lets n callers call until ctx ends; each finishes its last request.
func (c *Callers) Run(ctx context.Context, n int) {
	c.nonIdempotent = make(map[string]bool)
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() { c.caller(ctx) })
	}
	wait.Wait()
}

func (c *Callers) caller(ctx context.Context) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, TLSClientConfig: c.Balancer.tls}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.one(client)
		pause.For(ctx, c.ThinkTime/2+rand.N(c.ThinkTime+1))
	}
}

// nonIdempotentShare is one in how many requests is non-idempotent.
const nonIdempotentShare = 4

func (c *Callers) one(client *http.Client) {
	target, ok := c.Balancer.Pick()
	if !ok {
		return
	}
	token := fmt.Sprintf("t%d", c.next.Add(1))
	method, path := http.MethodGet, c.Idempotent[rand.IntN(len(c.Idempotent))]
	if rand.IntN(nonIdempotentShare) == 0 && len(c.NonIdempotent) > 0 {
		method, path = http.MethodPost, c.NonIdempotent[rand.IntN(len(c.NonIdempotent))]
		c.noteNonIdempotent(token)
	}
	c.add(&c.counts.Sent)
	first := c.send(client, target, method, path, token)
	c.judge(token, first)
	if method == http.MethodPost {
		c.maybeRepeat(client, target, path, token, first)
	}
}

// reply is what a caller got for one request; its outcome is empty when it got
// no whole answer.
type reply struct {
	outcome outcome.Outcome
	body    []byte
}

func (c *Callers) send(client *http.Client, target Target, method, path, token string) reply {
	request, err := http.NewRequest(method, c.Balancer.scheme+target.Callers+path+"?"+TokenParam+"="+token, nil)
	if err != nil {
		return reply{}
	}
	request.Header.Set(outcome.RequestIDHeader, token)
	if method == http.MethodPost {
		// The client's own transport must not send it twice either.
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

func (c *Callers) judge(token string, got reply) {
	switch got.outcome {
	case outcome.NotRun:
		c.add(&c.counts.RefusedNotRun)
		c.mu.Lock()
		c.notRun = append(c.notRun, token)
		c.mu.Unlock()
	case outcome.Answered:
		c.add(&c.counts.Answered)
		var answer Reply
		if json.Unmarshal(got.body, &answer) != nil || answer.Token != token {
			c.add(&c.counts.Mismatched)
		}
	default:
		c.add(&c.counts.Unknown)
	}
}

func (c *Callers) noteNonIdempotent(token string) {
	c.add(&c.counts.NonidempotentSent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonIdempotent[token] = true
}

func (c *Callers) add(counter *int64) { atomic.AddInt64(counter, 1) }

// Counts judges the run against what the endpoints saw; call it once Run has
// returned. maxRuns is the most any one non-idempotent request was run.
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
