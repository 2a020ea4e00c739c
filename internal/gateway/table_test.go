package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/record"
)

// The longest prefix must win, and a prefix must match only up to a slash:
// /offers-old/ must not be routed to /offers/.
func TestLookupTakesLongestPrefix(t *testing.T) {
	g := New(Config{})
	services := make(map[string]endpoint.Service)
	for name, prefix := range map[string]string{"root": "/", "offers": "/offers/", "issue": "/offers/issue/"} {
		services[name] = endpoint.Service{Name: name, Spec: &record.Service{PathPrefix: prefix}}
	}
	g.Install(services)
	cases := map[string]string{
		"/":                 "root",
		"/offers":           "root",
		"/offers-old/1":     "root",
		"/offers/":          "offers",
		"/offers/1":         "offers",
		"/offers/issue":     "offers",
		"/offers/issue/new": "issue",
	}
	for path, wanted := range cases {
		service, ok := g.table.Load().lookup(path)
		must.True(t, ok)
		must.EqOp(t, wanted, service.Name)
	}
	delete(services, "root")
	g.Install(services)
	_, ok := g.table.Load().lookup("/nobody/")
	must.False(t, ok)
}
