package poolmanager_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/linkbudget"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// linkMbps is the bandwidth of the thin link, callBytes what each call takes on it
// beside a start's payload.
const (
	linkMbps  = 2.0
	callBytes = 200
)

// thinLink sends calls to hosts one after the other over a link of linkMbps. A call
// that waits beyond its timeout has no response; it takes its time on the link all
// the same.
type thinLink struct {
	worker.Client

	mu   sync.Mutex
	free time.Time
}

// send returns when bytes have passed the link, or false once timeout is over.
func (l *thinLink) send(ctx context.Context, bytes int, timeout time.Duration) bool {
	now := time.Now()
	l.mu.Lock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) * 8 / linkMbps * float64(time.Microsecond)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	pause.For(ctx, min(wait, timeout))
	return wait <= timeout && ctx.Err() == nil
}

func (l *thinLink) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	if !l.send(ctx, callBytes+len(o.Payload), worker.OrderTimeout) {
		return worker.Unknown
	}
	return l.Client.Start(ctx, to, o)
}

func (l *thinLink) Stop(ctx context.Context, to worker.Target, o worker.Stop) worker.Outcome {
	if !l.send(ctx, callBytes, worker.OrderTimeout) {
		return worker.Unknown
	}
	return l.Client.Stop(ctx, to, o)
}

func (l *thinLink) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	if !l.send(ctx, callBytes, worker.HeartbeatGrace) {
		return worker.HeartbeatReply{}, worker.Unknown
	}
	return l.Client.Heartbeat(ctx, to, o)
}

// A burst of jobs arrives whose starts take eight seconds on the holder's link. No
// lease may expire meanwhile: the long-running tasks stay at work.
func TestBurstOnThinLinkDoesNotExpireLeases(t *testing.T) {
	const burst, tasks, payload = 40, 25, 1800
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 40, func(e *env) {
		e.calls = &thinLink{Client: e.workers}
		e.starts = linkbudget.New(linkMbps, 0.5)
		m := e.takeOver(true)
		lasting := e.submit(m, longRunningStep(30))
		time.Sleep(3 * time.Second)
		must.EqOp(t, 30, e.workers.Checker.Running(lasting))
		began := e.workers.Checker.Starts()
		var jobs []string
		for range burst {
			record := e.record(shortStep(tasks))
			record.Spec.Payload = strings.Repeat("x", payload)
			must.EqOp(t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
			jobs = append(jobs, record.ID)
		}
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			must.EqOp(t, 30, e.workers.Checker.Running(lasting))
		}
		for _, id := range jobs {
			e.waitForState(m, id, work.Done, 10*time.Second)
		}
		must.EqOp(t, began+burst*tasks, e.workers.Checker.Starts(), must.Sprint("tasks were started again"))
	})
}
