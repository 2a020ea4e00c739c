package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/work"
)

// demandOf returns the demand of one job that is due after a second and takes one, as
// seen when it has waited for a time.
func demandOf(t *testing.T, waited time.Duration) []hostmanager.DemandTier {
	t.Helper()
	start := time.Unix(1_700_000_000, 0)
	p := New(Config{Fence: 1, LeaseTTL: time.Hour, StopGrace: time.Second, RemoteFactor: 1, StatusRetention: time.Hour}, Roster{}, start)
	record := &work.JobRecord{
		ID: "0000000000000001", ArrivedMs: start.UnixMilli(),
		Queue: work.Queue{Name: "q", Pool: "p", MaxAttempts: 4, Stretch: 1, Slack: time.Second},
		Spec:  work.Spec{Steps: []work.Step{{Count: 4, Resources: work.Resources{MilliCPU: 500, MemMB: 10}, Estimate: time.Second}}},
	}
	p.Accept(record, start, start)
	// The arrival is forgotten, so that only the job itself counts.
	clear(p.arrivals)
	p.Plan(start.Add(waited), start.Add(waited))
	return p.Load(start.Add(waited)).Demand
}

// A job counts fully while it can be in time, by a tenth while it is late, and not at all
// when it is worthless: a pool deep under otherwise asks for less and less, or keeps
// hosts that would serve others.
func TestDemandFallsAsJobsGetLate(t *testing.T) {
	inTime, late, worthless := demandOf(t, 100*time.Millisecond), demandOf(t, 2*time.Second), demandOf(t, 10*time.Second)
	must.Positive(t, inTime[0].MilliCPU)
	must.EqOp(t, hostmanager.InTimeValue, inTime[0].Value)
	must.EqOp(t, 0, inTime[1].MilliCPU)
	must.EqOp(t, 0, late[0].MilliCPU)
	must.Positive(t, late[1].MilliCPU)
	must.EqOp(t, hostmanager.LateValue, late[1].Value)
	must.EqOp(t, 0, worthless[0].MilliCPU+worthless[1].MilliCPU)
}

// What arrives counts as work that can be in time.
func TestOfferedLoadIsDemandInTime(t *testing.T) {
	tiers := coreDemand{inTime: 2, late: 1}.tiers(5000)
	must.Eq(t, []hostmanager.DemandTier{{MilliCPU: 5000, Value: hostmanager.InTimeValue}, {MilliCPU: 1000, Value: hostmanager.LateValue}}, tiers)
}
