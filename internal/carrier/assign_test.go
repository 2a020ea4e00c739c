package carrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/worker"
)

func hosts(perZone int, zones ...string) []worker.Host {
	var list []worker.Host
	for _, zone := range zones {
		for i := range perZone {
			list = append(list, worker.Host{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
		}
	}
	return list
}

func candidate(name, zone string, share float64, holds int) carrier.Candidate {
	return carrier.Candidate{Name: name, Address: name, Zone: zone, CPUShare: share, ClaimCount: holds}
}

func firsts(assigned map[string][]carrier.Candidate) map[string]int {
	count := make(map[string]int)
	for _, carriers := range assigned {
		count[carriers[0].Name]++
	}
	return count
}

const strength carrier.HostsPerCore = 100

// One strong entry host of a zone can call its hosts, so that neither the weak
// ones nor the one that holds a pool itself are troubled.
func TestStrongIdleCarriersComeFirst(t *testing.T) {
	candidates := []carrier.Candidate{
		candidate("weak", "a", 0.2, 0), candidate("holder", "a", 0.8, 1), candidate("strong", "a", 0.8, 0), candidate("far", "b", 0.8, 0),
	}
	must.Eq(t, map[string]int{"strong": 60}, firsts(strength.Assign("p", hosts(60, "a"), candidates)))
}

// With more hosts than one can call, the next in order help, by what they can.
func TestCarriersShareByStrength(t *testing.T) {
	candidates := []carrier.Candidate{
		candidate("strong", "a", 0.8, 0), candidate("weak-1", "a", 0.2, 0), candidate("weak-2", "a", 0.2, 0), candidate("weak-3", "a", 0.2, 0),
	}
	count := firsts(strength.Assign("p", hosts(120, "a"), candidates))
	must.MapLen(t, 3, count)
	must.Between(t, 64, count["strong"], 96)
}

// A zone without an entry host of its own is called from another one.
func TestAZoneWithoutCarriersIsCalledFromElsewhere(t *testing.T) {
	assigned := strength.Assign("p", hosts(10, "a", "b"), []carrier.Candidate{candidate("only", "a", 0.8, 0)})
	must.Eq(t, map[string]int{"only": 20}, firsts(assigned))
}

// Each change of a host's carrier opens connections: when one of three carriers
// goes, only its hosts change.
func TestACarrierThatGoesMovesOnlyItsHosts(t *testing.T) {
	all := []carrier.Candidate{candidate("x", "a", 0.4, 0), candidate("y", "a", 0.4, 0), candidate("z", "a", 0.4, 0)}
	before := strength.Assign("p", hosts(120, "a"), all)
	after := strength.Assign("p", hosts(120, "a"), all[:2])
	for host, carriers := range before {
		if carriers[0].Name != "z" {
			must.EqOp(t, carriers[0].Name, after[host][0].Name)
		}
	}
}

// Every host has others to fall back on when its carrier does not answer.
func TestHostsHaveOtherCarriersToFallBackOn(t *testing.T) {
	candidates := []carrier.Candidate{candidate("x", "a", 0.8, 0), candidate("y", "a", 0.8, 1), candidate("z", "a", 0.2, 0)}
	for _, carriers := range strength.Assign("p", hosts(20, "a"), candidates) {
		must.Len(t, 3, carriers)
		must.EqOp(t, "x", carriers[0].Name)
	}
}

func TestNoCandidatesNoCarriers(t *testing.T) {
	for _, carriers := range strength.Assign("p", hosts(20, "a"), nil) {
		must.SliceEmpty(t, carriers)
	}
}

// On a thin link exchanges are fewer and larger: at four milliseconds, a link of two
// megabits was half full of their headers alone.
func TestExchangesPauseLongerOnThinLinks(t *testing.T) {
	for link, want := range map[float64]time.Duration{
		0: 4 * time.Millisecond, 200: 4 * time.Millisecond, 20: 4 * time.Millisecond, 2: 40 * time.Millisecond, 0.1: 50 * time.Millisecond,
	} {
		must.EqOp(t, want, carrier.BatchDelay(link), must.Sprintf("%g megabits", link))
	}
}
