package drainer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/sharding"
)

// startController starts another controller with its own interceptor.
func (w *testCluster) startController() *controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	ctx, stop := context.WithCancel(w.ctx)
	c := &controller{
		id: fmt.Sprintf("controller-%d", w.started), stop: stop,
		calls:   &interceptor{Store: w.store, HostList: w.fleet, HostControl: w.fleet, cluster: w},
		checker: invariant.New(testLog(), nil),
	}
	feed := configfeed.New(c.calls, testLog(), c.checker, nil)
	self := member.Member{ID: c.id, Role: member.RoleController}
	registrar := member.NewRegistrar(c.calls, self, leaseTTL, testLog())
	c.shards = sharding.New(c.id, feed, registrar)
	c.drainer = drainer.New(drainer.Config{
		Member: c.id, Store: c.calls, Status: c, Feed: feed, Hosts: c.calls, HostControl: c.calls, Confirmer: w,
		Shards: c.shards, Grants: budget.NewGrantStore(c.calls), Invariant: c.checker, Log: testLog(), Interval: time.Second,
	})
	c.ended.Go(func() { _ = feed.Serve(ctx) })
	c.ended.Go(func() { _ = registrar.Serve(ctx) })
	c.ended.Go(func() { _ = c.drainer.Serve(ctx) })
	w.controllers = append(w.controllers, c)
	return c
}

// Put implements drainer.StatusSink. It keeps the last status of each wave, to be
// logged if the test fails.
func (c *controller) Put(key string, value []byte) { c.statuses.Store(key, string(value)) }

func (c *controller) logStatuses(t *testing.T) {
	c.statuses.Range(func(key, value any) bool {
		t.Logf("%.300s", fmt.Sprint(key, " ", value))
		return true
	})
}
