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

// startController starts one more controller over its own stall.
func (w *world) startController() *controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	ctx, stop := context.WithCancel(w.ctx)
	c := &controller{
		id: fmt.Sprintf("controller-%d", w.started), stop: stop,
		stall:   &stall{Store: w.store, HostList: w.fleet, HostControl: w.fleet, world: w},
		checker: invariant.New(testLog(), nil),
	}
	follower := configfeed.New(c.stall, testLog(), c.checker, nil)
	self := member.Member{ID: c.id, Role: member.RoleController}
	registrar := member.NewRegistrar(c.stall, self, holdTTL, testLog())
	c.shards = sharding.New(c.id, follower, registrar)
	c.drainer = drainer.New(drainer.Config{
		Member: c.id, Store: c.stall, Status: c, Feed: follower, Hosts: c.stall, HostControl: c.stall, Confirmer: w,
		Shards: c.shards, Grants: budget.NewGrantStore(c.stall), Invariant: c.checker, Log: testLog(), Interval: time.Second,
	})
	c.ended.Go(func() { _ = follower.Serve(ctx) })
	c.ended.Go(func() { _ = registrar.Serve(ctx) })
	c.ended.Go(func() { _ = c.drainer.Serve(ctx) })
	w.controllers = append(w.controllers, c)
	return c
}

// Put keeps the last status of each wave, to explain a failed run.
func (c *controller) Put(key string, value []byte) { c.statuses.Store(key, string(value)) }

func (c *controller) logStatuses(t *testing.T) {
	c.statuses.Range(func(key, value any) bool {
		t.Logf("%.300s", fmt.Sprint(key, " ", value))
		return true
	})
}
