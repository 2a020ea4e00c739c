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

// stall stands between one controller and everything outside it. A paused
// controller sleeps before its next call and then makes it as if nothing had
// happened, however late: what a stopped process or a slow network does.
type stall struct {
	store.Store
	fleet.HostList
	fleet.HostControl
	world *world

	mu    sync.Mutex
	until time.Time
	// before, when set, is called with each call's name before it is made.
	before func(call string)
	// blind makes every question for a host's condition fail.
	blind atomic.Bool
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
	if strings.HasPrefix(write.Key, storekeys.HostPrefix) {
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
	if s.blind.Load() {
		return fleet.HostCondition{}, &fleet.UnreachableError{Op: "condition", Host: host}
	}
	return s.HostControl.Condition(ctx, host)
}

// act makes an act on the platform however late, and although its caller has
// given up: what is on the wire can't be called back. Only a platform that
// doesn't refuse acts of ended operations gets them within fleet.MaxActDelay.
func (s *stall) act(ctx context.Context, verb, host, operation string, act func(context.Context, string, string) error) error {
	began := time.Now()
	s.wait(verb + " " + host)
	if s.world.boundedDelay && time.Since(began) > fleet.MaxActionDelay {
		return &fleet.UnreachableError{Op: verb, Host: host, Sent: true}
	}
	return act(context.WithoutCancel(ctx), host, operation)
}

func (s *stall) Drain(ctx context.Context, host, operation string) error {
	return s.act(ctx, "drain", host, operation, s.HostControl.Drain)
}

func (s *stall) Undrain(ctx context.Context, host, operation string) error {
	return s.act(ctx, "undrain", host, operation, s.HostControl.Undrain)
}

func (s *stall) Reboot(ctx context.Context, host, operation string) error {
	return s.act(ctx, "reboot", host, operation, s.HostControl.Reboot)
}
