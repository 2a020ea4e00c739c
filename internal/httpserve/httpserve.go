// Package httpserve runs an HTTP server under a supervisor.
package httpserve

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Default limits that protect a server from slow and hostile clients.
const (
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// ListenError reports that the server could not listen on its address.
type ListenError struct {
	Name    string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: can't listen on %s: %v", e.Name, e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Server is an HTTP server. Serve may be called again after it has returned an
// error, so that a supervisor can restart it.
type Server struct {
	name    string
	address netip.AddrPort
	handler http.Handler
	// shutdownTimeout bounds the requests in flight after ctx has ended.
	shutdownTimeout time.Duration
	tls             *tls.Config
	limits          Limits
	log             zerolog.Logger
	// running is the server of the last Serve.
	running atomic.Pointer[http.Server]
}

// New returns a server that is not listening yet. shutdownTimeout is how long
// requests in flight may take after the context of Serve has ended.
func New(name string, address netip.AddrPort, handler http.Handler, shutdownTimeout time.Duration) *Server {
	return &Server{name: name, address: address, handler: handler, shutdownTimeout: shutdownTimeout, log: zerolog.Nop()}
}

// Name returns the server's name for logs.
func (s *Server) Name() string { return "server " + s.name }

// WithTLS makes the server accept TLS only; a nil config selects plain HTTP. It
// returns the server.
func (s *Server) WithTLS(config *tls.Config) *Server {
	s.tls = config
	return s
}

// WithLog makes the server log failed connections, such as a failed TLS
// handshake: without it an operator cannot see that a certificate is wrong. It
// returns the server.
func (s *Server) WithLog(log zerolog.Logger) *Server {
	s.log = log
	return s
}

// connectionLog writes the log lines of net/http as structured log entries.
type connectionLog struct {
	log  zerolog.Logger
	name string
}

// Write implements io.Writer; each call is one line.
func (l *connectionLog) Write(line []byte) (int, error) {
	l.log.Warn().Str("server", l.name).Str("cause", strings.TrimSpace(string(line))).Msg("Connection failed.")
	return len(line), nil
}

// WithLimits sets the limits on the server's clients. It returns the server.
func (s *Server) WithLimits(limits Limits) *Server {
	s.limits = limits
	return s
}

// Serve listens until ctx ends, then waits for requests in flight to finish, for
// at most the shutdown timeout. It returns *ListenError if it cannot listen.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return &ListenError{Name: s.name, Address: s.address, Cause: err}
	}
	server := &http.Server{
		Handler:           countRequests(s.handler),
		ConnContext:       withClient,
		ConnState:         onState,
		ReadTimeout:       s.limits.RequestTimeout,
		ReadHeaderTimeout: cmp.Or(s.limits.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       cmp.Or(s.limits.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    cmp.Or(s.limits.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ErrorLog:          log.New(&connectionLog{log: s.log, name: s.name}, "", 0),
	}
	s.running.Store(server)
	result := make(chan error, 1)
	go func() { result <- s.serve(server, newLimitedListener(listener, s.connectionLimits())) }()
	select {
	case err := <-result:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	case <-ctx.Done():
	}
	return s.shutdown(server)
}

// Shutdown stops listening, waits for requests in flight until ctx ends, and lets Serve
// return without an error. It returns the error of ctx if some were still in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	if server := s.running.Load(); server != nil {
		return server.Shutdown(ctx)
	}
	return nil
}

// connectionLimits omits refusals in plain text over TLS: before the handshake they
// would look like a broken server. A connection closed before the handshake shows
// the client just as reliably that nothing was read.
func (s *Server) connectionLimits() Limits {
	limits := s.limits
	if s.tls != nil {
		limits.RefusalResponse, limits.CurrentMaxHeaderBytes = nil, nil
	}
	return limits
}

func (s *Server) serve(server *http.Server, listener net.Listener) error {
	if s.tls == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = s.tls
	return server.ServeTLS(listener, "", "")
}

func (s *Server) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.CombineErrors(err, server.Close())
	}
	return nil
}
