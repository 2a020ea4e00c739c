package configrelay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

// site is a number of entry hosts whose store turns some of them away.
type site struct {
	relays map[string]*Relay

	mu sync.Mutex
	// away are the entry hosts that the store turns away, cut those that nobody
	// reaches.
	away, cut map[string]bool
	newest    Version
	applied   map[string][]store.Revision
	asked     int
}

func (s *site) NewestConfiguration(ctx context.Context, address string) (Answer, error) {
	answer, err := s.Configuration(ctx, address, 0)
	answer.Data = nil
	return answer, err
}

func (s *site) Configuration(ctx context.Context, address string, known store.Revision) (Answer, error) {
	s.locked(func() { s.asked++ })
	pause.For(ctx, time.Millisecond)
	if s.isCut(address) {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return s.relays[address].Answer(known), nil
}

// copies is how many versions are being read from other entry hosts, with the largest number
// at a time and in all.
type copies struct{ now, most, all int }

// slowPeers are entry hosts with a newer version that takes three seconds to read.
type slowPeers struct {
	mu     sync.Mutex
	copies copies
}

func (p *slowPeers) NewestConfiguration(context.Context, string) (Answer, error) {
	return Answer{Version: Version{Revision: 2}}, nil
}

func (p *slowPeers) Configuration(ctx context.Context, _ string, _ store.Revision) (Answer, error) {
	p.count(1)
	defer p.count(-1)
	for range 30 {
		pause.For(ctx, 100*time.Millisecond)
		if ctx.Err() != nil {
			return Answer{}, ctx.Err()
		}
		progress.Made(ctx)
	}
	return Answer{Version: Version{Revision: 2, Data: []byte("2")}}, nil
}

func (p *slowPeers) count(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies.now += by
	p.copies.most = max(p.copies.most, p.copies.now)
	if by > 0 {
		p.copies.all++
	}
}

// Guards against copies of a version that take the link from each other and are given up.
func TestVersionIsReadOnceHoweverLongItTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := &slowPeers{}
		relay := New(Config{
			Peers: peers, Addresses: func() []string { return []string{"e1", "e2", "e3"} }, Apply: func(Version) {}, Log: zerolog.Nop(),
		})
		relay.Written(Version{1, []byte("1")})
		go relay.Run(ctx)
		time.Sleep(5 * time.Second)
		must.EqOp(t, 2, relay.Revision())
		must.EqOp(t, copies{most: 1, all: 1}, peers.copies)
		cancel()
		synctest.Wait()
	})
}

// Guards against a second copy of a version that is on its way from the store or a relay.
func TestVersionThatIsArrivingIsNotReadElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := &slowPeers{}
		relay := New(Config{
			Peers: peers, Addresses: func() []string { return []string{"e1", "e2", "e3"} }, Arriving: func() bool { return true },
			Apply: func(Version) {}, Log: zerolog.Nop(),
		})
		relay.Written(Version{1, []byte("1")})
		go relay.Run(ctx)
		time.Sleep(5 * time.Second)
		must.EqOp(t, copies{}, peers.copies)
		must.True(t, relay.Standing(time.Now()).Replaced)
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry host that takes a version for the one in force while it is still
// working on it, and denies what that version has added.
func TestVersionIsInForceOnceItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := make(chan struct{})
		relay := New(Config{Addresses: func() []string { return nil }, Log: zerolog.Nop(), Apply: func(v Version) {
			if v.Revision == 2 {
				<-applied
			}
		}})
		relay.Written(Version{1, []byte("1")})
		relay.Confirmed(time.Now())
		must.True(t, relay.Standing(time.Now()).Current(time.Second))
		time.Sleep(time.Second)
		go relay.Written(Version{2, []byte("2")})
		synctest.Wait()
		relay.Confirmed(time.Now())
		must.Eq(t, Standing{Known: true, Age: time.Second, Replaced: true}, relay.Standing(time.Now()))
		close(applied)
		synctest.Wait()
		relay.Confirmed(time.Now())
		must.Eq(t, Standing{Known: true}, relay.Standing(time.Now()))
	})
}

// siteView is the site as one entry host sees it.
type siteView struct {
	*site
	self string
}

func (v siteView) NewestConfiguration(ctx context.Context, address string) (Answer, error) {
	answer, err := v.Configuration(ctx, address, 0)
	answer.Data = nil
	return answer, err
}

func (v siteView) Configuration(ctx context.Context, address string, known store.Revision) (Answer, error) {
	if v.isCut(v.self) {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return v.site.Configuration(ctx, address, known)
}

func (s *site) locked(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *site) isCut(self string) (cut bool) {
	s.locked(func() { cut = s.cut[self] })
	return cut
}

// read is what the store shows an entry host.
func (s *site) read(self string) (newest Version, ok bool) {
	s.locked(func() { newest, ok = s.newest, !s.away[self] && !s.cut[self] })
	return newest, ok
}

func (s *site) addresses(self string) []string {
	var others []string
	for address := range s.relays {
		if address != self {
			others = append(others, address)
		}
	}
	return others
}

// poll stands in for a watch of the store that answers once a second, and at once when
// there is a change.
func (s *site) poll(ctx context.Context, self string) {
	for ctx.Err() == nil {
		relay := s.relays[self]
		newest, ok := s.read(self)
		for range 50 {
			pause.For(ctx, 20*time.Millisecond)
			if newest, ok = s.read(self); newest.Revision != relay.Revision() {
				break
			}
		}
		switch {
		case !ok:
			relay.StoreFailed()
		case newest.Revision != relay.Revision():
			relay.Written(newest)
			relay.Confirmed(time.Now())
		default:
			relay.Confirmed(time.Now())
		}
	}
}

func runSite(t *testing.T, entryHosts int, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &site{relays: map[string]*Relay{}, away: map[string]bool{}, cut: map[string]bool{}, newest: Version{1, []byte("1")}, applied: map[string][]store.Revision{}}
		for i := range entryHosts {
			self := fmt.Sprint("e", i)
			s.relays[self] = New(Config{
				Peers: siteView{s, self}, Addresses: func() []string { return s.addresses(self) },
				Apply: func(v Version) { s.locked(func() { s.applied[self] = append(s.applied[self], v.Revision) }) }, Log: zerolog.Nop(),
			})
		}
		for self, relay := range s.relays {
			go relay.Run(ctx)
			go s.poll(ctx, self)
		}
		time.Sleep(3 * time.Second)
		test(s)
		cancel()
		time.Sleep(2 * time.Second)
	})
}

func (s *site) write() {
	s.locked(func() {
		revision := s.newest.Revision + 1
		s.newest = Version{revision, fmt.Append(nil, revision)}
	})
}

// Guards against an entry host that the store turns away and that serves an old
// configuration while its neighbours know a newer one.
func TestEntryHostsThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	runSite(t, 9, func(s *site) {
		for _, self := range []string{"e0", "e1", "e2"} {
			s.locked(func() { s.away[self] = true })
		}
		for range 5 {
			time.Sleep(1700 * time.Millisecond)
			s.write()
			time.Sleep(2 * time.Second)
			for self, relay := range s.relays {
				newest, _ := s.read(self)
				must.EqOp(t, newest.Revision, relay.Revision(), must.Sprint(self))
				must.True(t, relay.Current(2500*time.Millisecond, time.Now()))
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, revisions := range s.applied {
			for i := 1; i < len(revisions); i++ {
				must.Less(t, revisions[i], revisions[i-1])
			}
		}
	})
}

// Nobody is asked while the store answers.
func TestNobodyIsAskedWhileTheStoreAnswers(t *testing.T) {
	runSite(t, 4, func(s *site) {
		s.locked(func() { s.asked = 0 })
		time.Sleep(20 * time.Second)
		s.locked(func() { must.EqOp(t, 0, s.asked) })
	})
}

// Guards against an entry host that is cut off from all and takes its configuration for
// the newest.
func TestEntryHostThatIsCutOffKnowsItsAge(t *testing.T) {
	runSite(t, 4, func(s *site) {
		s.locked(func() { s.cut["e0"] = true })
		time.Sleep(4 * time.Second)
		must.False(t, s.relays["e0"].Current(2500*time.Millisecond, time.Now()))
		must.True(t, s.relays["e1"].Current(2500*time.Millisecond, time.Now()))
		must.Greater(t, 3*time.Second, s.relays["e0"].Age(time.Now()))
		s.write()
		s.locked(func() { s.cut["e0"] = false })
		time.Sleep(2 * time.Second)
		must.True(t, s.relays["e0"].Current(2500*time.Millisecond, time.Now()))
	})
}

// While the store is unavailable to all, nobody can have written a newer version.
func TestConfigurationStaysCurrentWhileTheStoreIsAwayForAll(t *testing.T) {
	runSite(t, 7, func(s *site) {
		for self := range s.relays {
			s.locked(func() { s.away[self] = true })
		}
		time.Sleep(5 * time.Second)
		for _, relay := range s.relays {
			must.True(t, relay.Current(2500*time.Millisecond, time.Now()))
			must.Greater(t, 4*time.Second, relay.Age(time.Now()))
		}
	})
}
