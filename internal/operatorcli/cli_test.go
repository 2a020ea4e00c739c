package operatorcli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/operatorcli"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

type laggingMembers []string

func (l *laggingMembers) Lagging(context.Context, store.Revision) []string { return *l }

// deployment is one controller with its store, operated through gladectl.
type deployment struct {
	t       *testing.T
	store   *memstore.Store
	feed    *configfeed.Feed
	lagging *laggingMembers
	url     string
	dir     string
	// before, when set, runs before each request, to race with it.
	before atomic.Pointer[func(*http.Request)]
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	s := memstore.New()
	f := configfeed.New(s, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	d := &deployment{t: t, store: s, feed: f, lagging: &laggingMembers{}, dir: t.TempDir()}
	deletions := operatorapi.NewDeletionLog(f)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = deletions.Serve(ctx) }()
	t.Cleanup(stop)
	recorder := audit.NewRecorder(audit.Config{Store: s, Member: "controller-1", Log: zerolog.Nop()})
	api := operatorapi.New(operatorapi.Config{Audit: recorder, Store: s, Feed: f, Confirmer: d.lagging, Deletions: deletions, Authenticator: auth.AllowAll{}, Log: zerolog.Nop()})
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if before := d.before.Load(); before != nil {
			(*before)(r)
		}
		api.ServeHTTP(w, r)
		d.sync()
	}))
	t.Cleanup(front.Close)
	d.url = front.URL
	return d
}

func (d *deployment) sync() {
	listing, err := d.store.List(context.Background(), storekeys.SharedPrefix)
	if err == nil {
		d.feed.Install(configstate.FromListing(d.feed.Snapshot(), listing))
	}
}

// run runs gladectl and checks its exit code.
func (d *deployment) run(code int, args ...string) (out, errOut string) {
	d.t.Helper()
	var stdout, stderr bytes.Buffer
	got := operatorcli.Run(d.t.Context(), append([]string{"--server", d.url}, args...), &stdout, &stderr)
	must.Eq(d.t, code, got, must.Sprintf("%v: %s%s", args, stdout.String(), stderr.String()))
	return stdout.String(), stderr.String()
}

// file writes records to a file and returns its name.
func (d *deployment) file(envelopes ...record.Envelope) string {
	d.t.Helper()
	var text bytes.Buffer
	for _, envelope := range envelopes {
		must.NoError(d.t, json.NewEncoder(&text).Encode(envelope))
	}
	name := filepath.Join(d.dir, "records.json")
	must.NoError(d.t, os.WriteFile(name, text.Bytes(), 0o600))
	return name
}

// put writes directly into the store, like a concurrent operator.
func (d *deployment) put(key string, value any) {
	d.t.Helper()
	data, err := json.Marshal(value)
	must.NoError(d.t, err)
	var expect store.Revision
	if entry, err := d.store.Get(context.Background(), key); err == nil {
		expect = entry.ModRevision
	}
	_, err = d.store.CompareAndSwap(context.Background(), store.SwapRequest{Key: key, Expect: expect, Value: data})
	must.NoError(d.t, err)
	d.sync()
}

func pool(size int) record.Envelope { return record.NewEnvelope("a", &record.Pool{Size: size}) }

func kernel(spec record.Wave) record.Envelope {
	spec.Pools = []string{"a"}
	return record.NewEnvelope("kernel", &spec)
}

func TestExitCodes(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1)))
	d.run(operatorcli.ExitOK, "--help")
	d.run(operatorcli.ExitOK, "--version")
	d.run(operatorcli.ExitUsage, "no-such-command")
	d.run(operatorcli.ExitUsage, "get", "Pool")
	d.run(operatorcli.ExitInvalid, "apply", "none.json")
	d.run(operatorcli.ExitInvalid, "apply", d.file(pool(-1)))
	d.run(operatorcli.ExitNotFound, "get", "Pool", "b")
	d.run(operatorcli.ExitNotFound, "explain", "Host", "none")
	d.run(operatorcli.ExitNotFound, "pause", "none")
	d.run(operatorcli.ExitConflict, "apply", "--if-revision", "99", d.file(pool(2)))
	d.run(operatorcli.ExitDiffers, "diff", d.file(pool(2)))
	d.run(operatorcli.ExitOK, "diff", d.file(pool(1)))
	d.run(operatorcli.ExitInvalid, "plan", d.file(pool(-1)))
	*d.lagging = laggingMembers{"gateway-1"}
	d.run(operatorcli.ExitTimeout, "wait", "--revision", "1", "--timeout", "1ms")
	d.store.SetDown(true)
	d.run(operatorcli.ExitUnreachable, "apply", d.file(pool(3)))
	d.url = "http://127.0.0.1:1"
	d.run(operatorcli.ExitUnreachable, "list")
}

// Another operator changes the record between this operator's read and write.
// This operator must get a conflict that lists the changed fields, and the
// other change must be preserved.
func TestConflictShowsWhatTheOtherOperatorChanged(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1)))
	other := pool(7)
	other.Author = "astrid"
	race := func(r *http.Request) {
		if r.Method == http.MethodPut {
			d.before.Store(nil)
			d.put(storekeys.Spec(other.ID()), other)
		}
	}
	d.before.Store(&race)
	_, errOut := d.run(operatorcli.ExitConflict, "apply", d.file(pool(2)))
	must.StrContains(t, errOut, "astrid changed it (revision 3)")
	must.StrContains(t, errOut, "-spec.size = 1")
	must.StrContains(t, errOut, "+spec.size = 7")
	out, _ := d.run(operatorcli.ExitOK, "get", "Pool", "a")
	must.StrContains(t, out, `"size": 7`)
}

// A wave is paused while another operator amends it. The pause must be retried
// on the amended version, and both changes and a field unknown to this build
// must be preserved.
func TestAmendmentKeepsOthersChangesAndUnknownFields(t *testing.T) {
	d := newDeployment(t)
	d.put(storekeys.Spec(pool(1).ID()), pool(1))
	stored := kernel(record.Wave{})
	stored.Spec = json.RawMessage(`{"pools":["a"],"colour":{"deep":1}}`)
	d.put(storekeys.Spec(stored.ID()), stored)
	race := func(r *http.Request) {
		if r.Method == http.MethodPut {
			d.before.Store(nil)
			stored.Spec = json.RawMessage(`{"pools":["a"],"colour":{"deep":2},"maxParallel":3}`)
			d.put(storekeys.Spec(stored.ID()), stored)
		}
	}
	d.before.Store(&race)
	d.run(operatorcli.ExitOK, "pause", "kernel")
	d.run(operatorcli.ExitOK, "cancel", "kernel")
	d.run(operatorcli.ExitOK, "resume", "kernel")
	entry, err := d.store.Get(t.Context(), storekeys.Spec(stored.ID()))
	must.NoError(t, err)
	envelope, err := record.ParseEnvelope(entry.Value)
	must.NoError(t, err)
	must.EqJSON(t, `{"pools":["a"],"colour":{"deep":2},"maxParallel":3,"cancelled":true}`, string(envelope.Spec))
}

func TestResumeIgnoresFailuresOnlyOfAStoppedWave(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1), kernel(record.Wave{Paused: true})))
	generation := func() int { return d.feed.Snapshot().Waves()["kernel"].ResumeGeneration }
	d.run(operatorcli.ExitOK, "resume", "kernel")
	must.Zero(t, generation())
	d.put(storekeys.Status(kernel(record.Wave{}).ID()), wave.Status{Wave: "kernel", Phase: wave.Stopped})
	d.run(operatorcli.ExitOK, "resume", "kernel")
	must.Eq(t, 1, generation())
}

func TestDrainCreatesAWaveOfOneHost(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1)))
	d.put(storekeys.Host("host-1"), hostrecord.Record{Host: "host-1", Pool: "a", Phase: hostrecord.Serving})
	d.put(storekeys.Host("host-2"), hostrecord.Record{Host: "host-2", Phase: hostrecord.Serving})
	d.run(operatorcli.ExitOK, "drain", "host-1", "--name", "one")
	spec := d.feed.Snapshot().Waves()["one"]
	must.True(t, spec.Covers("host-1"))
	must.False(t, spec.Covers("host-2"))
	must.Eq(t, []string{"a"}, spec.Pools)
	d.run(operatorcli.ExitFailed, "drain", "host-2")
	out, _ := d.run(operatorcli.ExitOK, "explain", "Host", "host-1")
	must.StrContains(t, out, `wave "one" will maintain it: the wave has not been planned yet`)
}

func TestApplyWaitNamesLaggingMembers(t *testing.T) {
	d := newDeployment(t)
	*d.lagging = laggingMembers{"gateway-2", "gateway-3"}
	_, errOut := d.run(operatorcli.ExitTimeout, "apply", "--wait", "--timeout", "1ms", d.file(pool(1)))
	must.StrContains(t, errOut, "not in force everywhere yet, behind: gateway-2, gateway-3")
	must.StrContains(t, errOut, "still behind: [gateway-2 gateway-3]")
	*d.lagging = nil
	d.run(operatorcli.ExitOK, "apply", "--wait", d.file(pool(2)))
}

func TestWaitWaveShowsProgressOnStandardError(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1), kernel(record.Wave{})))
	id := kernel(record.Wave{}).ID()
	d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: wave.Running, Hosts: 5, Maintained: 2, RemainingSeconds: 90})
	calls := 0
	finish := func(r *http.Request) {
		if calls++; calls == 2 {
			d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: wave.Finished, Hosts: 5, Maintained: 5})
		}
	}
	d.before.Store(&finish)
	out, errOut := d.run(operatorcli.ExitOK, "wait", "--wave", "kernel")
	must.StrContains(t, errOut, "wave kernel running: 2 of 5 hosts maintained, 0 out, 0 failed, about 1m30s left")
	must.StrContains(t, out, "wave kernel finished: 5 of 5")
}

// A running wave becomes blocked by the budgets, or stops because too many
// hosts failed, and makes no further progress by itself. The wait must return
// the halt; otherwise a pipeline hangs until its timeout, or continues as if
// the wave had ended.
func TestWaitWaveReturnsWhenTheWaveHalts(t *testing.T) {
	for _, phase := range []wave.Phase{wave.Blocked, wave.Stopped} {
		d := newDeployment(t)
		d.run(operatorcli.ExitOK, "apply", d.file(pool(1), kernel(record.Wave{})))
		id := kernel(record.Wave{}).ID()
		d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: wave.Running, Hosts: 5, Maintained: 2})
		calls := 0
		halt := func(*http.Request) {
			if calls++; calls == 2 {
				d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: phase, Reason: "none may go", Hosts: 5, Maintained: 2})
			}
		}
		d.before.Store(&halt)
		out, errOut := d.run(operatorcli.ExitHalted, "wait", "--wave", "kernel", "--timeout", "20s")
		must.Eq(t, 2, calls)
		must.StrContains(t, errOut, "wave kernel is "+string(phase)+": none may go")
		must.StrContains(t, out, "wave kernel "+string(phase)+": 2 of 5")
	}
}

// A wait right after a resume still reads the stopped status, because a
// controller updates the status a moment after the record has changed. The wait
// must not return on that stale status.
func TestWaitWaveIgnoresTheStaleStatusAfterAResume(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1), kernel(record.Wave{})))
	id := kernel(record.Wave{}).ID()
	d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: wave.Stopped, Hosts: 5})
	calls := 0
	goOn := func(*http.Request) {
		if calls++; calls == 3 {
			d.put(storekeys.Status(id), wave.Status{Wave: "kernel", Phase: wave.Finished, Hosts: 5, Maintained: 5})
		}
	}
	d.before.Store(&goOn)
	out, _ := d.run(operatorcli.ExitOK, "wait", "--wave", "kernel")
	must.StrContains(t, out, "wave kernel finished: 5 of 5")
}

func TestWatchPrintsDeletions(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1)))
	deleted := false
	race := func(r *http.Request) {
		if r.URL.Query().Get("after") != "0" && !deleted {
			deleted = true
			entry, err := d.store.Get(context.Background(), storekeys.Spec(pool(1).ID()))
			must.NoError(t, err)
			_, err = d.store.CompareAndSwap(context.Background(), store.SwapRequest{Key: entry.Key, Expect: entry.ModRevision, Delete: true})
			must.NoError(t, err)
			d.sync()
		}
	}
	d.before.Store(&race)
	out, _ := d.run(operatorcli.ExitOK, "watch", "--count", "2")
	must.StrContains(t, out, "Pool/a at revision 2")
	must.StrContains(t, out, "Pool/a deleted, seen at revision 3")
}

func TestStatusAndPlan(t *testing.T) {
	d := newDeployment(t)
	service := record.NewEnvelope("a", &record.Service{PathPrefix: "/a/", Port: 1})
	served := record.NewEnvelope("a", &record.Pool{Size: 2, Services: []string{"a"}})
	budget := record.NewEnvelope("a", &record.Budget{Service: "a", MinAvailable: 1})
	d.run(operatorcli.ExitOK, "apply", d.file(service, served, budget))
	for _, host := range []string{"host-1", "host-2"} {
		d.put(storekeys.Host(host), hostrecord.Record{Host: host, Pool: "a", Phase: hostrecord.Serving})
	}
	d.put(storekeys.Spec(record.ID{Kind: record.KindPool, Name: "bad"}), "nonsense")
	out, _ := d.run(operatorcli.ExitOK, "status")
	must.StrContains(t, out, "a        a      2/2        1       none    0        1 above budget")
	must.StrContains(t, out, "REJECTED Pool/bad")
	out, _ = d.run(operatorcli.ExitOK, "plan", d.file(kernel(record.Wave{})))
	must.StrContains(t, out, "MaintenanceWave/kernel would be created")
	must.StrContains(t, out, "wave kernel: 2 of 2 hosts, then finished")
	must.StrContains(t, out, "most out       1 hosts at once")
	_, err := d.store.Get(t.Context(), storekeys.Spec(kernel(record.Wave{}).ID()))
	must.True(t, store.IsNotFound(err))
	out, _ = d.run(operatorcli.ExitOK, "explain", "AvailabilityBudget", "a")
	must.StrContains(t, out, "service a: 2 of 2 endpoints available, 1 needed")
}

func TestStopWavesPausesAllAndIsAuditedAsBreakGlass(t *testing.T) {
	d := newDeployment(t)
	second := kernel(record.Wave{MaxParallel: 2})
	second.Name = "firmware"
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1), kernel(record.Wave{}), second))
	d.run(operatorcli.ExitOK, "stop-waves")
	for name, spec := range d.feed.Snapshot().Waves() {
		must.True(t, spec.Paused, must.Sprint(name))
	}
	out, _ := d.run(operatorcli.ExitOK, "audit", "MaintenanceWave", "firmware", "--fields")
	must.StrContains(t, out, "put BREAKING GLASS")
	must.StrContains(t, out, "+spec.paused = true")
	must.StrContains(t, out, "anyone at 127.0.0.1")
	must.StrNotContains(t, out, "MaintenanceWave/kernel")
	out, _ = d.run(operatorcli.ExitOK, "audit", "--author", "nobody")
	must.StrNotContains(t, out, "Pool")
}

func TestCompletionOffersCommandsKindsAndNames(t *testing.T) {
	d := newDeployment(t)
	d.run(operatorcli.ExitOK, "apply", d.file(pool(1)))
	t.Setenv("GLADE_SERVER", d.url)
	complete := func(words ...string) []string {
		var out bytes.Buffer
		must.Zero(t, operatorcli.Run(t.Context(), append([]string{"--complete", "--"}, words...), &out, &out))
		return strings.Fields(out.String())
	}
	must.SliceContains(t, complete(), "explain")
	must.SliceContains(t, complete("get"), "Pool")
	must.SliceContains(t, complete("get", "Pool"), "a")
	must.SliceContains(t, complete("explain"), "Host")
	must.SliceContains(t, complete("wait"), "--wave")
	must.SliceContains(t, complete("completion"), "fish")
	for _, shell := range []string{"bash", "zsh", "fish"} {
		out, _ := d.run(operatorcli.ExitOK, "completion", shell)
		must.StrContains(t, out, "gladectl --complete --")
	}
}
