package entryhost_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
)

// Guards against a holder that starts tasks again which go on at hosts that only its successor reaches.
func TestSecondRunByAHolderThatIsCutOffWithSomeHosts(t *testing.T) {
	const partition, tasks = 14 * time.Second, 8
	for _, listing := range []string{"truthful", "unavailable"} {
		for _, suspended := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s/suspended %s first", listing, suspended), func(t *testing.T) {
				prepare := func(dep *deployment) {
					dep.links, dep.linkMbps = emulate.NewLinks(), zoneDayMbps
					dep.gated, dep.suspendable = true, true
				}
				runTestOf(t, 3, prepare, func(dep *deployment) {
					dep.fleet.SetFaults(hostListings[listing])
					// Each host takes several of the tasks.
					step := longRunning(tasks)
					step.MaxPerHost, step.MaxUnavailable = 0, 0
					id := dep.accept(dep.entries["entry-1"], "day", step)
					time.Sleep(settledAfter)
					must.EqOp(t, tasks, dep.workers.Checker.Running(id))
					inside := dep.workers.IDs("day")[:2]
					holder := dep.holder("day")
					dep.partition(holder, inside, partition)
					if suspended > 0 {
						process := dep.entries[holder].process
						process.Suspend()
						time.AfterFunc(suspended, process.Resume)
					}
					time.Sleep(partition + 20*time.Second)
					must.EqOp(t, tasks, dep.workers.Checker.Running(id))
				})
			})
		}
	}
}

// partition cuts an entry host and some hosts off from all others and from the store for
// a while.
func (dep *deployment) partition(node string, inside []string, length time.Duration) {
	isInside := func(host string) bool { return slices.Contains(inside, host) }
	isOutside := func(host string) bool { return !isInside(host) }
	for name, e := range dep.entries {
		from := isInside
		if name == node {
			from = isOutside
			link := dep.links.Link(node)
			link.Cut()
			e.gate.silence(true)
			time.AfterFunc(length, func() { link.Heal(); e.gate.silence(false) })
		}
		e.process.CutOff(from)
		time.AfterFunc(length, func() { e.process.CutOff(nil) })
	}
}
