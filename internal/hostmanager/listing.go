package hostmanager

import (
	"context"
	"time"
)

// list reads the hosts unless that was done a moment ago. Whoever comes while
// they are read waits for that: a list for each of hundreds of hosts on their way
// would take all calls that the platform allows, and leave none for moves.
func (k *Manager) list(ctx context.Context) error {
	select {
	case k.listing <- struct{}{}:
		defer func() { <-k.listing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	k.mu.Lock()
	recent := time.Since(k.listed) < roundEvery/2
	k.mu.Unlock()
	if recent {
		return nil
	}
	began := time.Now()
	hosts, err := k.Fleet.List(ctx)
	if err != nil {
		return err
	}
	k.take(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listTook = time.Since(began)
	return nil
}

// refresh sees to it that the list of hosts is not older than listOld. One that
// isn't of this moment is read anew beside what is done by it, where that takes
// longer than listSoon: the platform takes half a second to list a thousand hosts
// page by page, for which every round of moves would wait.
func (k *Manager) refresh(ctx context.Context) error {
	k.mu.Lock()
	age, took := time.Since(k.listed), k.listTook
	k.mu.Unlock()
	if age >= listOld || took < listSoon {
		return k.list(ctx)
	}
	if age >= roundEvery/2 && len(k.listing) == 0 {
		go func() {
			if err := k.list(ctx); err != nil {
				k.Log.Warn().Err(err).Msg("Can't list the hosts.")
			}
		}()
	}
	return nil
}

// take takes over a list of the hosts.
func (k *Manager) take(hosts []Host) {
	byName := make(map[string]int, len(hosts))
	for i, h := range hosts {
		byName[h.Name] = i
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts, k.byName, k.listed = hosts, byName, time.Now()
}

func (k *Manager) host(name string) (Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hostLocked(name)
}

func (k *Manager) hostLocked(name string) (Host, bool) {
	i, listed := k.byName[name]
	if !listed {
		return Host{}, false
	}
	return k.hosts[i], true
}
