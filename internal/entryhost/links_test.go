package entryhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"

	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/entryhost"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storerpc"
)

// configurationInForce is the time in which a version must be in force everywhere after
// the store has acknowledged it, as the users state it for some tens of entry hosts.
const configurationInForce = 3 * time.Second

// connect makes an entry host reach the store and others over its link.
func (dep *deployment) connect(config *entryhost.Config) {
	address := config.Self.Address
	config.LinkMbps = dep.linkMbps
	config.Store = emulate.LinkedStore{Transactor: config.Store, Link: dep.links.Add(address, dep.linkMbps)}
	config.Peers, config.StorePeers = poolrpc.NewClient(dep.links.Dialer(address)), storerpc.NewClient(dep.links.Dialer(address))
}

// serve serves an entry host's RPCs over its link until ctx ends.
func (dep *deployment) serve(ctx context.Context, host *entryhost.Host) {
	mux := http.NewServeMux()
	mux.Handle(poolrpc.PathPrefix, poolrpc.NewHandler(host.Jobs))
	mux.Handle(storerpc.PathPrefix, storerpc.NewHandler(host.Access))
	server := &http.Server{Handler: mux}
	go server.Serve(dep.links.Listen(host.Self.Address))
	context.AfterFunc(ctx, func() { server.Close() })
}

// routesOf returns a configuration with routes as operators write them.
func routesOf(count int) string {
	random := rand.New(rand.NewPCG(uint64(count), 1))
	word := func(length int) string {
		letters := make([]byte, length)
		for i := range letters {
			letters[i] = 'a' + byte(random.IntN(26))
		}
		return string(letters)
	}
	type route struct {
		Name, Host, Prefix, Service   string
		Priority, Attempts, TimeoutMs int
		Stretch                       float64
		SloMs                         int
	}
	routes := make([]route, count)
	for i := range routes {
		routes[i] = route{"r-" + word(7), word(4) + fmt.Sprint(random.IntN(100)) + ".example", "/" + word(8) + "/", word(7), i % 3, 3, 3000 + i%5, 1.6, 600}
	}
	value, err := json.Marshal(routes)
	if err != nil {
		panic(err)
	}
	return string(value)
}

// runOnLinks runs a test on a zone of entry hosts with thin links that follow the operator.
func runOnLinks(t *testing.T, entries int, mbps float64, play func(dep *deployment)) {
	runTestOf(t, entries, func(dep *deployment) { dep.links, dep.linkMbps = emulate.NewLinks(), mbps }, func(dep *deployment) {
		for _, e := range dep.entries {
			go e.Relay.Follow(dep.ctx, configrelay.Source{
				Store: e.Access, Prefix: operatorPrefix, Key: operatorKey, MinInterval: 20 * time.Millisecond,
			})
		}
		time.Sleep(3 * time.Second)
		play(dep)
	})
}

// without returns the entry hosts that don't have a version of the configuration.
func (dep *deployment) without(revision store.Revision) (names []string) {
	for node, e := range dep.entries {
		if e.Relay.Revision() < revision {
			names = append(names, node)
		}
	}
	return names
}

// Guards against copies of a large configuration that fill thin links and are given up.
func TestLargeConfigurationIsInForceInTimeOnThinLinks(t *testing.T) {
	// The larger one is the largest that the store takes.
	for _, routes := range []int{3300, 6700} {
		runOnLinks(t, 12, 10, func(dep *deployment) {
			dep.write(routesOf(50))
			time.Sleep(2 * time.Second)
			const gap = 2200 * time.Millisecond
			first := dep.write(routesOf(routes))
			time.Sleep(gap)
			second := dep.write(routesOf(routes + 1))
			time.Sleep(configurationInForce - gap)
			test.SliceEmpty(t, dep.without(first), test.Sprintf("%d routes", routes))
			time.Sleep(gap)
			test.SliceEmpty(t, dep.without(second), test.Sprintf("%d routes after %d", routes+1, routes))
		})
	}
}

// randomBytes returns a value that can't be compressed.
func randomBytes(count int) string {
	random, value := rand.New(rand.NewPCG(uint64(count), 2)), make([]byte, count)
	for i := range value {
		value[i] = byte(random.IntN(256))
	}
	return string(value)
}

// Guards against answers that are given up and begun anew, and against copies from several
// entry hosts at once.
func TestEntryHostsReceiveALargeConfigurationOnce(t *testing.T) {
	const size = 600_000
	// The store encodes values in base64; the rest is for other calls.
	const most = size*4/3 + size/10
	for _, mbps := range []float64{2, 10} {
		runOnLinks(t, 12, mbps, func(dep *deployment) {
			dep.write(routesOf(50))
			time.Sleep(2 * time.Second)
			before := make(map[string]int64)
			for node := range dep.entries {
				before[node] = dep.links.Link(node).Received()
			}
			revision := dep.write(randomBytes(size))
			time.Sleep(15 * time.Second)
			test.SliceEmpty(t, dep.without(revision), test.Sprintf("%v Mbit/s", mbps))
			for node := range dep.entries {
				test.LessEq(t, most, dep.links.Link(node).Received()-before[node], test.Sprintf("%v Mbit/s, %s", mbps, node))
			}
		})
	}
}
