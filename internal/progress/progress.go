// Package progress bounds how long a call may wait for more of its answer, rather than how
// long it may take. An answer of a megabyte takes seconds over a thin link. Given up after
// a fixed time, it is begun anew, and its bytes have taken the link from all others.
package progress

import (
	"context"
	"io"
	"time"
)

type contextKey struct{}

// observer is told of the progress of a call, and then the outer one, nil for none.
type observer struct {
	made  func()
	outer *observer
}

func observerOf(ctx context.Context) *observer {
	o, _ := ctx.Value(contextKey{}).(*observer)
	return o
}

// Observe returns a context whose calls report their progress to made.
func Observe(parent context.Context, made func()) context.Context {
	return context.WithValue(parent, contextKey{}, &observer{made, observerOf(parent)})
}

// WithTimeout returns a context that ends with context.DeadlineExceeded as its cause once
// no progress was made for wait. The caller calls cancel when the call has returned.
func WithTimeout(parent context.Context, wait time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	timer := time.AfterFunc(wait, func() { cancelCause(context.DeadlineExceeded) })
	timed := Observe(ctx, func() {
		if ctx.Err() == nil {
			timer.Reset(wait)
		}
	})
	return timed, func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// Made records that the call of ctx has made progress.
func Made(ctx context.Context) {
	for o := observerOf(ctx); o != nil; o = o.outer {
		o.made()
	}
}

// Reader reads a part of a call's answer and records progress with each byte.
type Reader struct {
	Context context.Context
	io.Reader
}

// Read implements io.Reader.
func (r *Reader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	if n > 0 {
		Made(r.Context)
	}
	return n, err
}
