// Package httpserve runs an HTTP server as a supervised part.
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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Limits against slow and hostile clients, unless a server has its own.
const (
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// ListenError says that an address can't be listened on.
type ListenError struct {
	Name    string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: can't listen on %s: %v", e.Name, e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Server is one HTTP server. Serve may be called again after it returned with
// an error, so that a supervisor can restart it.
type Server struct {
	name    string
	address netip.AddrPort
	handler http.Handler
	// grace is how long requests in flight may take once ctx has ended.
	grace  time.Duration
	tls    *tls.Config
	limits Limits
	log    zerolog.Logger
}

// New returns a server that isn't listening yet.
func New(name string, address netip.AddrPort, handler http.Handler, grace time.Duration) *Server {
	return &Server{name: name, address: address, handler: handler, grace: grace, log: zerolog.Nop()}
}

// WithTLS makes the server speak TLS only; nil leaves it at plain HTTP. It
// returns the server.
func (s *Server) WithTLS(config *tls.Config) *Server {
	s.tls = config
	return s
}

// WithLog makes the server log connections that fail, such as a refused TLS
// handshake: without it an operator sees nothing of a wrong certificate. It
// returns the server.
func (s *Server) WithLog(log zerolog.Logger) *Server {
	s.log = log
	return s
}

// connectionLog turns the HTTP server's own lines into log entries.
type connectionLog struct {
	log  zerolog.Logger
	name string
}

// Write implements io.Writer; each call is one line.
func (l *connectionLog) Write(line []byte) (int, error) {
	l.log.Warn().Str("server", l.name).Str("cause", strings.TrimSpace(string(line))).Msg("Connection failed.")
	return len(line), nil
}

// WithLimits bounds what clients may hold of the server. It returns the server.
func (s *Server) WithLimits(limits Limits) *Server {
	s.limits = limits
	return s
}

// Serve listens until ctx ends, then lets requests in flight finish. It
// returns *ListenError when it can't listen.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return &ListenError{Name: s.name, Address: s.address, Cause: err}
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: cmp.Or(s.limits.HeaderTimeout, DefaultHeaderTimeout),
		IdleTimeout:       cmp.Or(s.limits.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    cmp.Or(s.limits.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ErrorLog:          log.New(&connectionLog{log: s.log, name: s.name}, "", 0),
	}
	ended := make(chan error, 1)
	go func() { ended <- s.serve(server, newLimitedListener(listener, s.connectionLimits())) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return s.stop(server)
}

// connectionLimits leaves the refusal out over TLS: in plain text before the
// handshake it would read as a broken server. A connection closed before the
// handshake tells the client as surely that nothing was read.
func (s *Server) connectionLimits() Limits {
	limits := s.limits
	if s.tls != nil {
		limits.Refusal = nil
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

func (s *Server) stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return errors.CombineErrors(err, server.Close())
	}
	return nil
}
