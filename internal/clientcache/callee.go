// Package clientcache keeps the clients of a service that other entry hosts serve, one for
// each address, over connections that they share.
package clientcache

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to another entry host.
	dialTimeout = 300 * time.Millisecond
	idleTimeout = time.Minute
)

// Config is what the connections to each entry host are bounded by.
type Config struct {
	// Connections is the most that are open to one entry host.
	Connections int
	// BufferBytes is the read and write buffer of one connection, zero for the
	// library's own.
	BufferBytes int
}

// Cache is the clients of a service. It is safe for concurrent use.
type Cache[T any] struct {
	transport *http.Transport
	client    func(url string, over *http.Client) T

	mu        sync.Mutex
	byAddress map[string]T
}

// New returns a set without connections. client makes the client of one entry host.
func New[T any](config Config, client func(url string, over *http.Client) T) *Cache[T] {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Cache[T]{
		transport: &http.Transport{
			DialContext: dialer.DialContext, MaxConnsPerHost: config.Connections, MaxIdleConnsPerHost: config.Connections,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
			ReadBufferSize: config.BufferBytes, WriteBufferSize: config.BufferBytes,
		},
		client: client, byAddress: make(map[string]T),
	}
}

// Get returns the client of the entry host at an address.
func (s *Cache[T]) Get(address string) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, known := s.byAddress[address]
	if !known {
		client = s.client("http://"+address, &http.Client{Transport: s.transport})
		s.byAddress[address] = client
	}
	return client
}

// CloseIdleConnections closes the connections that carry nothing, which may have gone silent.
func (s *Cache[T]) CloseIdleConnections() { s.transport.CloseIdleConnections() }
