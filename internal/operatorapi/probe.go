package operatorapi

import (
	"context"
	"sync"

	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/store"
)

// maxConcurrentProbes limits the members probed concurrently.
const maxConcurrentProbes = 16

// PeerProber probes members over their peer interface.
type PeerProber struct{ Client *peer.Client }

// Probe implements Prober.
func (p *PeerProber) Probe(ctx context.Context, members []member.Member) map[string]ProbeResult {
	var mu sync.Mutex
	probes := make(map[string]ProbeResult, len(members))
	slots := make(chan struct{}, maxConcurrentProbes)
	var wait sync.WaitGroup
	for _, m := range members {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			presence, err := p.Client.Exchange(ctx, m.PeerAddress)
			if err != nil || presence.Member != m.ID {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			probes[m.ID] = ProbeResult{ServedRevision: store.Revision(presence.ServedRevision), Violations: int(presence.Violations)}
		})
	}
	wait.Wait()
	return probes
}
