package supervise

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

type serviceFunc func(ctx context.Context) error

func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

// A part that panics twice must be restarted without affecting another part, and
// the restarts must be counted under its own name.
func TestPanickingPartRestartsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := New("test", zerolog.Nop(), prometheus.NewRegistry())
		var panickingStarts, otherStarts atomic.Int64
		recovered := make(chan struct{})
		tree.Add("shaky", serviceFunc(func(ctx context.Context) error {
			if panickingStarts.Add(1) <= 2 {
				panic("a fault")
			}
			close(recovered)
			<-ctx.Done()
			return ctx.Err()
		}))
		tree.Add("steady", serviceFunc(func(ctx context.Context) error {
			otherStarts.Add(1)
			<-ctx.Done()
			return ctx.Err()
		}))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- tree.Run(ctx) }()
		<-recovered
		cancel()
		must.NoError(t, <-ended)
		must.EqOp(t, int64(1), otherStarts.Load())
		must.EqOp(t, 2.0, testutil.ToFloat64(tree.restarts.WithLabelValues("shaky")))
		must.EqOp(t, 0.0, testutil.ToFloat64(tree.restarts.WithLabelValues("steady")))
	})
}

// Restarting does not help a part that fails at every start. The process must
// end with a typed error, so that the platform replaces it, and not restart the
// part forever.
func TestRepeatedlyFailingPartEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := New("test", zerolog.Nop(), nil)
		tree.Add("broken", serviceFunc(func(context.Context) error { return &PartFailedError{Part: "inner"} }))
		err := tree.Run(t.Context())
		var failed *PartFailedError
		must.True(t, errors.As(err, &failed))
		must.EqOp(t, "broken", failed.Part)
		must.EqOp(t, failureThreshold, failed.Failures)
	})
}

// A part that returns without an error has finished: it must not be restarted or
// counted as failed.
func TestFinishedPartIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := New("test", zerolog.Nop(), prometheus.NewRegistry())
		var runs atomic.Int64
		tree.Add("brief", serviceFunc(func(context.Context) error { runs.Add(1); return nil }))
		tree.Add("steady", serviceFunc(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- tree.Run(ctx) }()
		synctest.Wait()
		cancel()
		must.NoError(t, <-ended)
		must.EqOp(t, int64(1), runs.Load())
		must.EqOp(t, 0.0, testutil.ToFloat64(tree.restarts.WithLabelValues("brief")))
	})
}
