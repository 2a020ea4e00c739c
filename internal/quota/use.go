package quota

import "auburnglade.example/glade/internal/work"

// Use is what one organisation's tasks may be using on a pool's hosts.
type Use struct {
	// Own counts the runs that this holder started, Adopted those of earlier holders
	// that were found on their hosts. Both count until a run has certainly ended.
	Own, Adopted work.Resources
	// Inherited is what the pool held of the organisation's limit when it was taken
	// over: the most that earlier holders may have started.
	Inherited work.Resources
}

// Total returns the use, where hidden is the most that runs of earlier holders can use
// on hosts that have not answered since the takeover.
func (u *Use) Total(hidden work.Resources) work.Resources {
	sum := u.Own.Plus(u.Adopted)
	sum.MilliCPU += max(0, min(hidden.MilliCPU, u.Inherited.MilliCPU-u.Adopted.MilliCPU))
	sum.MemMB += max(0, min(hidden.MemMB, u.Inherited.MemMB-u.Adopted.MemMB))
	sum.GPU += max(0, min(hidden.GPU, u.Inherited.GPU-u.Adopted.GPU))
	return sum
}
