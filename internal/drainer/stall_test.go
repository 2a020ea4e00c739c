package drainer_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/store"
)

// stall stands between one controller and everything outside it. A paused
// controller sleeps before its next call and then makes it as if nothing had
// happened, however late: what a stopped process or a slow network does.
type stall struct {
	store.Store
	fleet.HostList
	fleet.PoolHosts
	world *world

	mu    sync.Mutex
	until time.Time
	// before, when set, is called with each call's name before it is made.
	before func(call string)
}

func (s *stall) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

func (s *stall) wait(call string) {
	s.mu.Lock()
	hook := s.before
	s.mu.Unlock()
	if hook != nil {
		hook(call)
	}
	for {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (s *stall) Get(ctx context.Context, key string) (store.Entry, error) {
	s.wait("get")
	return s.Store.Get(ctx, key)
}

func (s *stall) List(ctx context.Context, prefix string) (store.Listing, error) {
	s.wait("list")
	return s.Store.List(ctx, prefix)
}

func (s *stall) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	s.wait("watch")
	batch, err := s.Store.Watch(ctx, prefix, after)
	s.wait("watched")
	return batch, err
}

func (s *stall) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	call := "swap " + write.Key
	s.wait(call)
	revision, err := s.Store.CompareAndSwap(ctx, write)
	if strings.HasPrefix(write.Key, keys.HostPrefix) {
		s.world.audit()
	}
	s.wait("done " + call)
	return revision, err
}

func (s *stall) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	s.wait("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *stall) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	s.wait("keep-alive")
	return s.Store.KeepAlive(ctx, id)
}

func (s *stall) Hosts(ctx context.Context) ([]fleet.Host, error) {
	s.wait("hosts")
	return s.HostList.Hosts(ctx)
}

func (s *stall) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	s.wait("condition")
	return s.PoolHosts.Condition(ctx, host)
}

// late keeps a call alive although its caller has given up: what is on the
// wire can't be called back.
func late(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (s *stall) Drain(ctx context.Context, host, operation string) error {
	s.wait("drain " + host)
	return s.PoolHosts.Drain(late(ctx), host, operation)
}

func (s *stall) Undrain(ctx context.Context, host, operation string) error {
	s.wait("undrain " + host)
	return s.PoolHosts.Undrain(late(ctx), host, operation)
}

func (s *stall) Reboot(ctx context.Context, host, operation string) error {
	s.wait("reboot " + host)
	return s.PoolHosts.Reboot(late(ctx), host, operation)
}
