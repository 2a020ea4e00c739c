// Package hostcache caches the platform's host list for all parts of a process
// and rate-limits the reads, so that they stay within the bandwidth available on
// a node whatever the size of the fleet.
package hostcache

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

// Config configures a Cache.
type Config struct {
	// Source is the list that is cached. It should return the same slice as
	// before while nothing has changed.
	Source fleet.HostList
	// MinInterval is the minimum time between two reads.
	MinInterval time.Duration
	// BytesPerSecond is the average bandwidth that reads may use. A node has
	// 29 KB a second for the whole control plane and runs two processes. Zero
	// means DefaultBytesPerSecond.
	BytesPerSecond int
}

// DefaultBytesPerSecond leaves two thirds of a node's control bandwidth to all
// other traffic.
const DefaultBytesPerSecond = 5_000

// bytesPerHost is the size of one host in a transferred list: 152 bytes of JSON
// at 1,000 hosts, rounded up.
const bytesPerHost = 160

// Cache is a rate-limited, shared fleet.HostList. It is safe for concurrent use.
type Cache struct {
	config Config

	// readMu is held by the caller that is reading from Source.
	readMu sync.Mutex

	mu       sync.Mutex
	hosts    []fleet.Host
	loaded   bool
	nextRead time.Time
}

var _ fleet.HostList = (*Cache)(nil)

// New returns an empty cache.
func New(config Config) *Cache {
	if config.BytesPerSecond == 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Cache{config: config}
}

// Hosts implements fleet.HostList. The returned slice is shared: callers must not
// change it. It is at most one read delay older than the platform's own list. An
// error is returned only if a read was due and failed.
func (c *Cache) Hosts(ctx context.Context) ([]fleet.Host, error) {
	if hosts, fresh := c.fresh(); fresh {
		return hosts, nil
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
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
	return c.hosts, c.loaded && time.Now().Before(c.nextRead)
}

func (c *Cache) store(hosts []fleet.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextRead = time.Now().Add(c.readDelay(hosts))
	c.hosts, c.loaded = hosts, true
}

// readDelay returns the delay until the next read. A read that returned the same
// slice transferred almost nothing; any other transferred all its hosts.
func (c *Cache) readDelay(hosts []fleet.Host) time.Duration {
	if c.loaded && fleet.SameListing(c.hosts, hosts) {
		return c.config.MinInterval
	}
	cost := time.Duration(len(hosts)*bytesPerHost) * time.Second / time.Duration(c.config.BytesPerSecond)
	return max(c.config.MinInterval, cost)
}
