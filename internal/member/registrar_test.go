package member_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

const ttl = 9 * time.Second

var self = member.Member{ID: "gateway-1-x", Role: member.RoleGateway, Zone: "a", PeerAddress: "10.0.0.1:7200", MaxSchema: 2}

// startRegistrar starts a registrar over s and returns it with a function that
// stops it.
func startRegistrar(s store.Store, m member.Member) (*member.Registrar, func()) {
	r := member.NewRegistrar(s, m, ttl, zerolog.Nop())
	return r, startServing(r)
}

// startServing runs r and returns a function that stops it.
func startServing(r *member.Registrar) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Serve(ctx) })
	return func() { cancel(); wait.Wait() }
}

func isRegistered(t *testing.T, s *memstore.Store, id string) bool {
	t.Helper()
	_, err := s.Get(t.Context(), storekeys.Member(id))
	return err == nil
}

// pausedStore blocks every lease renewal while the process is paused, like the
// calls of a suspended process. The channel holds a value during the pause.
type pausedStore struct {
	store.Store
	paused chan struct{}
}

func newPausedStore(s store.Store) *pausedStore {
	return &pausedStore{Store: s, paused: make(chan struct{}, 1)}
}

func (p *pausedStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	p.paused <- struct{}{}
	defer func() { <-p.paused }()
	return p.Store.KeepAlive(context.WithoutCancel(ctx), id)
}

func (p *pausedStore) pause()  { p.paused <- struct{}{} }
func (p *pausedStore) resume() { <-p.paused }

// A member must make three lease calls per TTL and hold one lease however long
// it runs, because the store's operator counts
// every call.
func TestHeartbeatRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		_, stop := startRegistrar(s, self)
		defer stop()
		time.Sleep(time.Second)
		before := s.Counts()
		time.Sleep(100 * ttl)
		after := s.Counts()
		must.Between(t, 290, after.LeaseCalls-before.LeaseCalls, 310)
		must.Eq(t, before.Writes, after.Writes)
		must.Eq(t, before.Reads, after.Reads)
	})
}

// The process is paused for longer than its lease. When it resumes, it must not
// regard itself as a member and its record must be gone; it registers again one
// heartbeat later.
func TestPausedMemberLosesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		paused := newPausedStore(s)
		r, stop := startRegistrar(paused, self)
		defer stop()
		time.Sleep(time.Second)
		must.True(t, r.LeaseValid())
		paused.pause()
		time.Sleep(2 * ttl)
		must.False(t, r.LeaseValid())
		must.False(t, isRegistered(t, s, self.ID))
		paused.resume()
		time.Sleep(ttl)
		must.True(t, r.LeaseValid())
		must.True(t, isRegistered(t, s, self.ID))
	})
}

// The store is unavailable for longer than the lease. The member must stop
// regarding itself as valid before the store drops its record, and must
// register again afterwards.
func TestOutageLongerThanTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		r, stop := startRegistrar(s, self)
		defer stop()
		time.Sleep(time.Second)
		s.SetDown(true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			gone := len(s.Backup().Keys()) == 0
			must.False(t, gone && r.LeaseValid())
		}
		must.False(t, r.LeaseValid())
		s.SetDown(false)
		time.Sleep(3 * time.Second)
		must.True(t, r.LeaseValid())
		must.True(t, isRegistered(t, s, self.ID))
	})
}

// The response to the registration is lost after the write took effect. The
// member registers again under another lease, and the expiry of the first lease
// must not remove the record.
func TestLostResponseToRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.LoseResponses(1)
		r, stop := startRegistrar(s, self)
		defer stop()
		time.Sleep(3 * ttl)
		must.True(t, r.LeaseValid())
		must.True(t, isRegistered(t, s, self.ID))
	})
}

// A host is replaced: the new process has the settings of the old one, whose
// record still exists. Both are members until the old lease expires, because
// the old process may still be running and serving.
func TestReplacedHostIsAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		paused := newPausedStore(s)
		_, stopOld := startRegistrar(paused, self)
		time.Sleep(time.Second)
		paused.pause()
		next := self
		next.ID = "gateway-1-y"
		_, stop := startRegistrar(s, next)
		defer stop()
		time.Sleep(time.Second)
		must.True(t, isRegistered(t, s, self.ID))
		must.True(t, isRegistered(t, s, next.ID))
		time.Sleep(ttl)
		must.False(t, isRegistered(t, s, self.ID))
		must.True(t, isRegistered(t, s, next.ID))
		paused.resume()
		stopOld()
	})
}

// A process may take part once it serves the configuration as of its own
// registration, and unregistered while the store is unavailable.
func TestReadyAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetDown(true)
		r := member.NewRegistrar(s, self, ttl, zerolog.Nop())
		must.False(t, r.ReadyAt(0), must.Sprint("before the first store call"))
		defer startServing(r)()
		time.Sleep(time.Second)
		must.True(t, r.ReadyAt(0))
		s.SetDown(false)
		time.Sleep(3 * time.Second)
		must.False(t, r.ReadyAt(0))
		must.True(t, r.ReadyAt(1))
	})
}

// A member of an older build, or one whose record can't be decoded, must block
// the newer schema until it has left.
func TestSupportedSchema(t *testing.T) {
	entry := func(id, value string, revision store.Revision) store.Entry {
		return store.Entry{Key: storekeys.Member(id), Value: []byte(value), ModRevision: revision}
	}
	entries := []store.Entry{entry("a", `{"id":"a","maxSchema":2}`, 1), entry("b", `{"id":"b","maxSchema":1}`, 2), entry("c", `{`, 3)}
	supported := func(entries ...store.Entry) int {
		return member.SupportedSchema(configstate.FromListing(nil, store.Listing{Entries: entries, Revision: 3}), 2)
	}
	must.Eq(t, 2, supported())
	must.Eq(t, 2, supported(entries[0]))
	must.Eq(t, 1, supported(entries[0], entries[1]))
	must.Eq(t, 1, supported(entries[0], entries[2]))
}
