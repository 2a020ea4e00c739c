package operatorapi

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

// Rates of one client, by its address. Reads are polls of a snapshot in
// memory; a write costs the store a few calls of the several hundred a second
// that it takes from everyone.
const (
	readsPerSecond  = 400
	readBurst       = 800
	writesPerSecond = 20
	writeBurst      = 200
	maxClients      = 1024
)

// TooLargeError says that a request's body is over the limit.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the request's body has more than %d bytes", e.Limit)
}

// RateLimitError says that a client sends too many requests. Nothing was done.
type RateLimitError struct {
	Client    string
	PerSecond int
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("client %s sends more than %d such requests a second", e.Client, e.PerSecond)
}

// limiter keeps one runaway script from spending the store's calls for all.
type limiter struct {
	mu      sync.Mutex
	clients map[string]*clientRates
}

type clientRates struct{ reads, writes *rate.Limiter }

func newLimiter() *limiter { return &limiter{clients: make(map[string]*clientRates)} }

func (l *limiter) admit(r *http.Request) error {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	rates := l.of(client)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		if !rates.reads.Allow() {
			return &RateLimitError{Client: client, PerSecond: readsPerSecond}
		}
		return nil
	}
	if !rates.writes.Allow() {
		return &RateLimitError{Client: client, PerSecond: writesPerSecond}
	}
	return nil
}

func (l *limiter) of(client string) *clientRates {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates, known := l.clients[client]
	if known {
		return rates
	}
	if len(l.clients) >= maxClients {
		// Forgetting gives everyone a new burst, which bounds the memory at
		// the price of one more burst per thousand clients.
		clear(l.clients)
	}
	rates = &clientRates{
		reads:  rate.NewLimiter(readsPerSecond, readBurst),
		writes: rate.NewLimiter(writesPerSecond, writeBurst),
	}
	l.clients[client] = rates
	return rates
}
