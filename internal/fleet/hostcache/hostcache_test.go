package hostcache

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/fleet"
)

type countingList struct {
	hosts []fleet.Host
	fresh bool
	reads int
}

func (l *countingList) Hosts(context.Context) ([]fleet.Host, error) {
	l.reads++
	if l.fresh {
		return append([]fleet.Host(nil), l.hosts...), nil
	}
	return l.hosts, nil
}

// Four parts of a process each request the list ten times a second for a minute.
// The platform must receive one read a second instead of forty.
func TestConcurrentUsersShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingList{hosts: make([]fleet.Host, 10)}
		cache := New(Config{Source: source, MinInterval: time.Second})
		for range 600 {
			for range 4 {
				hosts, err := cache.Hosts(t.Context())
				must.NoError(t, err)
				must.Len(t, 10, hosts)
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.EqOp(t, 60, source.reads)
	})
}

// Reading a list of 1,000 hosts that changes every time costs 160 KB a second at
// one read a second, five times what a node may use for the whole control plane.
// Reads must be spaced out until the average fits the limit. An unchanged list
// costs nothing and is read every second.
func TestReadsStayWithinBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingList{hosts: make([]fleet.Host, 1000), fresh: true}
		cache := New(Config{Source: source, MinInterval: time.Second, BytesPerSecond: 5_000})
		minute := func() int {
			before := source.reads
			for range 600 {
				_, err := cache.Hosts(t.Context())
				must.NoError(t, err)
				time.Sleep(100 * time.Millisecond)
			}
			return source.reads - before
		}
		must.EqOp(t, 2, minute())
		source.fresh = false
		minute()
		must.EqOp(t, 60, minute())
	})
}
