// Package clientcache caches RPC clients of other entry hosts, one per address.
// They share one HTTP transport.
package clientcache

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds opening a connection to another entry host.
	dialTimeout = 300 * time.Millisecond
	idleTimeout = time.Minute
)

// Dialer opens a connection to another entry host.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP is the Dialer for connections over the network.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// Config configures a Cache.
type Config struct {
	// Dial opens the connections.
	Dial Dialer
	// MaxConnections is the maximum number of open connections to one entry host.
	MaxConnections int
	// BufferBytes is the size of the read buffer and of the write buffer of a
	// connection. Zero selects the default of net/http.
	BufferBytes int
}

// Cache caches the clients of a service by address. It is safe for concurrent
// use.
type Cache[T any] struct {
	transport *http.Transport
	client    func(url string, httpClient *http.Client) T

	mu        sync.Mutex
	byAddress map[string]T
}

// New returns an empty cache. client creates the client of one entry host.
func New[T any](config Config, client func(url string, httpClient *http.Client) T) *Cache[T] {
	return &Cache[T]{
		transport: &http.Transport{
			DialContext: config.Dial, MaxConnsPerHost: config.MaxConnections, MaxIdleConnsPerHost: config.MaxConnections,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
			ReadBufferSize: config.BufferBytes, WriteBufferSize: config.BufferBytes,
		},
		client: client, byAddress: make(map[string]T),
	}
}

// Get returns the client of the entry host at address, which it creates on first
// use.
func (c *Cache[T]) Get(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = c.client("http://"+address, &http.Client{Transport: &receiver{c.transport}})
		c.byAddress[address] = client
	}
	return client
}

// CloseIdleConnections closes the idle connections, whose peers may no longer
// respond.
func (c *Cache[T]) CloseIdleConnections() { c.transport.CloseIdleConnections() }

// NotSent reports whether err is a failure to open a connection, so that nothing
// can have been sent.
func NotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
