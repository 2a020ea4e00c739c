package devrun

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/auth/devca"
	"auburnglade.example/glade/internal/daemon"
	"auburnglade.example/glade/internal/operatorapi"
)

// keyStore holds a run's CA in memory and its keys in a temporary directory. A nil
// keyStore means plain HTTP.
type keyStore struct {
	dir string
	ca  *devca.CA
}

const (
	caFile            = "ca.pem"
	tokensFile        = "operator_tokens"
	tokenFile         = "token"
	keyReloadInterval = time.Second
)

func newKeyStore() (*keyStore, error) {
	dir, err := os.MkdirTemp("", "glade-dev-keys-")
	if err != nil {
		return nil, err
	}
	ca, err := devca.New("glade-dev")
	if err != nil {
		return nil, err
	}
	k := &keyStore{dir: dir, ca: ca}
	token := make([]byte, sha256.Size)
	if _, err := rand.Read(token); err != nil {
		return nil, err
	}
	text := hex.EncodeToString(token)
	sum := sha256.Sum256([]byte(text))
	line := "dev " + string(auth.RoleBreakGlass) + " " + hex.EncodeToString(sum[:]) + "\n"
	for name, data := range map[string]string{caFile: string(ca.PEM), tokenFile: text, tokensFile: line} {
		if err := k.write(name, []byte(data)); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func (k *keyStore) path(name string) string { return filepath.Join(k.dir, name) }

func (k *keyStore) write(name string, data []byte) error {
	return os.WriteFile(k.path(name), data, 0o600)
}

// settingsFor returns the authentication settings of a process, and issues a
// certificate for its address.
func (k *keyStore) settingsFor(process string, address netip.AddrPort) daemon.AuthSettings {
	if k == nil {
		return daemon.AuthSettings{InsecureHTTP: true, Reload: keyReloadInterval}
	}
	s := daemon.AuthSettings{
		Certificate: k.path(process + ".pem"), PrivateKey: k.path(process + ".key"),
		FleetCA: k.path(caFile), OperatorTokens: k.path(tokensFile), Reload: keyReloadInterval,
	}
	pair, err := k.ca.Issue(process, auth.RoleMember, time.Time{}, net.IP(address.Addr().AsSlice()))
	if err == nil {
		err = k.write(process+".pem", pair.Certificate)
	}
	if err == nil {
		err = k.write(process+".key", pair.Key)
	}
	if err != nil {
		// The process reports the missing file when it starts.
		s.Certificate = k.path(process + ".pem")
	}
	return s
}

// client returns a client for the controllers at the addresses.
func (k *keyStore) client(addresses []string) (*operatorapi.Client, error) {
	scheme := "https://"
	if k == nil {
		scheme = "http://"
	}
	bases := make([]string, len(addresses))
	for i, address := range addresses {
		bases[i] = scheme + address
	}
	client := operatorapi.NewClient(bases...)
	if k == nil {
		return client, nil
	}
	return client, client.SetCredentials(operatorapi.Credentials{CA: k.path(caFile), TokenFile: k.path(tokenFile)})
}

// balancerTLS returns the balancer's TLS configuration for the admin interfaces;
// nil means plain HTTP.
func (k *keyStore) balancerTLS() *tls.Config {
	if k == nil {
		return nil
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(k.ca.PEM)
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
}

func (k *keyStore) remove() {
	if k != nil {
		// Files that cannot be removed remain in the system's temporary
		// directory.
		_ = os.RemoveAll(k.dir)
	}
}

// curlPrefix returns the curl arguments up to the host of the URL, with an opening
// quote.
func (k *keyStore) curlPrefix() string {
	if k == nil {
		return `"http://`
	}
	return "--cacert " + k.path(caFile) + ` "https://`
}

// gladectlExports returns the shell command that sets gladectl's environment for
// the deployment.
func (k *keyStore) gladectlExports(address string) string {
	if k == nil {
		return "export GLADE_SERVER=http://" + address
	}
	return "export GLADE_SERVER=https://" + address + " GLADE_CA=" + k.path(caFile) + " GLADE_TOKEN_FILE=" + k.path(tokenFile)
}
