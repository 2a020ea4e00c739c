package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/httpserve"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/settings"
)

// AuthSettings say how this process proves who it is, and whom it believes.
type AuthSettings struct {
	Certificate    string        `ini:"certificate" help:"PEM file of this process's certificate, with the organizational unit glade-member and its IP numbers."`
	PrivateKey     string        `ini:"private_key" help:"PEM file of its private key."`
	FleetCA        string        `ini:"fleet_ca" help:"PEM file of the CAs whose certificates members carry."`
	OperatorCA     string        `ini:"operator_ca" help:"PEM file of the CAs whose certificates operators carry. Empty takes none."`
	OperatorTokens string        `ini:"operator_tokens" help:"File with a line per operator: name, role, SHA-256 of the token. Empty takes none."`
	Reload         time.Duration `ini:"reload" help:"How often the files are looked at."`
	InsecureHTTP   bool          `ini:"insecure_http" help:"Speak plain HTTP with operators and peers, and let everybody do everything when no operator is named above. For tests only."`
}

func defaultKeys() AuthSettings { return AuthSettings{Reload: auth.DefaultReloadInterval} }

func (k AuthSettings) files() auth.Files {
	files := auth.Files{
		Certificate: k.Certificate, PrivateKey: k.PrivateKey, FleetCA: k.FleetCA,
		OperatorCA: k.OperatorCA, OperatorTokens: k.OperatorTokens,
	}
	return files
}

const keySection = "keys"

// check names what is missing or can't be read. Without it a process would
// start, and refuse every peer and operator.
func (k AuthSettings) check(operators bool) settings.Errors {
	var faults settings.Errors
	fault := func(key, got, want string) {
		faults = append(faults, &settings.Error{Section: keySection, Key: key, Got: got, Want: want})
	}
	if !k.InsecureHTTP {
		needed := map[string]string{"certificate": k.Certificate, "private_key": k.PrivateKey, "fleet_ca": k.FleetCA}
		for key, file := range needed {
			if file == "" {
				fault(key, "", "a PEM file, or insecure_http = true for a test")
			}
		}
		if operators && k.OperatorCA == "" && k.OperatorTokens == "" {
			fault("operator_tokens", "", "this or operator_ca, or no operator could do anything")
		}
	}
	if len(faults) > 0 {
		return faults
	}
	var bad *auth.FileError
	if _, err := auth.Load(k.files()); errors.As(err, &bad) {
		fault(bad.Setting, bad.File, "a good file: "+bad.Cause.Error())
	}
	return faults
}

// Check implements settings.Checker.
func (s *GatewaySettings) Check() settings.Errors { return s.Auth.check(false) }

// Check implements settings.Checker.
func (s *ControllerSettings) Check() settings.Errors { return s.Auth.check(true) }

// trust is what a daemon knows of keys.
type trust struct {
	keyring  *auth.Keyring
	insecure bool
	log      zerolog.Logger
}

func newTrust(k AuthSettings, log zerolog.Logger, registerer prometheus.Registerer) (trust, error) {
	keyring, err := auth.NewKeyring(k.files(), k.Reload, log, registerer)
	return trust{keyring: keyring, insecure: k.InsecureHTTP, log: log}, err
}

// secure puts TLS before a server, unless the settings ask for plain HTTP.
func (t trust) secure(server *httpserve.Server, clients auth.ClientAuth) *httpserve.Server {
	server = server.WithLog(t.log)
	if t.insecure {
		return server
	}
	return server.WithTLS(t.keyring.ServerTLS(clients))
}

// members lets only members through.
func (t trust) members(next http.Handler) http.Handler {
	if t.insecure {
		return next
	}
	return t.keyring.RequireMember(next)
}

// peers returns how a peer client reaches other members.
func (t trust) peers() []peer.ClientOption {
	if t.insecure {
		return nil
	}
	return []peer.ClientOption{peer.WithTLSDialer(t.keyring.DialTLS)}
}

// dialTLS returns how to reach other members over TLS; nil means plain HTTP.
func (t trust) dialTLS() func(ctx context.Context, network, address string) (net.Conn, error) {
	if t.insecure {
		return nil
	}
	return t.keyring.DialTLS
}

// operators tells operators apart. Plain HTTP without any operator named lets
// everybody in; with operators named their tokens are asked for all the same.
func (t trust) operators() auth.Authenticator {
	if t.insecure && !t.keyring.HasOperators() {
		return auth.AllowAll{}
	}
	return t.keyring
}
