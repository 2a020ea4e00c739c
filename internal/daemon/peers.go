package daemon

import (
	"sync"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
)

// gatewayPeers returns a function that lists the gateways in the newest
// configuration. It is asked for every keyed request, so the list is only made
// anew when the configuration changes.
func gatewayPeers(f *configfeed.Feed) func() []atmostonce.Peer {
	var mu sync.Mutex
	var of *configstate.Snapshot
	var peers []atmostonce.Peer
	return func() []atmostonce.Peer {
		snapshot := f.Snapshot()
		mu.Lock()
		defer mu.Unlock()
		if snapshot == of {
			return peers
		}
		of, peers = snapshot, nil
		for _, m := range member.OfRole(snapshot, member.RoleGateway) {
			peers = append(peers, atmostonce.Peer{ID: m.ID, Address: m.PeerAddress})
		}
		return peers
	}
}
