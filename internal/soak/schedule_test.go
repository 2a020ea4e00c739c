package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testTargets = Targets{
	Gateways:    []string{"gateway-1", "gateway-2", "gateway-3"},
	Controllers: []string{"controller-1", "controller-2"},
	Zones:       []string{"a", "b", "c"},
	Hosts:       []string{"host-001", "host-002"},
}

// A failed soak run must be reproducible: the same seed gives the same schedule.
func TestPlanIsDeterministic(t *testing.T) {
	must.Eq(t, Plan(7, 5*time.Minute, testTargets), Plan(7, 5*time.Minute, testTargets))
	must.NotEq(t, Plan(7, 5*time.Minute, testTargets), Plan(8, 5*time.Minute, testTargets))
}

// No fault extends into the recovery period, and no two faults of one group
// overlap, since budgets cover only the worst single failure.
func TestPlanAvoidsOverlappingFaults(t *testing.T) {
	const length = 10 * time.Minute
	for seed := range uint64(50) {
		busyUntil := make(map[string]time.Duration)
		for _, fault := range Plan(seed, length, testTargets) {
			must.LessEq(t, length-RecoveryPeriod, fault.At+fault.Duration)
			group := groupOf(fault)
			must.GreaterEq(t, busyUntil[group], fault.At)
			busyUntil[group] = fault.At + fault.Duration
		}
	}
}

func groupOf(fault Fault) string {
	switch fault.Kind {
	case StoreDown, StoreThrottled, LoseResponses:
		return groupStore
	case HostDown, ZoneDown:
		return groupHosts
	}
	for _, name := range testTargets.Gateways {
		if name == fault.Target {
			return groupGateways
		}
	}
	return groupControllers
}
