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

func countFirst(assigned map[string][]carrier.Candidate) map[string]int {
	count := make(map[string]int)
	for _, carriers := range assigned {
		count[carriers[0].Name]++
	}
	return count
}

const hostsPerCore carrier.HostsPerCore = 100

// One entry host with a large CPU share can call all hosts of the zone: neither
// those with a small share nor the one that holds a pool are used.
func TestIdleCarriersWithLargeShareAreUsedFirst(t *testing.T) {
	candidates := []carrier.Candidate{
		candidate("weak", "a", 0.2, 0), candidate("holder", "a", 0.8, 1), candidate("strong", "a", 0.8, 0), candidate("far", "b", 0.8, 0),
	}
	must.Eq(t, map[string]int{"strong": 60}, countFirst(hostsPerCore.Assign("p", hosts(60, "a"), candidates)))
}

// With more hosts than one carrier can call, further carriers are used, each with
// a number of hosts in proportion to its CPU share.
func TestHostsAreDistributedByCPUShare(t *testing.T) {
	candidates := []carrier.Candidate{
		candidate("strong", "a", 0.8, 0), candidate("weak-1", "a", 0.2, 0), candidate("weak-2", "a", 0.2, 0), candidate("weak-3", "a", 0.2, 0),
	}
	count := countFirst(hostsPerCore.Assign("p", hosts(120, "a"), candidates))
	must.MapLen(t, 3, count)
	must.Between(t, 64, count["strong"], 96)
}

// Hosts in a zone without an entry host are called from another zone.
func TestZoneWithoutCarriersUsesAnotherZone(t *testing.T) {
	assigned := hostsPerCore.Assign("p", hosts(10, "a", "b"), []carrier.Candidate{candidate("only", "a", 0.8, 0)})
	must.Eq(t, map[string]int{"only": 20}, countFirst(assigned))
}

// Each change of a host's carrier opens connections: when one of three carriers
// is lost, only its hosts are reassigned.
func TestLostCarrierReassignsOnlyItsHosts(t *testing.T) {
	all := []carrier.Candidate{candidate("x", "a", 0.4, 0), candidate("y", "a", 0.4, 0), candidate("z", "a", 0.4, 0)}
	before := hostsPerCore.Assign("p", hosts(120, "a"), all)
	after := hostsPerCore.Assign("p", hosts(120, "a"), all[:2])
	for host, carriers := range before {
		if carriers[0].Name != "z" {
			must.EqOp(t, carriers[0].Name, after[host][0].Name)
		}
	}
}

// Every host has fallback carriers for when its first one does not respond.
func TestHostsHaveFallbackCarriers(t *testing.T) {
	candidates := []carrier.Candidate{candidate("x", "a", 0.8, 0), candidate("y", "a", 0.8, 1), candidate("z", "a", 0.2, 0)}
	for _, carriers := range hostsPerCore.Assign("p", hosts(20, "a"), candidates) {
		must.Len(t, 3, carriers)
		must.EqOp(t, "x", carriers[0].Name)
	}
}

func TestNoCarriersWithoutCandidates(t *testing.T) {
	for _, carriers := range hostsPerCore.Assign("p", hosts(20, "a"), nil) {
		must.SliceEmpty(t, carriers)
	}
}

// On a slow link exchanges are fewer and larger. With a batch delay of 4 ms, their
// headers alone took half the capacity of a 2 Mbit/s link.
func TestBatchDelayIsLongerOnSlowLinks(t *testing.T) {
	for link, want := range map[float64]time.Duration{
		0: 4 * time.Millisecond, 200: 4 * time.Millisecond, 20: 4 * time.Millisecond, 2: 40 * time.Millisecond, 0.1: 50 * time.Millisecond,
	} {
		must.EqOp(t, want, carrier.BatchDelay(link), must.Sprintf("%g megabits", link))
	}
}
