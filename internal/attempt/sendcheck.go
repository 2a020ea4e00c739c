package attempt

import "context"

type sendCheckKey struct{}

// WithSendCheck returns a context whose attempts call check immediately before
// writing their first byte. If it returns false, nothing is written and the
// attempt fails with MaybeSent false. It serves claims that can expire while
// the process is paused: the check runs at the last possible moment.
func WithSendCheck(ctx context.Context, check func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

func sendCheckFrom(ctx context.Context) func() bool {
	check, _ := ctx.Value(sendCheckKey{}).(func() bool)
	return check
}
