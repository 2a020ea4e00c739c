// Package configsync brings the configuration to every process while only a few
// watch the store: in each availability zone a few relays hold the watch, and
// the others ask them, or any peer, for what is new.
package configsync

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/member"
)

// RelaysPerZone is how many members of an availability zone watch the store. Two, so
// that the loss of one is never in the way of a change; the watches in total
// are zones × PerZone, whatever the number of members.
const RelaysPerZone = 2

// score ranks member for a seat, the same in every process (rendezvous
// hashing): a member that joins or leaves moves at most one seat.
func score(seat, member string) uint64 { return xxhash.Sum64String(seat + "\x00" + member) }

// ranked returns members with the highest score for seat first.
func ranked(seat string, members []member.Member) []member.Member {
	list := slices.Clone(members)
	sort.Slice(list, func(i, j int) bool {
		a, b := score(seat, list[i].ID), score(seat, list[j].ID)
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

// AllRelays returns the relays of every availability zone, by zone and rank.
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

// Sources returns the addresses that self may ask for news, best first. An
// ordinary member asks the relays of its own zone, then those of other zones,
// then anyone. A relay asks other zones' relays first: what it is there to
// find out is that its own watch is dead. Members spread over equally good
// sources by their own hash. Addresses from the settings come last.
func Sources(self member.Member, members []member.Member, settings []string) []string {
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
	for _, address := range settings {
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
