package auth_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/auth/devca"
)

var loopback = net.IPv4(127, 0, 0, 1)

func newCA(t *testing.T, name string) *devca.CA {
	t.Helper()
	ca, err := devca.New(name)
	must.NoError(t, err)
	return ca
}

func issue(t *testing.T, ca *devca.CA, name string, role auth.Role, notAfter time.Time) devca.KeyPair {
	t.Helper()
	pair, err := ca.Issue(name, role, notAfter, loopback)
	must.NoError(t, err)
	return pair
}

// keyFiles is a directory with the key files of one process.
type keyFiles struct {
	t *testing.T
	auth.KeyFiles
}

func newFiles(t *testing.T) *keyFiles {
	dir := t.TempDir()
	return &keyFiles{t: t, KeyFiles: auth.KeyFiles{
		Certificate: filepath.Join(dir, "cert.pem"), PrivateKey: filepath.Join(dir, "key.pem"),
		FleetCA: filepath.Join(dir, "fleet.pem"), OperatorCA: filepath.Join(dir, "operators.pem"),
		OperatorTokens: filepath.Join(dir, "tokens"),
	}}
}

func (f *keyFiles) write(file string, data []byte) {
	f.t.Helper()
	must.NoError(f.t, os.WriteFile(file, data, 0o600))
}

func (f *keyFiles) pair(pair devca.KeyPair) {
	f.write(f.Certificate, pair.Certificate)
	f.write(f.PrivateKey, pair.Key)
}

func (f *keyFiles) keyring() *auth.Keyring {
	f.t.Helper()
	k, err := auth.NewKeyring(f.KeyFiles, time.Hour, zerolog.Nop(), nil)
	must.NoError(f.t, err)
	return k
}

func tokenLine(name string, role auth.Role, token string) []byte {
	sum := sha256.Sum256([]byte(token))
	return []byte(name + " " + string(role) + " " + hex.EncodeToString(sum[:]) + "\n")
}

// newMember returns the files of a member of the fleet.
func newMember(t *testing.T, fleet, operators *devca.CA, name string) *keyFiles {
	f := newFiles(t)
	f.pair(issue(t, fleet, name, auth.RoleMember, time.Time{}))
	f.write(f.FleetCA, fleet.PEM)
	f.write(f.OperatorCA, operators.PEM)
	f.write(f.OperatorTokens, tokenLine("astrid", auth.RoleWrite, "secret"))
	return f
}

func serve(t *testing.T, k *auth.Keyring, clients auth.ClientAuth, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.TLS = k.ServerTLS(clients)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

// testTimeout limits a call of a test. It is long enough that a busy machine
// doesn't reach it.
const testTimeout = time.Minute

func memberClient(t *testing.T, k *auth.Keyring) *http.Client {
	transport := &http.Transport{DialTLSContext: k.DialTLS}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

func status(client *http.Client, url string, header ...string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	if len(header) == 2 {
		request.Header.Set(header[0], header[1])
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

var okHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// whoami responds with the operator's name and role, or with 401.
func whoami(k *auth.Keyring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, err := k.Authenticate(r)
		if err != nil {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("Who", p.Name+" "+string(p.Role))
	})
}

func TestMembersRequireACertificateOfTheFleet(t *testing.T) {
	fleet, unrelated, operators := newCA(t, "fleet"), newCA(t, "stranger"), newCA(t, "operators")
	server := newMember(t, fleet, operators, "controller-1").keyring()
	url := serve(t, server, auth.RequireMemberCert, server.RequireMember(okHandler))

	code, err := status(memberClient(t, newMember(t, fleet, operators, "gateway-1").keyring()), url)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, code)

	// The client trusts the server, but its own certificate is from another CA.
	otherCA := newMember(t, fleet, operators, "x")
	otherCA.pair(issue(t, unrelated, "gateway-1", auth.RoleMember, time.Time{}))
	_, err = status(memberClient(t, otherCA.keyring()), url)
	must.Error(t, err)

	// The certificate is from the right CA but expired.
	expired := newMember(t, fleet, operators, "x")
	expired.pair(issue(t, fleet, "gateway-1", auth.RoleMember, time.Now().Add(-time.Minute)))
	_, err = status(memberClient(t, expired.keyring()), url)
	must.Error(t, err)

	// The certificate is from the right CA but has an operator's role.
	operator := newMember(t, fleet, operators, "x")
	operator.pair(issue(t, fleet, "astrid", auth.RoleBreakGlass, time.Time{}))
	code, err = status(memberClient(t, operator.keyring()), url)
	must.NoError(t, err)
	must.Eq(t, http.StatusForbidden, code)

	// The client doesn't trust the server's CA.
	distrusting := newMember(t, unrelated, operators, "x")
	_, err = status(memberClient(t, distrusting.keyring()), url)
	must.Error(t, err)
}

func operatorClient(t *testing.T, fleet *devca.CA, pair *devca.KeyPair) *http.Client {
	f := newFiles(t)
	f.Certificate, f.PrivateKey, f.OperatorCA, f.OperatorTokens = "", "", "", ""
	f.write(f.FleetCA, fleet.PEM)
	if pair != nil {
		f.Certificate, f.PrivateKey = filepath.Join(t.TempDir(), "c"), filepath.Join(t.TempDir(), "k")
		f.pair(*pair)
	}
	return memberClient(t, f.keyring())
}

func TestOperatorsAuthenticateByTokenOrCertificate(t *testing.T) {
	fleet, operators := newCA(t, "fleet"), newCA(t, "operators")
	k := newMember(t, fleet, operators, "controller-1").keyring()
	url := serve(t, k, auth.AcceptOperatorCert, whoami(k))
	bare := operatorClient(t, fleet, nil)
	check := func(client *http.Client, want int, header ...string) {
		t.Helper()
		code, err := status(client, url, header...)
		must.NoError(t, err)
		must.Eq(t, want, code)
	}
	check(bare, http.StatusUnauthorized)
	check(bare, http.StatusOK, "Authorization", "Bearer secret")
	check(bare, http.StatusUnauthorized, "Authorization", "Bearer guess")
	check(bare, http.StatusUnauthorized, "Authorization", "secret")
	pair := issue(t, operators, "bengt", auth.RoleRead, time.Time{})
	check(operatorClient(t, fleet, &pair), http.StatusOK)
	roleless := issue(t, operators, "carl", "guest", time.Time{})
	check(operatorClient(t, fleet, &roleless), http.StatusUnauthorized)
	// A member's certificate must not authenticate an operator, even from the
	// operators' CA.
	member := issue(t, operators, "gateway-1", auth.RoleMember, time.Time{})
	check(operatorClient(t, fleet, &member), http.StatusUnauthorized)
	foreign := issue(t, fleet, "dora", auth.RoleWrite, time.Time{})
	check(operatorClient(t, fleet, &foreign), http.StatusUnauthorized)
}

func TestRolesInclude(t *testing.T) {
	must.True(t, auth.RoleBreakGlass.Allows(auth.RoleWrite))
	must.True(t, auth.RoleWrite.Allows(auth.RoleRead))
	must.False(t, auth.RoleRead.Allows(auth.RoleWrite))
	must.False(t, auth.RoleWrite.Allows(auth.RoleBreakGlass))
	must.False(t, auth.RoleMember.Allows(auth.RoleRead))
	must.False(t, auth.RoleNone.Allows(auth.RoleRead))
}

// An operator's CA is withdrawn and a token removed while connections are open.
// Further requests on these connections must be refused; a check at the
// handshake only would permit them for hours.
func TestReloadRevokesAccessOfOpenConnections(t *testing.T) {
	fleet, operators, next := newCA(t, "fleet"), newCA(t, "operators"), newCA(t, "next")
	files := newMember(t, fleet, operators, "controller-1")
	k := files.keyring()
	url := serve(t, k, auth.AcceptOperatorCert, whoami(k))
	pair := issue(t, operators, "bengt", auth.RoleRead, time.Time{})
	withCertificate, withToken := operatorClient(t, fleet, &pair), operatorClient(t, fleet, nil)
	expect := func(want int) {
		t.Helper()
		code, err := status(withCertificate, url)
		must.NoError(t, err)
		must.Eq(t, want, code)
		code, err = status(withToken, url, "Authorization", "Bearer secret")
		must.NoError(t, err)
		must.Eq(t, want, code)
	}
	expect(http.StatusOK)
	files.write(files.OperatorCA, next.PEM)
	files.write(files.OperatorTokens, tokenLine("astrid", auth.RoleWrite, "other"))
	expect(http.StatusOK)
	must.Eq(t, "", k.Reload(""))
	expect(http.StatusUnauthorized)
}

// A reload finds only half of a new key pair, or invalid content. The last
// valid keys must stay active and the reason must be returned. The new pair
// must be loaded once it is complete.
func TestInvalidFilesLeaveLastValidKeysActive(t *testing.T) {
	fleet, operators := newCA(t, "fleet"), newCA(t, "operators")
	files := newMember(t, fleet, operators, "controller-1")
	k := files.keyring()
	url := serve(t, k, auth.RequireMemberCert, k.RequireMember(okHandler))
	peer := newMember(t, fleet, operators, "gateway-1").keyring()
	reachable := func() {
		t.Helper()
		code, err := status(memberClient(t, peer), url)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, code)
	}
	fresh := issue(t, fleet, "controller-1", auth.RoleMember, time.Time{})
	files.write(files.Certificate, fresh.Certificate)
	must.StrContains(t, k.Reload(""), "certificate")
	reachable()
	files.write(files.PrivateKey, fresh.Key)
	must.Eq(t, "", k.Reload(""))
	reachable()
	for _, malformed := range []string{"a b", "a write zz", "a king " + hex.EncodeToString(make([]byte, 32))} {
		files.write(files.OperatorTokens, []byte(malformed))
		must.StrContains(t, k.Reload(""), "line 1")
		_, err := auth.Load(files.KeyFiles)
		var bad *auth.FileError
		must.True(t, errors.As(err, &bad))
		must.Eq(t, "operator_tokens", bad.Setting)
	}
	must.NoError(t, os.Remove(files.FleetCA))
	must.StrContains(t, k.Reload(""), "fleet_ca")
	reachable()
}

// Certificates and their CA are rotated repeatedly, with old and new CA
// overlapping, while members call each other on new connections. No call may
// fail.
func TestReloadUnderTraffic(t *testing.T) {
	first, operators := newCA(t, "fleet-0"), newCA(t, "operators")
	serverFiles, clientFiles := newMember(t, first, operators, "controller-1"), newMember(t, first, operators, "gateway-1")
	server, client := serverFiles.keyring(), clientFiles.keyring()
	url := serve(t, server, auth.RequireMemberCert, server.RequireMember(okHandler))
	ctx, stop := context.WithCancel(t.Context())
	var traffic sync.WaitGroup
	calls := make([]atomic.Int64, 4)
	failures := make([]error, len(calls))
	var failed atomic.Bool
	for i := range calls {
		traffic.Go(func() {
			for ctx.Err() == nil && !failed.Load() {
				transport := &http.Transport{DialTLSContext: client.DialTLS, DisableKeepAlives: i%2 == 0}
				code, err := status(&http.Client{Transport: transport}, url)
				transport.CloseIdleConnections()
				if err == nil && code != http.StatusOK {
					err = &auth.UnauthenticatedError{Reason: http.StatusText(code)}
				}
				failures[i] = err
				if err != nil {
					failed.Store(true)
				}
				calls[i].Add(1)
			}
		})
	}
	// waitForCalls waits until every caller has finished the call that it had
	// in progress, like operators who wait between the steps of a rotation.
	waitForCalls := func() {
		for i := range calls {
			for before := calls[i].Load(); calls[i].Load() < before+2 && !failed.Load(); {
				runtime.Gosched()
			}
		}
	}
	old := first
	for range 5 {
		next := newCA(t, "fleet-n")
		both := append(append([]byte{}, old.PEM...), next.PEM...)
		for _, f := range []*keyFiles{serverFiles, clientFiles} {
			f.write(f.FleetCA, both)
		}
		must.Eq(t, "", server.Reload("")+client.Reload(""))
		waitForCalls()
		for _, f := range []*keyFiles{serverFiles, clientFiles} {
			f.pair(issue(t, next, "member", auth.RoleMember, time.Time{}))
		}
		must.Eq(t, "", server.Reload("")+client.Reload(""))
		waitForCalls()
		old = next
	}
	stop()
	traffic.Wait()
	for i := range calls {
		must.NoError(t, failures[i])
		must.Positive(t, calls[i].Load())
	}
}

// The metric must show the expiry of the active certificate, also after a
// reload, because operators alert on it.
func TestExpiryMetricIsThatOfTheActiveCertificate(t *testing.T) {
	fleet, operators := newCA(t, "fleet"), newCA(t, "operators")
	files := newMember(t, fleet, operators, "controller-1")
	registry := prometheus.NewRegistry()
	k, err := auth.NewKeyring(files.KeyFiles, time.Hour, zerolog.Nop(), registry)
	must.NoError(t, err)
	shown := func() float64 {
		families, err := registry.Gather()
		must.NoError(t, err)
		for _, family := range families {
			if family.GetName() == "glade_certificate_expires_timestamp_seconds" {
				return family.GetMetric()[0].GetGauge().GetValue()
			}
		}
		return -1
	}
	must.Positive(t, shown())
	ends := time.Now().Add(90 * time.Minute)
	files.pair(issue(t, fleet, "controller-1", auth.RoleMember, ends))
	must.Eq(t, "", k.Reload(""))
	must.Eq(t, float64(ends.Unix()), shown())
}

func TestOnlyTLS13(t *testing.T) {
	fleet, operators := newCA(t, "fleet"), newCA(t, "operators")
	k := newMember(t, fleet, operators, "controller-1").keyring()
	url := serve(t, k, auth.AcceptOperatorCert, okHandler)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}}}
	_, err := status(client, url)
	must.Error(t, err)
}
