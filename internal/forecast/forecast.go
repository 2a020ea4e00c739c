// Package forecast plays what the planners would do, without doing it: how long
// a wave would take, what it would hold back, which hosts would move. It is
// pure: it runs the very planners that decide, on a copy of the fleet in which
// every act succeeds, so it foretells a calm run and no failure.
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

// Input is the fleet that a forecast starts from. Snapshot holds the records
// whose effect is asked for as if they were in force.
type Input struct {
	Snapshot  *configstate.Snapshot
	Hosts     []fleet.Host
	GrantSets map[string]budget.GrantSet
	// Now is the wall clock: maintenance windows depend on it.
	Now time.Time
}

// Wave is what a wave would do from now to its end.
type Wave struct {
	Wave  string     `json:"wave"`
	Phase wave.Phase `json:"phase"`
	Hosts int        `json:"hosts"`
	// Maintained counts the hosts that the wave gets to.
	Maintained int `json:"maintained"`
	// Seconds is the roll-out time, waits for maintenance windows included.
	Seconds int `json:"seconds"`
	// SecondsPerHost is the time out that it rests on, and From where that is
	// taken from.
	SecondsPerHost int    `json:"secondsPerHost"`
	EstimateSource string `json:"from"`
	// MaxOut is the most hosts out at once.
	MaxOut int `json:"mostOut"`
	// HostHoursOut and HostHoursHeld make the buffer cost: hosts out, and
	// endpoints kept for the budgets' failure margins while the wave works on
	// their service.
	HostHoursOut  float64 `json:"hostHoursOut"`
	HostHoursHeld float64 `json:"hostHoursHeld"`
	// Waiting says which hosts the wave doesn't get to, and why.
	Waiting map[string]string `json:"waiting,omitempty"`
}

// maxSteps bounds a simulation: each step starts or returns a host, or waits
// for a window.
const maxSteps = 20_000

// windowStep is how finely the opening of a maintenance window is looked for,
// and horizon how far ahead.
const (
	windowStep = 10 * time.Minute
	horizon    = 15 * 24 * time.Hour
)

// Waves plays all waves of the snapshot together and returns the forecast of
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
	input  Input
	now    time.Time
	listed map[string]fleet.Host
	// hosts are the records as they would be, by host.
	hosts map[string]hostrecord.Record
	// backAt is when each host that is out is back.
	backAt map[string]time.Time
	perOut map[string]time.Duration
	result map[string]Wave
}

func newSimulation(input Input) *simulation {
	s := &simulation{
		input: input, now: input.Now,
		listed: make(map[string]fleet.Host, len(input.Hosts)),
		hosts:  make(map[string]hostrecord.Record, len(input.Snapshot.Hosts)),
		backAt: make(map[string]time.Time),
		perOut: make(map[string]time.Duration),
		result: make(map[string]Wave),
	}
	for _, host := range input.Hosts {
		s.listed[host.Name] = host
	}
	waves := input.Snapshot.Waves()
	for name, item := range input.Snapshot.Hosts {
		r := item.Record
		r.WaveOutcomes = maps.Clone(r.WaveOutcomes)
		s.hosts[name] = r
	}
	for name, spec := range waves {
		seconds, from := s.timeOut(spec)
		s.perOut[name] = seconds
		s.result[name] = Wave{Wave: name, SecondsPerHost: int(seconds.Seconds()), EstimateSource: from}
	}
	for name, r := range s.hosts {
		if !r.TakesWork() && r.Phase != hostrecord.Failed && waves[r.Wave] != nil {
			s.backAt[name] = s.now.Add(s.perOut[r.Wave])
		}
	}
	return s
}

// timeOut is the mean time out of the hosts that waves have maintained on the
// wave's pools, or the record's deadlines.
func (s *simulation) timeOut(spec *record.Wave) (time.Duration, string) {
	total, seen := 0, 0
	for _, r := range s.hosts {
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

// step plans once and plays what is planned, or lets time pass until a host is
// back or a window opens. It reports false when nothing more happens.
func (s *simulation) step() bool {
	plans := wave.PlanAll(s.fleet())
	acted, shut := false, false
	for _, plan := range plans {
		s.note(plan.Status)
		shut = shut || plan.Status.Phase == wave.OutsideWindow
		for _, step := range plan.Steps {
			acted = s.play(plan.Status.Wave, step) || acted
		}
	}
	if acted {
		return true
	}
	until, found := s.nextReturn()
	if !found && shut {
		until, found = s.now.Add(windowStep), s.now.Sub(s.input.Now) < horizon
	}
	if !found {
		return false
	}
	s.pass(plans, until)
	return true
}

func (s *simulation) note(status wave.Status) {
	r := s.result[status.Wave]
	r.Phase, r.Hosts, r.Maintained = status.Phase, status.Hosts, status.Maintained
	r.MaxOut = max(r.MaxOut, len(status.Out))
	r.Waiting = status.Waiting
	s.result[status.Wave] = r
}

func (s *simulation) play(name string, step wave.Step) bool {
	r := s.hosts[step.Host]
	switch step.Verb {
	case wave.MarkDraining:
		r.Phase, r.Wave, r.Operation = hostrecord.Draining, name, "forecast"
		r.OutSince, r.AlreadyDown = s.now, step.AlreadyDown
		s.backAt[step.Host] = s.now.Add(s.perOut[name])
	case wave.ReturnToService:
		if step.Visit != nil {
			if r.WaveOutcomes == nil {
				r.WaveOutcomes = make(map[string]hostrecord.WaveOutcome)
			}
			r.WaveOutcomes[name] = *step.Visit
		}
		r.Phase, r.Wave, r.Operation, r.OutSince = hostrecord.Serving, "", "", time.Time{}
		delete(s.backAt, step.Host)
	default:
		return false
	}
	s.hosts[step.Host] = r
	return true
}

func (s *simulation) nextReturn() (time.Time, bool) {
	var first time.Time
	for _, at := range s.backAt {
		if at.After(s.now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// pass moves the clock and charges each wave for what it holds meanwhile.
func (s *simulation) pass(plans []wave.Plan, until time.Time) {
	hours := until.Sub(s.now).Hours()
	for _, plan := range plans {
		r := s.result[plan.Status.Wave]
		r.HostHoursOut += float64(len(plan.Status.Out)) * hours
		for _, claim := range plan.Status.Buffers {
			r.HostHoursHeld += float64(claim.Reserve) * hours
		}
		if len(plan.Status.Out) > 0 {
			r.Seconds = int(until.Sub(s.input.Now).Seconds())
		}
		s.result[plan.Status.Wave] = r
	}
	s.now = until
}

func (s *simulation) fleet() wave.Snapshot {
	f := wave.Snapshot{Policy: s.input.Snapshot.Policy(), Now: s.now, Budgets: s.book()}
	waves := s.input.Snapshot.Waves()
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		f.Waves = append(f.Waves, wave.Input{Name: name, Spec: waves[name], Hosts: s.hostsOf(waves[name])})
	}
	return f
}

func (s *simulation) hostsOf(spec *record.Wave) []wave.Host {
	var hosts []wave.Host
	for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
		r := s.hosts[name]
		if slices.Contains(spec.Pools, r.Pool) && spec.Covers(name) {
			hosts = append(hosts, s.waveHost(name, r))
		}
	}
	return hosts
}

// waveHost shows a host whose time out is over as proven healthy.
func (s *simulation) waveHost(name string, r hostrecord.Record) wave.Host {
	listed := s.listed[name]
	host := wave.Host{
		Name: name, Zone: listed.Zone, Rack: listed.Rack, Record: r,
		Down: listed.State != fleet.HostLive,
	}
	back, out := s.backAt[name]
	if out && !back.After(s.now) {
		host.Record.Phase = hostrecord.Verifying
		host.Reachable, host.Healthy, host.HealthyFor = true, true, 24*time.Hour
	}
	return host
}

func (s *simulation) book() *budget.Tracker {
	var views []budget.ServiceState
	for _, service := range slices.Sorted(maps.Keys(s.input.Snapshot.Services())) {
		views = append(views, s.view(service))
	}
	return budget.NewTrackerFromServices(views)
}

// view counts a host as out by its simulated record; of the ledger only grants
// of hosts that no simulated wave has out are kept.
func (s *simulation) view(service string) budget.ServiceState {
	view := budget.ServiceState{Service: service, Grants: budget.GrantSet{ByHost: make(map[string]budget.Grant)}}
	for _, b := range s.input.Snapshot.Budgets() {
		if b.Service == service {
			view.Budgets = append(view.Budgets, b)
		}
	}
	for host, grant := range s.input.GrantSets[service].ByHost {
		if s.hosts[host].TakesWork() && s.input.Snapshot.Hosts[host].TakesWork() {
			view.Grants.ByHost[host] = grant
		}
	}
	pools := s.input.Snapshot.PoolsOf(service)
	for _, name := range slices.Sorted(maps.Keys(s.hosts)) {
		r := s.hosts[name]
		if slices.Contains(pools, r.Pool) {
			listed := s.listed[name]
			available := r.TakesWork() && s.up(name, listed)
			view.Endpoints = append(view.Endpoints, budget.Endpoint{Host: name, Zone: listed.Zone, Rack: listed.Rack, Available: available})
		}
	}
	return view
}

// up reports whether a host that takes work also works: one that a wave of the
// simulation has returned does, whatever the list said before.
func (s *simulation) up(name string, listed fleet.Host) bool {
	return listed.State == fleet.HostLive || !s.input.Snapshot.Hosts[name].TakesWork()
}

// Moves is what the mover would do once its reasons have lasted.
type Moves struct {
	Assign []mover.Assignment `json:"assign,omitempty"`
	Moves  []mover.Move       `json:"moves,omitempty"`
	// Waiting says by pool why its missing hosts don't come.
	Waiting map[string]string `json:"waiting,omitempty"`
}

// PlanMoves returns the moves that the records ask for, as if every reason had
// lasted.
func PlanMoves(input Input) Moves {
	planned := mover.NewInput(input.Snapshot, input.Hosts)
	planned.StabilizationWindow = 0
	plan := mover.MakePlan(planned)
	return Moves{Assign: plan.Assign, Moves: plan.Moves, Waiting: plan.Waiting}
}
