package limit

import "time"

// lend reserves one connection of this gateway's share for another gateway. It reports
// false when none is free.
func (c *connLimiter) lend(service, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := endpointKey{service: service, host: host}
	used := c.lent[key] + 1
	if conns := c.find(key); conns != nil {
		used += max(conns.open-c.borrowed[key], 0)
	}
	if used > c.shares.Allocation(service, host).Connections {
		return false
	}
	c.lent[key]++
	return true
}

// endLoan releases one connection reserved by lend.
func (c *connLimiter) endLoan(service, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decrement(c.lent, endpointKey{service: service, host: host})
}

// addBorrowed allows one more connection to be opened, on another gateway's share.
func (c *connLimiter) addBorrowed(service, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.borrowed[endpointKey{service: service, host: host}]++
}

// releaseBorrowed removes one borrowed connection from the limit once the open
// connections fit without it, and at until at the latest, when the deadline of the
// request that used it has passed. If the loan were returned earlier, the lender could
// open its connection while the one here is still closing, and the endpoint would have
// one connection above its limit.
func (c *connLimiter) releaseBorrowed(service, host string, until time.Time) {
	key := endpointKey{service: service, host: host}
	expired := time.NewTimer(time.Until(until))
	defer expired.Stop()
	for {
		closed, done := c.tryReleaseBorrowed(key)
		if done {
			return
		}
		select {
		case <-closed:
		case <-expired.C:
			c.mu.Lock()
			defer c.mu.Unlock()
			decrement(c.borrowed, key)
			return
		}
	}
}

func (c *connLimiter) tryReleaseBorrowed(key endpointKey) (closed <-chan struct{}, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.find(key)
	if conns != nil && conns.open >= c.limit(conns) {
		return conns.closed, false
	}
	decrement(c.borrowed, key)
	return nil, true
}

// find returns the endpoint of a service on a host, or nil before its first use.
func (c *connLimiter) find(key endpointKey) *endpointConns {
	for _, conns := range c.endpoints {
		if conns.endpoint.Service == key.service && conns.endpoint.Host == key.host {
			return conns
		}
	}
	return nil
}

func decrement(counts map[endpointKey]int, key endpointKey) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
