// Package forecast simulates the planners: how long a wave would take, which capacity
// it would reserve, which hosts would move. It has no side effects. It runs the
// planners themselves on a copy of the fleet in which every operation succeeds, so
// it predicts a run without failures.
package forecast

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

// Input is the state of the fleet that a forecast starts from. Snapshot contains the
// records to be evaluated as if they were active.
type Input struct {
	Snapshot  *configstate.Snapshot
	Hosts     []fleet.Host
	GrantSets map[string]budget.GrantSet
	// Now is the wall clock time; maintenance windows depend on it.
	Now time.Time
}

// Wave is the forecast of a wave from now to its end.
type Wave struct {
	Wave  string     `json:"wave"`
	Phase wave.Phase `json:"phase"`
	Hosts int        `json:"hosts"`
	// Maintained counts the hosts that the wave maintains.
	Maintained int `json:"maintained"`
	// Seconds is the roll-out time, including waits for maintenance windows.
	Seconds int `json:"seconds"`
	// SecondsPerHost is the downtime per host that the forecast uses, and
	// EstimateSource describes where it comes from.
	SecondsPerHost int    `json:"secondsPerHost"`
	EstimateSource string `json:"from"`
	// MaxOut is the maximum number of hosts out at once.
	MaxOut int `json:"mostOut"`
	// HostHoursOut and HostHoursReserved make up the buffer cost: hosts out, and
	// endpoints reserved for the budgets' failure margins while the wave works on
	// their service.
	HostHoursOut      float64 `json:"hostHoursOut"`
	HostHoursReserved float64 `json:"hostHoursHeld"`
	// Waiting is the reason for each host that the wave doesn't maintain.
	Waiting map[string]string `json:"waiting,omitempty"`
}

// maxSteps limits a simulation: each step starts or returns a host, or waits for a
// window.
const maxSteps = 20_000

// windowStep is the step width of the search for the opening of a maintenance
// window, and horizon how far ahead it goes.
const (
	windowStep = 10 * time.Minute
	horizon    = 15 * 24 * time.Hour
)

// Waves simulates all waves of the snapshot together and returns the forecast of
// each, by name.
func Waves(input Input) map[string]Wave {
	s := newSimulation(input)
	for range maxSteps {
		if !s.step() {
			break
		}
	}
	return s.result
}

type simulation struct {
	input Input
	now   time.Time
	hosts map[string]fleet.Host
	// records are the simulated host records, by host.
	records map[string]hostrecord.Record
	// returnsAt is when each host that is out returns.
	returnsAt map[string]time.Time
	outTimes  map[string]time.Duration
	result    map[string]Wave
}

func newSimulation(input Input) *simulation {
	s := &simulation{
		input: input, now: input.Now,
		hosts:     make(map[string]fleet.Host, len(input.Hosts)),
		records:   make(map[string]hostrecord.Record, len(input.Snapshot.Hosts)),
		returnsAt: make(map[string]time.Time),
		outTimes:  make(map[string]time.Duration),
		result:    make(map[string]Wave),
	}
	for _, host := range input.Hosts {
		s.hosts[host.Name] = host
	}
	waves := input.Snapshot.Waves()
	for name, item := range input.Snapshot.Hosts {
		r := item.Record
		r.WaveOutcomes = maps.Clone(r.WaveOutcomes)
		s.records[name] = r
	}
	for name, spec := range waves {
		seconds, from := s.outTime(spec)
		s.outTimes[name] = seconds
		s.result[name] = Wave{Wave: name, SecondsPerHost: int(seconds.Seconds()), EstimateSource: from}
	}
	for name, r := range s.records {
		if !r.Schedulable() && r.Phase != hostrecord.Failed && waves[r.Wave] != nil {
			s.returnsAt[name] = s.now.Add(s.outTimes[r.Wave])
		}
	}
	return s
}

// outTime returns the mean downtime of the hosts of the wave's pools that waves have
// maintained, or the sum of the record's deadlines if there are none, and where it
// comes from.
func (s *simulation) outTime(spec *record.Wave) (time.Duration, string) {
	total, seen := 0, 0
	for _, r := range s.records {
		if !slices.Contains(spec.Pools, r.Pool) {
			continue
		}
		for _, visit := range r.WaveOutcomes {
			if visit.Result == hostrecord.Maintained && visit.DowntimeSeconds > 0 {
				total += visit.DowntimeSeconds
				seen++
			}
		}
	}
	if seen == 0 {
		return wave.MaxDowntime(spec), "the record's deadlines, an upper bound"
	}
	return time.Duration(total) * time.Second / time.Duration(seen), fmt.Sprintf("the mean of %d earlier visits", seen)
}

// step plans once and applies the plan, or advances the clock until a host returns or
// a window opens. It returns false when nothing more happens.
func (s *simulation) step() bool {
	plans := wave.PlanAll(s.snapshot())
	applied, outsideWindow := false, false
	for _, plan := range plans {
		s.recordStatus(plan.Status)
		outsideWindow = outsideWindow || plan.Status.Phase == wave.OutsideWindow
		for _, step := range plan.Steps {
			applied = s.apply(plan.Status.Wave, step) || applied
		}
	}
	if applied {
		return true
	}
	until, found := s.nextReturn()
	if !found && outsideWindow {
		until, found = s.now.Add(windowStep), s.now.Sub(s.input.Now) < horizon
	}
	if !found {
		return false
	}
	s.advance(plans, until)
	return true
}

func (s *simulation) recordStatus(status wave.Status) {
	result := s.result[status.Wave]
	result.Phase, result.Hosts, result.Maintained = status.Phase, status.Hosts, status.Maintained
	result.MaxOut = max(result.MaxOut, len(status.HostsOut))
	result.Waiting = status.Waiting
	s.result[status.Wave] = result
}

func (s *simulation) apply(name string, step wave.Step) bool {
	r := s.records[step.Host]
	switch step.Verb {
	case wave.MarkDraining:
		r.Phase, r.Wave, r.Operation = hostrecord.Draining, name, "forecast"
		r.OutSince, r.AlreadyDown = s.now, step.AlreadyDown
		s.returnsAt[step.Host] = s.now.Add(s.outTimes[name])
	case wave.ReturnToService:
		if step.Outcome != nil {
			if r.WaveOutcomes == nil {
				r.WaveOutcomes = make(map[string]hostrecord.WaveOutcome)
			}
			r.WaveOutcomes[name] = *step.Outcome
		}
		r.Phase, r.Wave, r.Operation, r.OutSince = hostrecord.Serving, "", "", time.Time{}
		delete(s.returnsAt, step.Host)
	default:
		return false
	}
	s.records[step.Host] = r
	return true
}

func (s *simulation) nextReturn() (time.Time, bool) {
	var first time.Time
	for _, at := range s.returnsAt {
		if at.After(s.now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// advance sets the clock and adds to each wave the host hours used meanwhile.
func (s *simulation) advance(plans []wave.Plan, until time.Time) {
	hours := until.Sub(s.now).Hours()
	for _, plan := range plans {
		result := s.result[plan.Status.Wave]
		result.HostHoursOut += float64(len(plan.Status.HostsOut)) * hours
		for _, buffer := range plan.Status.Buffers {
			result.HostHoursReserved += float64(buffer.Reserve) * hours
		}
		if len(plan.Status.HostsOut) > 0 {
			result.Seconds = int(until.Sub(s.input.Now).Seconds())
		}
		s.result[plan.Status.Wave] = result
	}
	s.now = until
}

func (s *simulation) snapshot() wave.Snapshot {
	snapshot := wave.Snapshot{Policy: s.input.Snapshot.Policy(), Now: s.now, Budgets: s.tracker()}
	waves := s.input.Snapshot.Waves()
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		snapshot.Waves = append(snapshot.Waves, wave.Input{Name: name, Spec: waves[name], Hosts: s.hostsOf(waves[name])})
	}
	return snapshot
}

func (s *simulation) hostsOf(spec *record.Wave) []wave.Host {
	var hosts []wave.Host
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[name]
		if slices.Contains(spec.Pools, r.Pool) && spec.Covers(name) {
			hosts = append(hosts, s.waveHost(name, r))
		}
	}
	return hosts
}

// waveHost returns a host; one whose downtime is over is shown as verified healthy.
func (s *simulation) waveHost(name string, r hostrecord.Record) wave.Host {
	listed := s.hosts[name]
	host := wave.Host{
		Name: name, Zone: listed.Zone, Rack: listed.Rack, Record: r,
		Down: listed.State != fleet.HostLive,
	}
	returnsAt, out := s.returnsAt[name]
	if out && !returnsAt.After(s.now) {
		host.Record.Phase = hostrecord.Verifying
		host.Reachable, host.Healthy, host.HealthyFor = true, true, 24*time.Hour
	}
	return host
}

func (s *simulation) tracker() *budget.Tracker {
	var states []budget.ServiceState
	for _, service := range slices.Sorted(maps.Keys(s.input.Snapshot.Services())) {
		states = append(states, s.serviceState(service))
	}
	return budget.NewTrackerFromServices(states)
}

// serviceState counts a host as out by its simulated record. Of the grants, only
// those of hosts that no simulated wave has out are kept.
func (s *simulation) serviceState(service string) budget.ServiceState {
	state := budget.ServiceState{Service: service, Grants: budget.GrantSet{ByHost: make(map[string]budget.Grant)}}
	for _, b := range s.input.Snapshot.Budgets() {
		if b.Service == service {
			state.Budgets = append(state.Budgets, b)
		}
	}
	for host, grant := range s.input.GrantSets[service].ByHost {
		if s.records[host].Schedulable() && s.input.Snapshot.Hosts[host].Schedulable() {
			state.Grants.ByHost[host] = grant
		}
	}
	pools := s.input.Snapshot.PoolsOf(service)
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[name]
		if slices.Contains(pools, r.Pool) {
			listed := s.hosts[name]
			available := r.Schedulable() && s.isUp(name, listed)
			state.Endpoints = append(state.Endpoints, budget.Endpoint{Host: name, Zone: listed.Zone, Rack: listed.Rack, Available: available})
		}
	}
	return state
}

// isUp reports whether a host that takes work is also up. A host that a simulated
// wave has returned is up, whatever the list reported before.
func (s *simulation) isUp(name string, listed fleet.Host) bool {
	return listed.State == fleet.HostLive || !s.input.Snapshot.Hosts[name].Schedulable()
}

// Moves are the moves that the mover would make once its reasons have persisted.
type Moves struct {
	Assign []mover.Assignment `json:"assign,omitempty"`
	Moves  []mover.Move       `json:"moves,omitempty"`
	// Waiting is, by pool, the reason why its missing hosts don't arrive.
	Waiting map[string]string `json:"waiting,omitempty"`
}

// PlanMoves returns the moves that the records require, as if every reason had
// persisted for the stabilization window.
func PlanMoves(input Input) Moves {
	planned := mover.NewInput(input.Snapshot, input.Hosts)
	planned.StabilizationWindow = 0
	plan := mover.MakePlan(planned)
	return Moves{Assign: plan.Assign, Moves: plan.Moves, Waiting: plan.Waiting}
}
