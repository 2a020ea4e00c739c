package wave

import (
	"fmt"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// testTime is a Wednesday evening.
var testTime = time.Date(2026, time.December, 2, 20, 0, 0, 0, time.UTC)

// testFleet holds the hosts and records of a test, which updates them directly.
type testFleet struct {
	hosts   []Host
	budgets []*record.Budget
	// services maps a pool to the services of its hosts.
	services map[string][]string
	waves    map[string]*record.Wave
	policy   *record.Policy
	now      time.Time
}

func newTestFleet() *testFleet {
	return &testFleet{
		services: make(map[string][]string), waves: make(map[string]*record.Wave), now: testTime,
		policy: &record.Policy{RolloutWeight: 1},
	}
}

// pool adds a pool of hosts spread over three zones, two hosts to a rack, with
// one service and its budget.
func (f *testFleet) pool(name string, hosts, minimum int, margin record.FailureMargin) {
	for i := range hosts {
		f.hosts = append(f.hosts, Host{
			Name: fmt.Sprintf("%s-%02d", name, i), Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/6),
			Record:          hostrecord.Record{Host: fmt.Sprintf("%s-%02d", name, i), Pool: name, Phase: hostrecord.Serving},
			RecordConfirmed: true, Reachable: true, Healthy: true, BootID: "boot-1",
		})
	}
	f.services[name] = []string{name}
	f.budgets = append(f.budgets, &record.Budget{Service: name, MinAvailable: minimum, Margin: margin})
}

func (f *testFleet) host(name string) *Host {
	for i := range f.hosts {
		if f.hosts[i].Name == name {
			return &f.hosts[i]
		}
	}
	return nil
}

func (f *testFleet) visit(name, wave string, v hostrecord.WaveOutcome) {
	h := f.host(name)
	if h.Record.WaveOutcomes == nil {
		h.Record.WaveOutcomes = make(map[string]hostrecord.WaveOutcome)
	}
	h.Record.WaveOutcomes[wave] = v
}

// fleetOf returns a snapshot with a new budget tracker and the given waves.
func (f *testFleet) fleetOf(waves ...Input) Snapshot {
	var hosts []budget.Host
	for _, h := range f.hosts {
		hosts = append(hosts, budget.Host{
			Name: h.Name, Zone: h.Zone, Rack: h.Rack, Services: f.services[h.Record.Pool],
			Available: h.Record.Schedulable() && !h.Down,
		})
	}
	return Snapshot{Waves: waves, Budgets: budget.NewTracker(f.budgets, hosts), Policy: f.policy, Now: f.now}
}

func (f *testFleet) fleet() Snapshot {
	var waves []Input
	for _, name := range []string{"a", "b", "c"} {
		spec := f.waves[name]
		if spec == nil {
			continue
		}
		input := Input{Name: name, Spec: spec}
		for _, h := range f.hosts {
			for _, pool := range spec.Pools {
				if h.Record.Pool == pool {
					input.Hosts = append(input.Hosts, h)
				}
			}
		}
		waves = append(waves, input)
	}
	return f.fleetOf(waves...)
}

// plan plans all waves and returns the plan of the first one.
func (f *testFleet) plan() Plan { return PlanAll(f.fleet())[0] }

// starts returns the hosts that the plan takes out, in order.
func starts(plan Plan) []string {
	var hosts []string
	for _, step := range plan.Steps {
		if step.Verb == MarkDraining {
			hosts = append(hosts, step.Host)
		}
	}
	return hosts
}

// out marks a host as taken out by the wave.
func (f *testFleet) out(name, wave string, phase hostrecord.Phase) *Host {
	h := f.host(name)
	h.Record.Phase, h.Record.Wave, h.Record.Operation, h.Record.BootID = phase, wave, "op-"+name, "boot-1"
	return h
}
