package poolrpc

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostmanager"
)

// A field of a load that isn't carried would be zero at the host manager, which then
// takes a busy host for an idle one or late work for none.
func TestLoadIsCarriedWhole(t *testing.T) {
	load := hostmanager.Load{
		Capacity: 1, Used: 2, Waiting: 3, LongRunning: 4, Offered: 5, DeadlineNeed: 6, RecentOffered: 7, Peak: 8,
		SincePeak: 9 * time.Millisecond, MinHosts: 10, WarmingUp: true,
		Demand: []hostmanager.DemandTier{{MilliCPU: 11, Value: hostmanager.InTimeValue}, {MilliCPU: 12, Value: hostmanager.LateValue}},
		Hosts:  []hostmanager.HostLoad{{Worker: "w", Used: 13, LongRunning: 14, Remaining: 15 * time.Millisecond, WorkValue: 16, Unschedulable: true}},
	}
	must.Eq(t, load, decodeLoad(encodeLoad(load)))
}
