package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/outcome"
)

func service(takesWork ...bool) endpoint.Service {
	s := endpoint.Service{Name: "offers"}
	for i, takes := range takesWork {
		host := string(rune('x' + i))
		s.Endpoints = append(s.Endpoints, endpoint.Endpoint{Service: "offers", Host: host, Address: host + ":1", Zone: "a", TakesWork: takes})
	}
	return s
}

func install(b *Balancer, s endpoint.Service) { b.Install(map[string]endpoint.Service{s.Name: s}) }

func ranked(b *Balancer, s endpoint.Service) int { return len(b.Rank(s, nil)) }

// An endpoint that can't be connected to is left out at once and comes back
// after a while; each further failure keeps it out for longer.
func TestEjectionDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := New("a"), service(true, true)
		install(b, s)
		away := time.Duration(0)
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			b.Begin(s.Endpoints[0])
			b.End(s.Endpoints[0], outcome.ConnectFailed)
			for away = 0; ranked(b, s) == 1; away += time.Second {
				time.Sleep(time.Second)
			}
			must.EqOp(t, want*time.Second, away)
		}
	})
}

// A caller with a deadline of a millisecond must not be able to get endpoints
// ejected; one that answers nobody must be.
func TestOnlySilenceMakesATimeoutCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := New("a"), service(true, true)
		install(b, s)
		for range 10 {
			b.Begin(s.Endpoints[0])
			time.Sleep(time.Millisecond)
			b.End(s.Endpoints[0], outcome.TimedOut)
		}
		must.EqOp(t, 2, ranked(b, s))
		for range failuresToEject {
			b.Begin(s.Endpoints[0])
		}
		time.Sleep(silentFor)
		for range failuresToEject {
			b.End(s.Endpoints[0], outcome.TimedOut)
		}
		must.EqOp(t, 1, ranked(b, s))
	})
}

// Each source of leaving stops new work by itself. The endpoint's own word is
// asked again after a while; a record or the host list that brings it back
// clears it at once.
func TestLeavingStopsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := New("a"), service(true, true)
		install(b, s)
		b.MarkDraining(s.Endpoints[0])
		must.EqOp(t, 1, ranked(b, s))
		time.Sleep(time.Second)
		since, leaving := b.DrainingFor(s.Endpoints[0])
		must.True(t, leaving)
		must.EqOp(t, time.Second, since)
		time.Sleep(wordHolds)
		must.EqOp(t, 2, ranked(b, s))

		b.MarkDraining(s.Endpoints[0])
		install(b, service(false, true))
		time.Sleep(time.Hour)
		must.EqOp(t, 1, ranked(b, s))
		install(b, s)
		_, leaving = b.DrainingFor(s.Endpoints[0])
		must.False(t, leaving)
		must.EqOp(t, 2, ranked(b, s))

		b.Begin(s.Endpoints[1])
		install(b, service(true))
		must.EqOp(t, 1, ranked(b, s))
		_, leaving = b.DrainingFor(s.Endpoints[1])
		must.True(t, leaving)
		b.End(s.Endpoints[1], "")
	})
}
