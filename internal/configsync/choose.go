// Package configsync distributes the configuration to every process while only a
// few processes watch the store: in each availability zone a few relays do, and
// the other members fetch updates from them or from any other peer.
package configsync

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/member"
)

// RelaysPerZone is the number of members of an availability zone that watch the
// store. With two, the loss of one does not delay a change. The total number of
// watches is zones × RelaysPerZone, regardless of the number of members.
const RelaysPerZone = 2

// score returns the rendezvous hash of a member for a key. It is the same in every
// process, and a member that joins or leaves changes at most one of the members
// chosen for a key.
func score(key, member string) uint64 { return xxhash.Sum64String(key + "\x00" + member) }

// ranked returns the members in descending order of their score for key.
func ranked(key string, members []member.Member) []member.Member {
	list := slices.Clone(members)
	sort.Slice(list, func(i, j int) bool {
		a, b := score(key, list[i].ID), score(key, list[j].ID)
		return a > b || (a == b && list[i].ID < list[j].ID)
	})
	return list
}

// ZoneRelays returns the relays of an availability zone.
func ZoneRelays(zone string, members []member.Member) []member.Member {
	var local []member.Member
	for _, m := range members {
		if m.Zone == zone {
			local = append(local, m)
		}
	}
	list := ranked("relay/"+zone, local)
	return list[:min(RelaysPerZone, len(list))]
}

// AllRelays returns the relays of all availability zones, ordered by zone and rank.
func AllRelays(members []member.Member) []member.Member {
	zones := make(map[string]bool)
	for _, m := range members {
		zones[m.Zone] = true
	}
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	sort.Strings(names)
	var relays []member.Member
	for _, zone := range names {
		relays = append(relays, ZoneRelays(zone, members)...)
	}
	return relays
}

// IsRelay reports whether self is a relay.
func IsRelay(self member.Member, members []member.Member) bool {
	return contains(ZoneRelays(self.Zone, members), self.ID)
}

func contains(members []member.Member, id string) bool {
	return slices.ContainsFunc(members, func(m member.Member) bool { return m.ID == id })
}

// Sources returns the addresses from which self may fetch updates, best first. An
// ordinary member prefers the relays of its own zone, then those of other zones,
// then any member. A relay prefers the relays of other zones, because it fetches in
// order to detect that its own watch has failed. Members distribute themselves
// over equally good sources by hash. Addresses from the settings come last.
func Sources(self member.Member, members []member.Member, seedAddresses []string) []string {
	own := ZoneRelays(self.Zone, members)
	others := without(AllRelays(members), own)
	tiers := [][]member.Member{own, others, members}
	if contains(own, self.ID) {
		tiers = [][]member.Member{others, own, members}
	}
	var order []string
	for _, tier := range tiers {
		for _, m := range ranked("source/"+self.ID, tier) {
			if m.ID != self.ID && !slices.Contains(order, m.PeerAddress) {
				order = append(order, m.PeerAddress)
			}
		}
	}
	for _, address := range seedAddresses {
		if address != self.PeerAddress && !slices.Contains(order, address) {
			order = append(order, address)
		}
	}
	return order
}

func without(members, excluded []member.Member) []member.Member {
	var rest []member.Member
	for _, m := range members {
		if !contains(excluded, m.ID) {
			rest = append(rest, m)
		}
	}
	return rest
}
