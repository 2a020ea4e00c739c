package storeaccess

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// zoneOf returns a zone of nodes of which the first ones are strong.
func zoneOf(zone string, count, strong int, linkMbps float64) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		name := fmt.Sprintf("%s-%d", zone, i)
		nodes[i] = Node{Name: name, Address: name, Zone: zone, CPUShare: 0.2, LinkMbps: linkMbps, CanRelay: true}
		if i < strong {
			nodes[i].CPUShare, nodes[i].LinkMbps = 1.6, 1000
		}
	}
	return nodes
}

// direct returns the nodes that watch the store themselves.
func direct(nodes []Node) (names []string) {
	for _, n := range nodes {
		if PlanRoute(n.Name, nodes).Direct {
			names = append(names, n.Name)
		}
	}
	return names
}

// Guards against relays that grow with their zone.
func TestRelaysDoNotGrowWithZone(t *testing.T) {
	for _, size := range []int{30, 60, 120, 240} {
		must.Len(t, minRelays, direct(zoneOf("a", size, 12, 20)), must.Sprintf("%d entry hosts", size))
	}
}

// Guards against a configuration that takes seconds over the thin link of a relay.
func TestThinLinksGetMoreRelays(t *testing.T) {
	nodes := zoneOf("a", 105, 0, 20)
	must.Len(t, 5, direct(nodes))
	followers := make(map[string]int)
	for _, n := range nodes {
		if route := PlanRoute(n.Name, nodes); !route.Direct {
			followers[route.Relays[0]]++
		}
	}
	for relay, count := range followers {
		must.LessEq(t, 2*20, count, must.Sprint(relay))
	}
}

func TestSmallZonesWatchTheStore(t *testing.T) {
	must.Len(t, 7, direct(zoneOf("a", 7, 0, 1000)))
}

// Guards against relays that are busy with a pool, and claims confirmed by hearsay.
func TestHoldersWatchTheStoreAndAreNoRelays(t *testing.T) {
	nodes := zoneOf("a", 20, 4, 20)
	for i := range 3 {
		nodes[i].Claims = 1
	}
	must.Len(t, 3+minRelays, direct(nodes))
	for _, n := range nodes {
		must.SliceNotContains(t, PlanRoute(n.Name, nodes).Relays, "a-0")
	}
}

// Followers ask their own zone, then the store, then other zones.
func TestSourcesInOrder(t *testing.T) {
	nodes := append(zoneOf("a", 20, 4, 20), zoneOf("b", 20, 4, 20)...)
	sources := PlanRoute("a-19", nodes).sources()
	must.Len(t, maxPeers+1, sources)
	must.EqOp(t, directSource, sources[minRelays])
	must.EqOp(t, 'b', rune(sources[minRelays+1][0]))
}
