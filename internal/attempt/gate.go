package attempt

import "context"

type gateKey struct{}

// WithSendCheck returns a context whose attempts ask gate right before their first
// byte is written. When it says no, nothing is written and the attempt fails
// with Sent false. It is for a right to run that can lapse while the process
// is paused, and it is asked at the last moment that this side has.
func WithSendCheck(ctx context.Context, gate func() bool) context.Context {
	return context.WithValue(ctx, gateKey{}, gate)
}

func gateOf(ctx context.Context) func() bool {
	gate, _ := ctx.Value(gateKey{}).(func() bool)
	return gate
}
