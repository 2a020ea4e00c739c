package cli_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/cli"
	"auburnglade.example/glade/internal/daemon"
	"auburnglade.example/glade/internal/supervise"
)

type fakeDaemon struct{ err error }

func (d fakeDaemon) Run(context.Context) error { return d.err }

// result is the outcome of one run of a program.
type result struct {
	code     int
	out, err string
	built    bool
}

func runController(t *testing.T, runErr error, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	var r result
	r.code = cli.Run(context.Background(), args, &out, &errOut, cli.Program[daemon.ControllerSettings]{
		Name: "glade-controller", Defaults: daemon.DefaultControllerSettings,
		Build: func(context.Context, *daemon.ControllerSettings, io.Writer) (cli.Daemon, error) {
			r.built = true
			return fakeDaemon{runErr}, nil
		},
	})
	r.out, r.err = out.String(), errOut.String()
	return r
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "controller.ini")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// fillEmpty sets the first empty value of each given key and allows plain HTTP.
func fillEmpty(text string, values map[string]string) string {
	for key, value := range values {
		text = strings.Replace(text, "\n"+key+" = \n", "\n"+key+" = "+value+"\n", 1)
	}
	return strings.Replace(text, "insecure_http = false", "insecure_http = true", 1)
}

var requiredSettings = map[string]string{
	"id": "controller-1", "zone": "uppsala-1", "operators": "127.0.0.1:1",
	"peers": "127.0.0.1:2", "admin": "127.0.0.1:3", "url": "http://127.0.0.1:4",
}

func TestDefaultConfigIsValidOnceRequiredKeysAreSet(t *testing.T) {
	printed := runController(t, nil, "--print-default-config")
	must.Eq(t, cli.ExitOK, printed.code)
	bare := runController(t, nil, "--check-config", "--config", writeSettings(t, printed.out))
	must.Eq(t, cli.ExitSettings, bare.code)
	must.StrContains(t, bare.err, "controller.ini:")
	must.StrContains(t, bare.err, "[process] id: got \"\", want")
	filled := runController(t, nil, "--check-config", "--config", writeSettings(t, fillEmpty(printed.out, requiredSettings)))
	must.Eq(t, "", filled.err)
	must.Eq(t, cli.ExitOK, filled.code)
	must.False(t, filled.built)
}

// Without TLS keys a process would start and refuse every client, so missing keys
// are an error unless plain HTTP is enabled explicitly.
func TestKeysAreRequiredUnlessPlainHTTPIsEnabled(t *testing.T) {
	filled := fillEmpty(runController(t, nil, "--print-default-config").out, requiredSettings)
	secure := strings.Replace(filled, "insecure_http = true", "insecure_http = false", 1)
	r := runController(t, nil, "--check-config", "--config", writeSettings(t, secure))
	must.Eq(t, cli.ExitSettings, r.code)
	for _, key := range []string{"certificate", "private_key", "fleet_ca", "operator_tokens"} {
		must.StrContains(t, r.err, "[keys] "+key+": got \"\", want ")
	}
	missing := strings.Replace(filled, "operator_ca = \n", "operator_ca = none.pem\n", 1)
	r = runController(t, nil, "--check-config", "--config", writeSettings(t, missing))
	must.Eq(t, cli.ExitSettings, r.code)
	must.StrContains(t, r.err, "[keys] operator_ca: got \"none.pem\", want a good file: open none.pem")
}

func TestBadSettingsStartNothing(t *testing.T) {
	printed := runController(t, nil, "--print-default-config").out
	bad := strings.Replace(fillEmpty(printed, requiredSettings), "interval = 1s", "interval = soon", 1)
	r := runController(t, nil, "--config", writeSettings(t, bad))
	must.Eq(t, 2, r.code)
	must.False(t, r.built)
	must.StrContains(t, r.err, "[decide] interval: got \"soon\", want a positive duration")
}

func TestExitCodes(t *testing.T) {
	good := writeSettings(t, fillEmpty(runController(t, nil, "--print-default-config").out, requiredSettings))
	must.Eq(t, cli.ExitOK, runController(t, nil, "--config", good).code)
	must.Eq(t, cli.ExitFailed, runController(t, io.ErrUnexpectedEOF, "--config", good).code)
	must.Eq(t, cli.ExitPartFailed, runController(t, &supervise.PartFailedError{Part: "feed", Cause: "gone"}, "--config", good).code)
	must.Eq(t, cli.ExitSettings, runController(t, nil).code)
	must.Eq(t, cli.ExitSettings, runController(t, nil, "--no-such-flag").code)
	must.Eq(t, cli.ExitSettings, runController(t, nil, "--config", "none.ini").code)
	version := runController(t, nil, "--version")
	must.Eq(t, cli.ExitOK, version.code)
	must.StrContains(t, version.out, "glade-controller ")
	must.False(t, version.built)
}
