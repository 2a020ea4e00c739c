package emulate

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

// SilentListing is what the list of hosts says of a host that answers nobody though it
// runs on.
type SilentListing string

const (
	// SilentUp lists it as up, as it is.
	SilentUp SilentListing = ""
	// SilentDown lists it as down, as a service does that goes by silence.
	SilentDown SilentListing = "down"
	// SilentLeftOut leaves it out.
	SilentLeftOut SilentListing = "left out"
)

// pastListing is what the list of hosts said at a moment.
type pastListing struct {
	at    time.Time
	hosts []hostmanager.Host
}

// listLocked returns the list of hosts as it is now.
func (f *Fleet) listLocked() []hostmanager.Host {
	var list []hostmanager.Host
	for _, name := range f.names {
		h := f.hosts[name].Host
		silent := f.workers.isSilent(h.Worker)
		if f.workers.isLost(h.Worker) || silent && f.faults.Silent == SilentLeftOut {
			continue
		}
		h.Up = f.isUp(f.hosts[name]) && !(silent && f.faults.Silent == SilentDown)
		list = append(list, h)
	}
	return list
}

// listedLocked returns the list of hosts as the service gives it.
func (f *Fleet) listedLocked() []hostmanager.Host {
	if f.faults.Lag == 0 {
		return f.listLocked()
	}
	return slices.Clone(f.past[0].hosts)
}

// noteList keeps the list of hosts while the service lags.
func (f *Fleet) noteList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteListLocked()
}

// noteListLocked is noteList for callers that hold the lock. The first of the lists that
// are kept is the one that the service gives.
func (f *Fleet) noteListLocked() {
	if f.faults.Lag == 0 {
		f.past = nil
		return
	}
	f.past = append(f.past, pastListing{time.Now(), f.listLocked()})
	for len(f.past) > 1 && time.Since(f.past[1].at) >= f.faults.Lag {
		f.past = f.past[1:]
	}
}

// isSilent reports whether a host answers nobody though it runs.
func (w *Workers) isSilent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[id]
	return h != nil && h.faults.Unresponsive
}
