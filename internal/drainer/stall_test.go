package drainer_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// interceptor wraps all outgoing calls of one controller. While it is paused, a call
// sleeps and is then made regardless of the delay, as with a stopped process or a
// slow network.
type interceptor struct {
	store.Store
	fleet.HostList
	fleet.HostControl
	cluster *testCluster

	mu          sync.Mutex
	pausedUntil time.Time
	// before, if set, is called with the name of each call before the call is made.
	before func(call string)
	// conditionFails makes every Condition call fail.
	conditionFails atomic.Bool
}

func (s *interceptor) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

func (s *interceptor) waitWhilePaused(call string) {
	s.mu.Lock()
	hook := s.before
	s.mu.Unlock()
	if hook != nil {
		hook(call)
	}
	for {
		s.mu.Lock()
		remaining := time.Until(s.pausedUntil)
		s.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

func (s *interceptor) Get(ctx context.Context, key string) (store.Entry, error) {
	s.waitWhilePaused("get")
	return s.Store.Get(ctx, key)
}

func (s *interceptor) List(ctx context.Context, prefix string) (store.Listing, error) {
	s.waitWhilePaused("list")
	return s.Store.List(ctx, prefix)
}

func (s *interceptor) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	s.waitWhilePaused("watch")
	batch, err := s.Store.Watch(ctx, prefix, after)
	s.waitWhilePaused("watched")
	return batch, err
}

func (s *interceptor) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	call := "swap " + write.Key
	s.waitWhilePaused(call)
	revision, err := s.Store.CompareAndSwap(ctx, write)
	if strings.HasPrefix(write.Key, storekeys.HostPrefix) {
		s.cluster.audit()
	}
	s.waitWhilePaused("done " + call)
	return revision, err
}

func (s *interceptor) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	s.waitWhilePaused("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *interceptor) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	s.waitWhilePaused("keep-alive")
	return s.Store.KeepAlive(ctx, id)
}

func (s *interceptor) Hosts(ctx context.Context) ([]fleet.Host, error) {
	s.waitWhilePaused("hosts")
	return s.HostList.Hosts(ctx)
}

func (s *interceptor) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	s.waitWhilePaused("condition")
	if s.conditionFails.Load() {
		return fleet.HostCondition{}, &fleet.UnreachableError{Op: "condition", Host: host}
	}
	return s.HostControl.Condition(ctx, host)
}

// sendAction sends a request to the platform regardless of its delay, and even if the
// caller has cancelled it: a request in transit cannot be recalled. For a platform
// that does not reject requests of ended operations, delays are limited to
// fleet.MaxActionDelay.
func (s *interceptor) sendAction(ctx context.Context, verb, host, operation string, send func(context.Context, string, string) error) error {
	started := time.Now()
	s.waitWhilePaused(verb + " " + host)
	if s.cluster.boundedDelay && time.Since(started) > fleet.MaxActionDelay {
		return &fleet.UnreachableError{Op: verb, Host: host, MaybeSent: true}
	}
	return send(context.WithoutCancel(ctx), host, operation)
}

func (s *interceptor) Drain(ctx context.Context, host, operation string) error {
	return s.sendAction(ctx, "drain", host, operation, s.HostControl.Drain)
}

func (s *interceptor) Undrain(ctx context.Context, host, operation string) error {
	return s.sendAction(ctx, "undrain", host, operation, s.HostControl.Undrain)
}

func (s *interceptor) Reboot(ctx context.Context, host, operation string) error {
	return s.sendAction(ctx, "reboot", host, operation, s.HostControl.Reboot)
}
