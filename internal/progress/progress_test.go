package progress_test

import (
	"context"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/progress"
)

func TestProgressExtendsTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := progress.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reader := &progress.Reader{Context: ctx, Reader: iotest.OneByteReader(strings.NewReader("abcde"))}
		for range 5 {
			time.Sleep(900 * time.Millisecond)
			_, err := reader.Read(make([]byte, 1))
			must.NoError(t, err)
		}
		must.NoError(t, ctx.Err())
		time.Sleep(1001 * time.Millisecond)
		must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// Guards against a timer that outlives its call.
func TestNothingIsTimedAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := progress.WithTimeout(t.Context(), time.Second)
		cancel()
		progress.Made(ctx)
		time.Sleep(2 * time.Second)
		must.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}

// A call without a timeout of this kind isn't affected.
func TestProgressWithoutTimeout(t *testing.T) {
	progress.Made(t.Context())
	must.NoError(t, t.Context().Err())
}

func TestOuterObserversSeeProgress(t *testing.T) {
	seen := 0
	ctx := progress.Observe(t.Context(), func() { seen++ })
	inner, cancel := progress.WithTimeout(ctx, time.Hour)
	defer cancel()
	progress.Made(inner)
	must.EqOp(t, 1, seen)
}
