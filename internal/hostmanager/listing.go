package hostmanager

import (
	"context"
	"time"
)

// list reads the hosts unless that was done a moment ago. Concurrent callers wait
// for the one that reads: a list for each of hundreds of moving hosts would use all
// calls that the platform allows, and leave none for the moves.
func (m *Manager) list(ctx context.Context) error {
	select {
	case m.listSlot <- struct{}{}:
		defer func() { <-m.listSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	m.mu.Lock()
	recent := time.Since(m.listedAt) < reconcileInterval/2
	m.mu.Unlock()
	if recent {
		return nil
	}
	start := time.Now()
	hosts, err := m.Fleet.List(ctx)
	if err != nil {
		return err
	}
	m.setHosts(hosts)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listDuration = time.Since(start)
	return nil
}

// ensureRecentList makes sure that the list of hosts isn't older than maxListAge.
// If a list takes maxListWait or longer, one that isn't quite recent is used while
// a new one is read in the background: the platform takes half a second to list a
// thousand hosts page by page, which would delay every reconciliation of moves.
func (m *Manager) ensureRecentList(ctx context.Context) error {
	m.mu.Lock()
	age, took := time.Since(m.listedAt), m.listDuration
	m.mu.Unlock()
	if age >= maxListAge || took < maxListWait {
		return m.list(ctx)
	}
	if age >= reconcileInterval/2 && len(m.listSlot) == 0 {
		go func() {
			if err := m.list(ctx); err != nil {
				m.Log.Warn().Err(err).Msg("Failed to list hosts.")
			}
		}()
	}
	return nil
}

// setHosts replaces the list of hosts.
func (m *Manager) setHosts(hosts []Host) {
	byName := make(map[string]int, len(hosts))
	for i, h := range hosts {
		byName[h.Name] = i
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts, m.byName, m.listedAt = hosts, byName, time.Now()
}

func (m *Manager) host(name string) (Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostLocked(name)
}

func (m *Manager) hostLocked(name string) (Host, bool) {
	i, listed := m.byName[name]
	if !listed {
		return Host{}, false
	}
	return m.hosts[i], true
}
