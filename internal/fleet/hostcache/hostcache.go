// Package hostcache shares one reading of the platform's host list among the
// parts of a process, and paces the readings so that they keep within a node's
// share of bandwidth however large the fleet is.
package hostcache

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

// Config shapes a Cache.
type Config struct {
	// Source is read; it should return the very slice it returned before when
	// nothing has changed.
	Source fleet.HostList
	// MinInterval is the least time between two readings.
	MinInterval time.Duration
	// BytesPerSecond is what readings may take on average. A node has 29 KB a
	// second for all of control (the users' first letter) and runs two
	// processes; zero means DefaultBytesPerSecond.
	BytesPerSecond int
}

// DefaultBytesPerSecond leaves two thirds of a node's share to everything else.
const DefaultBytesPerSecond = 5_000

// bytesPerHost is what one host takes in a listing that could not be avoided:
// measured 152 bytes of JSON at 1,000 hosts, rounded up.
const bytesPerHost = 160

// Cache is a paced, shared fleet.HostList. It is safe for concurrent use.
type Cache struct {
	config Config

	// reading is held by the one caller that reads.
	reading sync.Mutex

	mu    sync.Mutex
	hosts []fleet.Host
	known bool
	next  time.Time
}

var _ fleet.HostList = (*Cache)(nil)

// New returns a cache that hasn't read yet.
func New(config Config) *Cache {
	if config.BytesPerSecond == 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Cache{config: config}
}

// Hosts implements fleet.HostList. The answer is shared: callers must not
// change it. It is at most one pace older than the platform's own list; an
// error comes back only when a reading was due and failed.
func (c *Cache) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if hosts, fresh := c.fresh(); fresh {
		return hosts, nil
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if hosts, fresh := c.fresh(); fresh {
		return hosts, nil
	}
	hosts, err := c.config.Source.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	c.store(hosts)
	return hosts, nil
}

func (c *Cache) fresh() ([]fleet.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts, c.known && time.Now().Before(c.next)
}

func (c *Cache) store(hosts []fleet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = time.Now().Add(c.pace(hosts))
	c.hosts, c.known = hosts, true
}

// pace returns how long the next reading waits: a reading that brought the
// same slice cost next to nothing, any other as much as its hosts.
func (c *Cache) pace(hosts []fleet.Host) time.Duration {
	if c.known && fleet.SameListing(c.hosts, hosts) {
		return c.config.MinInterval
	}
	cost := time.Duration(len(hosts)*bytesPerHost) * time.Second / time.Duration(c.config.BytesPerSecond)
	return max(c.config.MinInterval, cost)
}
