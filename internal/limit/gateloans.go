package limit

import "time"

// lend sets one connection of this gateway's share aside for another gateway.
// It reports false when none is free.
func (g *gate) lend(service, host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := hostOf{service: service, host: host}
	used := g.lent[key] + 1
	if known := g.at(key); known != nil {
		used += max(known.open-g.borrowed[key], 0)
	}
	if used > g.shares.Allocation(service, host).Connections {
		return false
	}
	g.lent[key]++
	return true
}

// takeBack ends the lending of one connection.
func (g *gate) takeBack(service, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decrement(g.lent, hostOf{service: service, host: host})
}

// borrow lets one more connection be opened, on another gateway's share.
func (g *gate) borrow(service, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.borrowed[hostOf{service: service, host: host}]++
}

// surrender ends the borrowing of one connection as soon as no more are open
// than without it, at until at the latest: what used it had its deadline then.
// Were the loan returned before, the lender could open its connection while
// this gateway's is still closing, and the endpoint would see one too many.
func (g *gate) surrender(service, host string, until time.Time) {
	key := hostOf{service: service, host: host}
	expired := time.NewTimer(time.Until(until))
	defer expired.Stop()
	for {
		closed, done := g.trySurrender(key)
		if done {
			return
		}
		select {
		case <-closed:
		case <-expired.C:
			g.mu.Lock()
			defer g.mu.Unlock()
			decrement(g.borrowed, key)
			return
		}
	}
}

func (g *gate) trySurrender(key hostOf) (closed <-chan struct{}, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.at(key)
	if known != nil && known.open >= g.limit(known) {
		return known.closed, false
	}
	decrement(g.borrowed, key)
	return nil, true
}

// at returns the endpoint of a service on a host, nil before its first use.
func (g *gate) at(key hostOf) *gatedEndpoint {
	for _, known := range g.endpoints {
		if known.endpoint.Service == key.service && known.endpoint.Host == key.host {
			return known
		}
	}
	return nil
}

func decrement(counts map[hostOf]int, key hostOf) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
