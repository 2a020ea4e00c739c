package daemon

import (
	"sync"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
)

// gatewayPeers returns a function that lists the gateways in the latest
// configuration. It is called for every request with an idempotency key, so the list
// is rebuilt only when the configuration changes.
func gatewayPeers(f *configfeed.Feed) func() []atmostonce.Peer {
	var mu sync.Mutex
	var cached *configstate.Snapshot
	var peers []atmostonce.Peer
	return func() []atmostonce.Peer {
		snapshot := f.Snapshot()
		mu.Lock()
		defer mu.Unlock()
		if snapshot == cached {
			return peers
		}
		cached, peers = snapshot, nil
		for _, m := range member.OfRole(snapshot, member.RoleGateway) {
			peers = append(peers, atmostonce.Peer{ID: m.ID, Address: m.PeerAddress})
		}
		return peers
	}
}
