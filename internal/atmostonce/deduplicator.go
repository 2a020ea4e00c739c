package atmostonce

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/pause"
)

// Limits of one process.
const (
	// claimTimeout is the time limit of a claim: a slow store must not block
	// callers.
	claimTimeout = time.Second
	// freeTimeout is how long a refusal waits for its key to be freed, so that
	// the caller's next attempt does not get InProgress.
	freeTimeout = 50 * time.Millisecond
	// settleTimeout is the time limit of one attempt to settle.
	settleTimeout = 2 * time.Second
	// settleRetryInterval is the pause between two attempts to settle.
	settleRetryInterval = 500 * time.Millisecond
	// maxWaiting is the maximum number of claims that wait for the store at
	// once.
	maxWaiting = 512
	// maxUnsettled is the maximum number of settlements queued while the store
	// is unavailable. Excess settlements are dropped: their keys later read as
	// OutcomeUnknown, which is safe.
	maxUnsettled = 10_000
	// settleWorkers is the number of concurrent settlements.
	settleWorkers = 128
	// flushTimeout is the time limit for outstanding settlements at a planned
	// stop.
	flushTimeout = 2 * time.Second
	flushPoll    = 5 * time.Millisecond
)

// Config configures a Deduplicator.
type Config struct {
	ClaimStore ClaimStore
	Log        zerolog.Logger
	Registry   prometheus.Registerer
}

// Deduplicator claims keys and settles claims for one gateway. Serve must be
// running alongside it.
type Deduplicator struct {
	Config
	metrics *metrics
	waiting atomic.Int64

	queue chan Settlement
	// unsettled is the number of settlements queued or in progress.
	unsettled atomic.Int64
}

// New returns a Deduplicator.
func New(config Config) *Deduplicator {
	return &Deduplicator{Config: config, metrics: newMetrics(config.Registry), queue: make(chan Settlement, maxUnsettled)}
}

// Request is the part of a keyed request that a claim needs.
type Request struct {
	ID          ID
	Fingerprint Fingerprint
	// Window is the maximum duration of the request, limited to MaxWindow.
	Window time.Duration
}

// Begin claims a key. It returns a GrantedClaim only when the outcome is
// Granted. It returns *UnconfirmedError or *BusyError when the claim isn't
// confirmed; the request must not run then.
func (d *Deduplicator) Begin(ctx context.Context, request Request) (*GrantedClaim, ClaimOutcome, error) {
	if waiting := d.waiting.Add(1); waiting > maxWaiting {
		d.waiting.Add(-1)
		return nil, ClaimOutcome{}, &BusyError{Waiting: maxWaiting}
	}
	defer d.waiting.Add(-1)
	claim := Claim{
		ID: request.ID, Fingerprint: request.Fingerprint,
		Nonce: uuid.New(), Window: min(request.Window, MaxWindow),
	}
	granted := &GrantedClaim{deduplicator: d, claim: claim, requestedAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	outcome, err := d.ClaimStore.Claim(ctx, claim)
	d.metrics.observe(outcome, err, time.Since(granted.requestedAt))
	if err != nil {
		d.freeIfWritten(claim, err)
		return nil, ClaimOutcome{}, err
	}
	if outcome.State != Granted {
		return nil, outcome, nil
	}
	return granted, outcome, nil
}

// freeIfWritten frees a claim that may have been written although it isn't
// confirmed. Otherwise the caller's next attempt would get InProgress for a
// request that never ran.
func (d *Deduplicator) freeIfWritten(claim Claim, err error) {
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) && unconfirmed.MayBeWritten {
		d.enqueue(Settlement{ID: claim.ID, Nonce: claim.Nonce, Result: ResultNotRun})
	}
}

// Serve settles claims until ctx ends, then settles outstanding claims for up
// to flushTimeout.
func (d *Deduplicator) Serve(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { _ = d.ClaimStore.Serve(working) })
	for range settleWorkers {
		wait.Go(func() { d.settleWorker(working) })
	}
	<-ctx.Done()
	d.flush()
	stop()
	wait.Wait()
	return ctx.Err()
}

func (d *Deduplicator) flush() {
	deadline := time.Now().Add(flushTimeout)
	for d.unsettled.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPoll)
	}
	if left := d.unsettled.Load(); left > 0 {
		d.Log.Warn().Int64("claims", left).Msg("Stopped with unsettled claims.")
	}
}

func (d *Deduplicator) settleWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settlement := <-d.queue:
			d.settleUntilDone(ctx, settlement)
		}
	}
}

func (d *Deduplicator) settleUntilDone(ctx context.Context, settlement Settlement) {
	defer d.unsettled.Add(-1)
	for ctx.Err() == nil {
		if d.settle(ctx, settlement, settleTimeout) == nil {
			return
		}
		d.metrics.retries.Inc()
		pause.For(ctx, pause.Jitter(settleRetryInterval))
	}
}

func (d *Deduplicator) settle(ctx context.Context, settlement Settlement, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.ClaimStore.Settle(ctx, settlement)
}

func (d *Deduplicator) enqueue(settlement Settlement) {
	d.unsettled.Add(1)
	select {
	case d.queue <- settlement:
	default:
		d.unsettled.Add(-1)
		d.metrics.dropped.Inc()
	}
}

// GrantedClaim is a granted claim. Settle must be called once.
type GrantedClaim struct {
	deduplicator *Deduplicator
	claim        Claim
	// requestedAt is when the claim was requested, before the store could have
	// written it.
	requestedAt time.Time
}

// CanSend reports whether the request's first byte may still be sent. Call it
// right before sending that byte. A process that was paused after its claim
// resumes with an outdated view: without the check it could forward a request
// whose claim has since been removed and whose key has run elsewhere, and the
// request would run twice. The check is sufficient because a claim is never
// taken over, only removed, and at the earliest DefaultRetention after it was
// written, which is at least four windows.
func (g *GrantedClaim) CanSend() bool {
	return elapsed.Between(g.requestedAt, time.Now()) < g.claim.Window
}

// Settle settles the claim. When the request did not run, the claim is freed
// before Settle returns if the store responds within freeTimeout; all other
// settlements are done in the background.
func (g *GrantedClaim) Settle(result Result, response *Response) {
	settlement := Settlement{ID: g.claim.ID, Nonce: g.claim.Nonce, Result: result, Response: response}
	if result == ResultNotRun && g.deduplicator.settle(context.Background(), settlement, freeTimeout) == nil {
		return
	}
	g.deduplicator.enqueue(settlement)
}
