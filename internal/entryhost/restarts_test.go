package entryhost_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"auburnglade.example/glade/internal/carrier"
)

// restartDaysInCI is the default number of days with hosts that restart under their ID.
const restartDaysInCI = 16

// The days with hosts that crash together, on which every other host restarts under its
// ID; on every other day they are called through carriers. No task may run twice for
// what an earlier incarnation said. GLADE_FIRST_RESTART_DAY and GLADE_RESTART_DAYS select
// others.
func TestRandomDaysWithHostsThatRestartUnderTheirID(t *testing.T) {
	first := envInt(t, "GLADE_FIRST_RESTART_DAY", 0)
	for seed := first; seed < first+envInt(t, "GLADE_RESTART_DAYS", restartDaysInCI); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			runTestOf(t, 3, func(dep *deployment) {
				dep.hostsPerCore = []carrier.HostsPerCore{0, oneHostPerEntry}[seed%2]
				dep.workers.KeepsID = func(id string) bool { return id[len(id)-1]%2 == 0 }
			}, func(dep *deployment) {
				d := newDay(dep, uint64(seed))
				d.siteFaults = rand.New(rand.NewPCG(uint64(seed), 9))
				d.hostCrashes = rand.New(rand.NewPCG(uint64(seed), 12))
				d.run()
			})
		})
	}
}
