package auth

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
)

// DefaultReloadInterval is the default interval between checks of the key
// files.
const DefaultReloadInterval = 10 * time.Second

// unitPrefix precedes the role in the organizational unit of a certificate.
const unitPrefix = "glade-"

// Keyring holds the active keys and reloads them when their files change. If a
// file is invalid, or a new certificate does not match its key yet, the last
// valid keys stay active. The caller must run its Serve method to reload.
type Keyring struct {
	files    KeyFiles
	interval time.Duration
	log      zerolog.Logger
	current  atomic.Pointer[Credentials]
	reloads  *prometheus.CounterVec

	mu sync.Mutex
	// verified caches which credentials verified a certificate, by fingerprint,
	// so that a request on an open connection needs no signature check.
	verified map[[sha256.Size]byte]*Credentials
}

// maxVerifiedCertificates limits the cached certificates.
const maxVerifiedCertificates = 4096

// NewKeyring reads the files. It returns *FileError. A zero interval means
// DefaultReloadInterval; a nil registerer registers no metrics.
func NewKeyring(files KeyFiles, interval time.Duration, log zerolog.Logger, registerer prometheus.Registerer) (*Keyring, error) {
	credentials, err := Load(files)
	if err != nil {
		return nil, err
	}
	if interval == 0 {
		interval = DefaultReloadInterval
	}
	k := &Keyring{
		files: files, interval: interval, log: log,
		verified: make(map[[sha256.Size]byte]*Credentials),
		reloads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_key_reloads_total",
			Help: "Changes of key files that were taken, or refused because they were damaged.",
		}, []string{"result"}),
	}
	k.current.Store(credentials)
	if registerer != nil {
		registerer.MustRegister(k.reloads, k.expiryGauge())
	}
	return k, nil
}

// expiryGauge returns the metric of the expiry time of the active certificate.
// A fleet whose certificates expire on the same day loses all its members at
// once, and nothing else warns of it.
func (k *Keyring) expiryGauge() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "glade_certificate_expires_timestamp_seconds",
		Help: "When this process's certificate ends, in seconds since 1970; 0 without one.",
	}, func() float64 {
		certificate := k.current.Load().Certificate
		if certificate == nil || certificate.Leaf == nil {
			return 0
		}
		return float64(certificate.Leaf.NotAfter.Unix())
	})
}

// Serve reloads the files until ctx ends. It polls, because a file watch
// doesn't always notice a file that the platform mounts again.
func (k *Keyring) Serve(ctx context.Context) error {
	refused := ""
	for ctx.Err() == nil {
		pause.For(ctx, k.interval)
		refused = k.Reload(refused)
	}
	return ctx.Err()
}

// Reload checks the files once. It returns why they were rejected, or "".
// refused is the result of the previous call, so that each reason is logged
// only once.
func (k *Keyring) Reload(refused string) string {
	next, err := Load(k.files)
	if err != nil {
		if err.Error() != refused {
			k.reloads.WithLabelValues("refused").Inc()
			k.log.Error().Err(err).Msg("Failed to reload the keys; the last valid keys stay active.")
		}
		return err.Error()
	}
	if next.digest != k.current.Load().digest {
		k.current.Store(next)
		k.reloads.WithLabelValues("taken").Inc()
		k.log.Info().Msg("Keys reloaded.")
	}
	return ""
}

// ClientAuth selects which client certificates a server requests.
type ClientAuth int

// Client authentication of a server.
const (
	// NoClientCert requests no client certificate.
	NoClientCert ClientAuth = iota
	// AcceptOperatorCert verifies an operator's certificate if the client sends
	// one.
	AcceptOperatorCert
	// RequireMemberCert requires a member's certificate.
	RequireMemberCert
)

// ServerTLS returns the TLS configuration of a server. Each handshake uses the
// keys that are active at that moment. Session resumption is disabled, because
// a resumed session would not be checked against them.
func (k *Keyring) ServerTLS(clients ClientAuth) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().serverTLS(clients), nil
		},
	}
}

func (c *Credentials) serverTLS(clients ClientAuth) *tls.Config {
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
	if c.Certificate != nil {
		config.Certificates = []tls.Certificate{*c.Certificate}
	}
	switch {
	case clients == RequireMemberCert:
		config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, c.FleetCAs
	case clients == AcceptOperatorCert && c.OperatorCAs != nil:
		config.ClientAuth, config.ClientCAs = tls.VerifyClientCertIfGiven, c.OperatorCAs
	}
	return config
}

// DialTLS connects to a member with the keys that are active at that moment. It
// can be used as http.Transport.DialTLSContext.
func (k *Keyring) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	credentials := k.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: credentials.FleetCAs, ServerName: host}
	if credentials.Certificate != nil {
		config.Certificates = []tls.Certificate{*credentials.Certificate}
	}
	dialer := &tls.Dialer{Config: config}
	return dialer.DialContext(ctx, network, address)
}

// RequireMember rejects requests that are not from members. The handshake
// verified the certificate once; it is verified again here against the keys
// active at present, so that withdrawing a CA or the expiry of a certificate
// also ends requests on open connections.
func (k *Keyring) RequireMember(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leaf := peerLeaf(r)
		if leaf == nil || !hasRole(leaf, RoleMember) || !k.verifies(leaf, r, RequireMemberCert) {
			http.Error(w, "a member's certificate is needed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Authenticate implements Authenticator for operators. A bearer token takes
// precedence over a certificate.
func (k *Keyring) Authenticate(r *http.Request) (Principal, error) {
	credentials := k.current.Load()
	if header := r.Header.Get("Authorization"); header != "" {
		token, isBearer := strings.CutPrefix(header, "Bearer ")
		if p, known := credentials.principalForToken(token); isBearer && known {
			return p, nil
		}
		return Principal{}, &UnauthenticatedError{Reason: "the token is not known"}
	}
	leaf := peerLeaf(r)
	if leaf == nil {
		return Principal{}, &UnauthenticatedError{Reason: "a bearer token or an operator's certificate is needed"}
	}
	if !k.verifies(leaf, r, AcceptOperatorCert) {
		return Principal{}, &UnauthenticatedError{Reason: "the certificate is not valid any more"}
	}
	for _, role := range []Role{RoleBreakGlass, RoleWrite, RoleRead} {
		if hasRole(leaf, role) {
			return Principal{Name: leaf.Subject.CommonName, Role: role}, nil
		}
	}
	return Principal{}, &UnauthenticatedError{Reason: "the certificate names no operator's role"}
}

// HasOperators reports whether operator credentials are configured.
func (k *Keyring) HasOperators() bool {
	credentials := k.current.Load()
	return credentials.OperatorCAs != nil || k.files.OperatorTokens != ""
}

func peerLeaf(r *http.Request) *x509.Certificate {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return nil
	}
	return r.TLS.PeerCertificates[0]
}

func hasRole(leaf *x509.Certificate, role Role) bool {
	for _, unit := range leaf.Subject.OrganizationalUnit {
		if unit == unitPrefix+string(role) {
			return true
		}
	}
	return false
}

func (k *Keyring) verifies(leaf *x509.Certificate, r *http.Request, clients ClientAuth) bool {
	now := time.Now()
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return false
	}
	credentials := k.current.Load()
	roots := credentials.OperatorCAs
	if clients == RequireMemberCert {
		roots = credentials.FleetCAs
	}
	if roots == nil {
		return false
	}
	fingerprint := sha256.Sum256(append([]byte{byte(clients)}, leaf.Raw...))
	k.mu.Lock()
	known := k.verified[fingerprint] == credentials
	k.mu.Unlock()
	if known {
		return true
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range r.TLS.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if _, err := leaf.Verify(options); err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.verified) >= maxVerifiedCertificates {
		clear(k.verified)
	}
	k.verified[fingerprint] = credentials
	return true
}
