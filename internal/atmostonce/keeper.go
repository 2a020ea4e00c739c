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

	"auburnglade.example/glade/internal/pause"
)

// Limits of one process.
const (
	// claimTimeout bounds a claim: a slow store must not hold callers.
	claimTimeout = time.Second
	// freeWait bounds how long a refusal waits for its key to be free again,
	// so that the caller's next try is not told "in progress".
	freeWait = 50 * time.Millisecond
	// settleTimeout bounds one try to settle.
	settleTimeout = 2 * time.Second
	// settlePause is the pause between two tries to settle.
	settlePause = 500 * time.Millisecond
	// maxWaiting bounds the claims that wait for the store at once.
	maxWaiting = 512
	// maxUnsettled bounds the settlements kept while the store is away. Those
	// over it are dropped: their keys read "unclear" later, which is safe.
	maxUnsettled = 10_000
	// settlers is how many settlements are under way at once.
	settlers = 128
	// flushTimeout bounds the settling at a planned stop.
	flushTimeout = 2 * time.Second
	flushPoll    = 5 * time.Millisecond
)

// Config is what a Keeper is made of.
type Config struct {
	ClaimStore ClaimStore
	Log        zerolog.Logger
	Registry   prometheus.Registerer
}

// Deduplicator claims keys and settles claims for one gateway. Run Serve beside it.
type Deduplicator struct {
	Config
	metrics *metrics
	waiting atomic.Int64

	queue chan Settlement
	// unsettled counts settlements queued or under way.
	unsettled atomic.Int64
}

// New returns a keeper.
func New(config Config) *Deduplicator {
	return &Deduplicator{Config: config, metrics: newMetrics(config.Registry), queue: make(chan Settlement, maxUnsettled)}
}

// Request is a keyed request as a claim sees it.
type Request struct {
	ID          ID
	Fingerprint Fingerprint
	// Window is how long the request may take in all; more than MaxWindow
	// counts as MaxWindow.
	Window time.Duration
}

// Begin claims a key. A ticket comes with Granted only. It returns *AwayError
// or *BusyError when the claim isn't certain; the request must not run then.
func (k *Deduplicator) Begin(ctx context.Context, request Request) (*GrantedClaim, ClaimOutcome, error) {
	if waiting := k.waiting.Add(1); waiting > maxWaiting {
		k.waiting.Add(-1)
		return nil, ClaimOutcome{}, &BusyError{Waiting: maxWaiting}
	}
	defer k.waiting.Add(-1)
	claim := Claim{
		ID: request.ID, Fingerprint: request.Fingerprint,
		Nonce: uuid.New(), Window: min(request.Window, MaxWindow),
	}
	ticket := &GrantedClaim{keeper: k, claim: claim, asked: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	verdict, err := k.ClaimStore.Claim(ctx, claim)
	k.metrics.observe(verdict, err, time.Since(ticket.asked))
	if err != nil {
		k.freeIfWritten(claim, err)
		return nil, ClaimOutcome{}, err
	}
	if verdict.State != Granted {
		return nil, verdict, nil
	}
	return ticket, verdict, nil
}

// freeIfWritten frees a claim that may be written although it isn't certain;
// else the caller's next try would be told "in progress" of a request that
// never ran.
func (k *Deduplicator) freeIfWritten(claim Claim, err error) {
	var away *UnconfirmedError
	if errors.As(err, &away) && away.MayBeWritten {
		k.enqueue(Settlement{ID: claim.ID, Nonce: claim.Nonce, Result: ResultNotRun})
	}
}

// Serve settles claims until ctx ends, then settles what is left for a while.
func (k *Deduplicator) Serve(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { _ = k.ClaimStore.Serve(working) })
	for range settlers {
		wait.Go(func() { k.settler(working) })
	}
	<-ctx.Done()
	k.flush()
	stop()
	wait.Wait()
	return ctx.Err()
}

func (k *Deduplicator) flush() {
	deadline := time.Now().Add(flushTimeout)
	for k.unsettled.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(flushPoll)
	}
	if left := k.unsettled.Load(); left > 0 {
		k.Log.Warn().Int64("claims", left).Msg("Claims left unsettled at the stop.")
	}
}

func (k *Deduplicator) settler(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settlement := <-k.queue:
			k.settleUntilDone(ctx, settlement)
		}
	}
}

func (k *Deduplicator) settleUntilDone(ctx context.Context, settlement Settlement) {
	defer k.unsettled.Add(-1)
	for ctx.Err() == nil {
		if k.settle(ctx, settlement, settleTimeout) == nil {
			return
		}
		k.metrics.retries.Inc()
		pause.For(ctx, pause.Jitter(settlePause))
	}
}

func (k *Deduplicator) settle(ctx context.Context, settlement Settlement, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return k.ClaimStore.Settle(ctx, settlement)
}

func (k *Deduplicator) enqueue(settlement Settlement) {
	k.unsettled.Add(1)
	select {
	case k.queue <- settlement:
	default:
		k.unsettled.Add(-1)
		k.metrics.dropped.Inc()
	}
}

// GrantedClaim is a granted claim. End must be called once.
type GrantedClaim struct {
	keeper *Deduplicator
	claim  Claim
	// asked is when the claim was asked for, before the store could have
	// written it.
	asked time.Time
}

// MaySend reports whether the request's first byte may still be sent. Ask it
// right before that byte: a process that was paused after its claim wakes
// believing that the claim is fresh. Without the check it could forward a
// request whose claim has been removed since and whose key has run elsewhere,
// and the offer would be issued twice. It is enough because a claim is never
// taken over, only removed, and that DefaultRetention after it was written at
// the earliest, at least four windows after the last moment this allows. The
// wall clock is asked too, since a suspended guest's monotonic clock may stand
// still; either clock can only refuse.
func (t *GrantedClaim) MaySend() bool {
	now := time.Now()
	monotonic := now.Sub(t.asked)
	wall := now.Round(0).Sub(t.asked.Round(0))
	return monotonic < t.claim.Window && wall < t.claim.Window
}

// Settle settles the claim. A claim whose request did not run is freed before End
// returns when the store answers soon; all else is settled in the background.
func (t *GrantedClaim) Settle(result Result, answer *Response) {
	settlement := Settlement{ID: t.claim.ID, Nonce: t.claim.Nonce, Result: result, Response: answer}
	if result == ResultNotRun && t.keeper.settle(context.Background(), settlement, freeWait) == nil {
		return
	}
	t.keeper.enqueue(settlement)
}
