package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testFleet = Targets{
	Gateways:    []string{"gateway-1", "gateway-2", "gateway-3"},
	Controllers: []string{"controller-1", "controller-2"},
	Zones:       []string{"a", "b", "c"},
	Hosts:       []string{"host-001", "host-002"},
}

// A soak that fails must fail again: the same seed gives the same schedule.
func TestPlanRepeats(t *testing.T) {
	must.Eq(t, Plan(7, 5*time.Minute, testFleet), Plan(7, 5*time.Minute, testFleet))
	must.NotEq(t, Plan(7, 5*time.Minute, testFleet), Plan(8, 5*time.Minute, testFleet))
}

// The calm end stays calm, and no two faults of one group overlap: budgets
// are made for the worst single loss.
func TestPlanKeepsItsRules(t *testing.T) {
	const length = 10 * time.Minute
	for seed := range uint64(50) {
		until := make(map[string]time.Duration)
		for _, fault := range Plan(seed, length, testFleet) {
			must.LessEq(t, length-RecoveryPeriod, fault.At+fault.Duration)
			group := groupOf(fault)
			must.GreaterEq(t, until[group], fault.At)
			until[group] = fault.At + fault.Duration
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
	for _, name := range testFleet.Gateways {
		if name == fault.Target {
			return groupGateways
		}
	}
	return groupControllers
}
