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

// An endpoint that refuses connections must be ejected at once, for a time that
// doubles with each consecutive ejection up to the maximum.
func TestEjectionDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := New("a"), service(true, true)
		install(b, s)
		ejected := time.Duration(0)
		for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			b.Begin(s.Endpoints[0])
			b.End(s.Endpoints[0], outcome.ConnectFailed)
			for ejected = 0; ranked(b, s) == 1; ejected += time.Second {
				time.Sleep(time.Second)
			}
			must.EqOp(t, want*time.Second, ejected)
		}
	})
}

// Timeouts of callers with a deadline of a millisecond must not eject an
// endpoint; timeouts of an endpoint that responds to no request must.
func TestTimeoutCountsOnlyWithoutProgress(t *testing.T) {
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
		time.Sleep(noProgressTimeout)
		for range failuresToEject {
			b.End(s.Endpoints[0], outcome.TimedOut)
		}
		must.EqOp(t, 1, ranked(b, s))
	})
}

// Each drain source by itself must keep an endpoint out of rankings. A report by
// the endpoint expires after selfReportTTL; a host record or host list that returns
// the endpoint to service clears it at once.
func TestDrainingStopsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, s := New("a"), service(true, true)
		install(b, s)
		b.MarkDraining(s.Endpoints[0])
		must.EqOp(t, 1, ranked(b, s))
		time.Sleep(time.Second)
		since, draining := b.DrainingFor(s.Endpoints[0])
		must.True(t, draining)
		must.EqOp(t, time.Second, since)
		time.Sleep(selfReportTTL)
		must.EqOp(t, 2, ranked(b, s))

		b.MarkDraining(s.Endpoints[0])
		install(b, service(false, true))
		time.Sleep(time.Hour)
		must.EqOp(t, 1, ranked(b, s))
		install(b, s)
		_, draining = b.DrainingFor(s.Endpoints[0])
		must.False(t, draining)
		must.EqOp(t, 2, ranked(b, s))

		b.Begin(s.Endpoints[1])
		install(b, service(true))
		must.EqOp(t, 1, ranked(b, s))
		_, draining = b.DrainingFor(s.Endpoints[1])
		must.True(t, draining)
		b.End(s.Endpoints[1], "")
	})
}
