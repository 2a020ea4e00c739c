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

// AuthSettings configure how this process authenticates itself to others, and how
// it authenticates members and operators.
type AuthSettings struct {
	Certificate    string        `ini:"certificate" help:"PEM file of this process's certificate, with the organizational unit glade-member and its IP numbers."`
	PrivateKey     string        `ini:"private_key" help:"PEM file of its private key."`
	FleetCA        string        `ini:"fleet_ca" help:"PEM file of the CAs whose certificates members carry."`
	OperatorCA     string        `ini:"operator_ca" help:"PEM file of the CAs whose certificates operators carry. Empty takes none."`
	OperatorTokens string        `ini:"operator_tokens" help:"File with a line per operator: name, role, SHA-256 of the token. Empty takes none."`
	Reload         time.Duration `ini:"reload" help:"How often the files are looked at."`
	InsecureHTTP   bool          `ini:"insecure_http" help:"Speak plain HTTP with operators and peers, and let everybody do everything when no operator is named above. For tests only."`
}

func defaultAuth() AuthSettings { return AuthSettings{Reload: auth.DefaultReloadInterval} }

func (k AuthSettings) files() auth.KeyFiles {
	files := auth.KeyFiles{
		Certificate: k.Certificate, PrivateKey: k.PrivateKey, FleetCA: k.FleetCA,
		OperatorCA: k.OperatorCA, OperatorTokens: k.OperatorTokens,
	}
	return files
}

const authSection = "keys"

// check returns an error for each setting that is missing and for a file that
// cannot be loaded. Without this check a process would start and then refuse every
// peer and operator.
func (k AuthSettings) check(operators bool) settings.Errors {
	var problems settings.Errors
	addProblem := func(key, got, want string) {
		problems = append(problems, &settings.Error{Section: authSection, Key: key, Got: got, Want: want})
	}
	if !k.InsecureHTTP {
		required := map[string]string{"certificate": k.Certificate, "private_key": k.PrivateKey, "fleet_ca": k.FleetCA}
		for key, file := range required {
			if file == "" {
				addProblem(key, "", "a PEM file, or insecure_http = true for a test")
			}
		}
		if operators && k.OperatorCA == "" && k.OperatorTokens == "" {
			addProblem("operator_tokens", "", "this or operator_ca, or no operator could do anything")
		}
	}
	if len(problems) > 0 {
		return problems
	}
	var fileErr *auth.FileError
	if _, err := auth.Load(k.files()); errors.As(err, &fileErr) {
		addProblem(fileErr.Setting, fileErr.File, "a good file: "+fileErr.Cause.Error())
	}
	return problems
}

// Check implements settings.Checker.
func (s *GatewaySettings) Check() settings.Errors { return s.Auth.check(false) }

// Check implements settings.Checker.
func (s *ControllerSettings) Check() settings.Errors { return s.Auth.check(true) }

// trust holds a daemon's keys and how it authenticates peers and operators.
type trust struct {
	keyring  *auth.Keyring
	insecure bool
	log      zerolog.Logger
}

func newTrust(k AuthSettings, log zerolog.Logger, registerer prometheus.Registerer) (trust, error) {
	keyring, err := auth.NewKeyring(k.files(), k.Reload, log, registerer)
	return trust{keyring: keyring, insecure: k.InsecureHTTP, log: log}, err
}

// secure enables TLS on a server unless the settings select plain HTTP.
func (t trust) secure(server *httpserve.Server, clients auth.ClientAuth) *httpserve.Server {
	server = server.WithLog(t.log)
	if t.insecure {
		return server
	}
	return server.WithTLS(t.keyring.ServerTLS(clients))
}

// requireMember returns a handler that refuses requests of clients that are not
// members.
func (t trust) requireMember(next http.Handler) http.Handler {
	if t.insecure {
		return next
	}
	return t.keyring.RequireMember(next)
}

// peerOptions returns the options of a client for other members.
func (t trust) peerOptions() []peer.ClientOption {
	if t.insecure {
		return nil
	}
	return []peer.ClientOption{peer.WithTLSDialer(t.keyring.DialTLS)}
}

// dialTLS returns the dial function for TLS connections to other members; nil means
// plain HTTP.
func (t trust) dialTLS() func(ctx context.Context, network, address string) (net.Conn, error) {
	if t.insecure {
		return nil
	}
	return t.keyring.DialTLS
}

// operatorAuthenticator returns the authenticator for operators. With plain HTTP and
// no configured operators everyone is allowed; if operators are configured, their
// tokens are required with plain HTTP too.
func (t trust) operatorAuthenticator() auth.Authenticator {
	if t.insecure && !t.keyring.HasOperators() {
		return auth.AllowAll{}
	}
	return t.keyring
}
