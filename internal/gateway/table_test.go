package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/record"
)

// The longest prefix wins, and a prefix only matches at a slash: a caller of
// /offers-old/ must not end at /offers/.
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
