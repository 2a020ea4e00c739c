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

// DefaultReloadInterval is how often files are looked at.
const DefaultReloadInterval = 10 * time.Second

// organizational units that make a certificate one of a member or an operator.
const unitPrefix = "glade-"

// Keyring holds the keys in force and follows their files. A file that is
// damaged, or a certificate without its key yet, leaves the last good keys in
// force. It has to be served to follow.
type Keyring struct {
	files    Files
	interval time.Duration
	log      zerolog.Logger
	current  atomic.Pointer[Credentials]
	reloads  *prometheus.CounterVec

	mu sync.Mutex
	// verified remembers which certificates the current material vouches for,
	// by fingerprint, so that a request on an open connection costs no
	// signature check.
	verified map[[sha256.Size]byte]*Credentials
}

// maxVerified bounds the certificates remembered.
const maxVerified = 4096

// NewKeyring reads the files. It returns *FileError. A zero interval means
// DefaultReload; a nil registerer counts nowhere.
func NewKeyring(files Files, interval time.Duration, log zerolog.Logger, registerer prometheus.Registerer) (*Keyring, error) {
	material, err := Load(files)
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
	k.current.Store(material)
	if registerer != nil {
		registerer.MustRegister(k.reloads, k.expiry())
	}
	return k, nil
}

// expiry shows when the certificate in force ends. A fleet whose certificates
// run out on one day loses all its members at once, and nothing else would say
// so before.
func (k *Keyring) expiry() prometheus.Collector {
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

// Serve follows the files until ctx ends. It polls: a file that a platform
// mounts anew isn't always seen by a watch.
func (k *Keyring) Serve(ctx context.Context) error {
	refused := ""
	for ctx.Err() == nil {
		pause.For(ctx, k.interval)
		refused = k.Reload(refused)
	}
	return ctx.Err()
}

// Reload looks at the files once. It returns why they were refused, or "", and
// logs a reason once: refused is what the call before returned.
func (k *Keyring) Reload(refused string) string {
	next, err := Load(k.files)
	if err != nil {
		if err.Error() != refused {
			k.reloads.WithLabelValues("refused").Inc()
			k.log.Error().Err(err).Msg("Keys not reloaded, the last good ones stay in force.")
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

// ClientAuth says whose certificates a server asks for.
type ClientAuth int

// The clients of a server.
const (
	// NoClientCert shows a certificate and asks for none.
	NoClientCert ClientAuth = iota
	// AcceptOperatorCert may show one.
	AcceptOperatorCert
	// RequireMemberCert must show one.
	RequireMemberCert
)

// ServerTLS returns the configuration of a server. Each connection is made
// with the keys in force at that moment. Sessions are never resumed, because a
// resumed one would not be checked against them.
func (k *Keyring) ServerTLS(clients ClientAuth) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().serverTLS(clients), nil
		},
	}
}

func (m *Credentials) serverTLS(clients ClientAuth) *tls.Config {
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}
	if m.Certificate != nil {
		config.Certificates = []tls.Certificate{*m.Certificate}
	}
	switch {
	case clients == RequireMemberCert:
		config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, m.FleetCAs
	case clients == AcceptOperatorCert && m.OperatorCAs != nil:
		config.ClientAuth, config.ClientCAs = tls.VerifyClientCertIfGiven, m.OperatorCAs
	}
	return config
}

// DialTLS connects to a member with the keys in force at that moment. It suits
// http.Transport.DialTLSContext.
func (k *Keyring) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	m := k.current.Load()
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.FleetCAs, ServerName: host}
	if m.Certificate != nil {
		config.Certificates = []tls.Certificate{*m.Certificate}
	}
	dialer := &tls.Dialer{Config: config}
	return dialer.DialContext(ctx, network, address)
}

// RequireMember passes on only requests of members. The handshake has checked
// the certificate once; here it is checked again against the keys in force
// now, so that a CA that was withdrawn or a certificate that has expired ends
// what an open connection may do.
func (k *Keyring) RequireMember(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leaf := leafOf(r)
		if leaf == nil || !hasUnit(leaf, RoleMember) || !k.vouches(leaf, r, RequireMemberCert) {
			http.Error(w, "a member's certificate is needed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Authenticate implements Identifier for operators: a bearer token goes before a
// certificate.
func (k *Keyring) Authenticate(r *http.Request) (Principal, error) {
	m := k.current.Load()
	if header := r.Header.Get("Authorization"); header != "" {
		token, isBearer := strings.CutPrefix(header, "Bearer ")
		if p, known := m.byToken(token); isBearer && known {
			return p, nil
		}
		return Principal{}, &UnauthenticatedError{Reason: "the token is not known"}
	}
	leaf := leafOf(r)
	if leaf == nil {
		return Principal{}, &UnauthenticatedError{Reason: "a bearer token or an operator's certificate is needed"}
	}
	if !k.vouches(leaf, r, AcceptOperatorCert) {
		return Principal{}, &UnauthenticatedError{Reason: "the certificate is not valid any more"}
	}
	for _, role := range []Role{RoleBreakGlass, RoleWrite, RoleRead} {
		if hasUnit(leaf, role) {
			return Principal{Name: leaf.Subject.CommonName, Role: role}, nil
		}
	}
	return Principal{}, &UnauthenticatedError{Reason: "the certificate names no operator's role"}
}

// HasOperators reports whether any operator is known.
func (k *Keyring) HasOperators() bool {
	m := k.current.Load()
	return m.OperatorCAs != nil || k.files.OperatorTokens != ""
}

func leafOf(r *http.Request) *x509.Certificate {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return nil
	}
	return r.TLS.PeerCertificates[0]
}

func hasUnit(leaf *x509.Certificate, role Role) bool {
	for _, unit := range leaf.Subject.OrganizationalUnit {
		if unit == unitPrefix+string(role) {
			return true
		}
	}
	return false
}

func (k *Keyring) vouches(leaf *x509.Certificate, r *http.Request, clients ClientAuth) bool {
	now := time.Now()
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return false
	}
	m := k.current.Load()
	roots := m.OperatorCAs
	if clients == RequireMemberCert {
		roots = m.FleetCAs
	}
	if roots == nil {
		return false
	}
	fingerprint := sha256.Sum256(append([]byte{byte(clients)}, leaf.Raw...))
	k.mu.Lock()
	known := k.verified[fingerprint] == m
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
	if len(k.verified) >= maxVerified {
		clear(k.verified)
	}
	k.verified[fingerprint] = m
	return true
}
