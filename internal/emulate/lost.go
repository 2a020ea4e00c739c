package emulate

import "time"

// entryExpiry is how long the host list contains a host that is gone: it expires after
// three heartbeats to the platform, 1.5 s each, the last of which was half of one ago.
const entryExpiry = 3750 * time.Millisecond

// lostHost is an incarnation of a host that is gone for good.
type lostHost struct {
	*host
	// refuses is set if connections to it are refused, otherwise calls get no response.
	refuses bool
	listed  bool
}

// Lose ends a host for good. Its runs are lost, no other incarnation follows, and calls
// to it are refused or get no response.
func (w *Workers) Lose(id string, refuses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	if h == nil {
		return
	}
	w.Checker.hostCrashed(h)
	w.stopHostLocked(h)
	h.crashed = true
	if refuses {
		close(h.runEnded)
	}
	w.lost[id] = &lostHost{h, refuses, true}
	time.AfterFunc(entryExpiry, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lost[id].listed = false
		w.notifyLocked()
	})
}

// isLost reports whether a host is gone for good.
func (w *Workers) isLost(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost[id] != nil
}

// Up reports whether a host is up.
func (w *Workers) Up(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[id] != nil && w.crashed[id] == nil
}
