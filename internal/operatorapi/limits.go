package operatorapi

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// Rate limits per client address. Reads are served from a snapshot in memory. A
// write costs a few store calls, out of several hundred a second that the store
// accepts from all clients together.
const (
	readsPerSecond  = 400
	readBurst       = 800
	writesPerSecond = 20
	writeBurst      = 200
	maxClients      = 1024
)

// TooLargeError reports that a request body exceeds the limit.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the request's body has more than %d bytes", e.Limit)
}

// RateLimitError reports that a client exceeded its request rate. The request
// was not processed.
type RateLimitError struct {
	Client    string
	PerSecond int
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("client %s sends more than %d such requests a second", e.Client, e.PerSecond)
}

// limiter limits the request rate of each client, so that one runaway script
// can't use up the store's call budget.
type limiter struct {
	mu      sync.Mutex
	clients map[string]*clientLimiters
}

type clientLimiters struct{ reads, writes *rate.Limiter }

func newLimiter() *limiter { return &limiter{clients: make(map[string]*clientLimiters)} }

func (l *limiter) allow(r *http.Request) error {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	limiters := l.forClient(client)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		if !limiters.reads.Allow() {
			return &RateLimitError{Client: client, PerSecond: readsPerSecond}
		}
		return nil
	}
	if !limiters.writes.Allow() {
		return &RateLimitError{Client: client, PerSecond: writesPerSecond}
	}
	return nil
}

func (l *limiter) forClient(client string) *clientLimiters {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiters, known := l.clients[client]
	if known {
		return limiters
	}
	if len(l.clients) >= maxClients {
		// Clearing the map bounds its memory. It gives every client a new
		// burst, at most once per maxClients clients.
		clear(l.clients)
	}
	limiters = &clientLimiters{
		reads:  rate.NewLimiter(readsPerSecond, readBurst),
		writes: rate.NewLimiter(writesPerSecond, writeBurst),
	}
	l.clients[client] = limiters
	return limiters
}
