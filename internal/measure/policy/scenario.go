package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"auburnglade.example/glade/examples"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/standin"
)

// scenario is one deployment with one run's truth: what every host will do is
// drawn before any policy runs, so that all policies meet the same fate.
type scenario struct {
	pools   map[string]*record.Pool
	budgets []*record.Budget
	policy  *record.Policy
	wave    *record.Wave
	hosts   []fleet.Host
	fates   map[string]fate
	faults  faults
	// resizeFrom loses a host's worth of size to resizeTo at resizeAt.
	resizeFrom, resizeTo string
	lag                  time.Duration
	load                 *workload
	// end is how long a run lasts at least.
	end time.Duration
	// every is the pause between two rounds.
	every time.Duration
}

// fate is what happens to a host that is maintained.
type fate struct {
	work   time.Duration
	reboot time.Duration
	bad    bool
}

// faults are what fails by itself.
type faults struct {
	rack     string
	rackAt   time.Duration
	rackAway time.Duration
	// slowZone's reboots take slowFactor times as long from slowFrom to slowTo.
	slowZone         string
	slowFrom, slowTo time.Duration
	// failovers lose the controller's memory; outages stop every decision.
	failovers []time.Duration
	outages   []time.Duration
}

// The truths of the fakes. They were set before the first run: drains from the
// timeouts of the sample services, reboots around what a server's self-test
// takes, longer with more memory.
const (
	drainDeadline  = 120 * time.Second
	rebootDeadline = 900 * time.Second
	proofTime      = 60 * time.Second
	longWorkShare  = 0.1
	slowShare      = 0.04
	slowFactor     = 2
	rebootSpread   = 0.3
	calmLag        = 10 * time.Second
	faultyLag      = 60 * time.Second
	failoverTime   = 20 * time.Second
	outageTime     = 2 * time.Minute
	badHosts       = 2
	// replaceAfter is how long the platform takes to bring a new host for one
	// that never came back, and resizeAt when the operators resize two pools.
	replaceAfter = 30 * time.Minute
	resizeAt     = 5 * time.Minute
)

var rebootMedian = map[string]time.Duration{
	"klarlund": 360 * time.Second, "lindqvist": 240 * time.Second, "target": 300 * time.Second,
}

// UnknownDeploymentError says that there is no such deployment.
type UnknownDeploymentError struct{ Deployment string }

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployment %q is none of klarlund, lindqvist, target", e.Deployment)
}

func emptyScenario() *scenario {
	return &scenario{
		pools: make(map[string]*record.Pool), fates: make(map[string]fate), lag: calmLag, end: jobsEnd, every: interval,
		wave: &record.Wave{
			DrainSeconds: int(drainDeadline.Seconds()), RebootSeconds: int(rebootDeadline.Seconds()),
			MinHealthySeconds: int(proofTime.Seconds()), MaxFailedHosts: 4,
		},
	}
}

func newScenario(deployment string, seed uint64, run int, faulty bool) (*scenario, error) {
	s := emptyScenario()
	if err := s.shape(deployment); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, uint64(run)))
	for _, host := range s.hosts {
		s.fates[host.Name] = drawFate(rng, rebootMedian[deployment])
	}
	s.resize(rng)
	s.load = newWorkload(rng, s.jobPool())
	if faulty {
		s.lag = faultyLag
		s.draw(rng)
	}
	return s, nil
}

func (s *scenario) shape(deployment string) error {
	if deployment == "target" {
		s.target(targetHosts, targetPools)
		return nil
	}
	shape, known := standin.FleetSpecs[deployment]
	if !known {
		return &UnknownDeploymentError{Deployment: deployment}
	}
	s.hosts = shape.HostList()
	envelopes, err := examples.Records(deployment)
	if err != nil {
		return err
	}
	for _, envelope := range envelopes {
		spec, err := record.Decode(envelope)
		if err != nil {
			return err
		}
		s.add(envelope.Name, spec)
	}
	return nil
}

func (s *scenario) add(name string, spec record.Spec) {
	switch spec := spec.(type) {
	case *record.Pool:
		s.pools[name] = spec
		s.wave.Pools = append(s.wave.Pools, name)
	case *record.Budget:
		s.budgets = append(s.budgets, spec)
	case *record.Policy:
		s.policy = spec
	}
}

// The size to be carried in two years, from the users' letter.
const (
	targetHosts = 1000
	targetPools = 261
	targetZones = 5
	rackSize    = 4
)

// target is the users' size in two years: many small pools, a few large ones.
func (s *scenario) target(hosts, pools int) {
	s.policy = &record.Policy{BufferWeight: 40, RolloutWeight: 50, MovesWeight: 10, MoveStabilizationSeconds: 300}
	s.wave.MaxFailedHosts = 20
	s.every = targetEvery
	s.grow(hosts, pools)
}

// grow makes hosts and pools: one pool in ten is eight hosts larger than the
// rest, so that both kinds of budget, with and without room for a margin, occur.
func (s *scenario) grow(hosts, pools int) {
	for i := range hosts {
		zone := fmt.Sprintf("zone-%d", i%targetZones)
		rack := i / targetZones / rackSize
		s.hosts = append(s.hosts, fleet.Host{
			Name: fmt.Sprintf("host-%05d", i), Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, rack),
			State: fleet.HostLive,
		})
	}
	left := hosts
	for i := range pools {
		size := 3
		if i%10 == 0 {
			size = 11
		}
		size = min(size, left)
		left -= size
		name := fmt.Sprintf("pool-%04d", i)
		s.add(name, &record.Pool{Services: []string{name}, Size: size, Jobs: size > 6})
		budget := &record.Budget{Service: name, MinAvailable: size - 1}
		if size > 6 {
			budget.MinAvailable, budget.Margin = size*7/10, record.MarginHost
		}
		s.add(name, budget)
	}
}

func drawFate(rng *rand.Rand, median time.Duration) fate {
	f := fate{work: time.Duration(2+rng.IntN(18)) * time.Second}
	if rng.Float64() < longWorkShare {
		f.work = time.Duration(20+rng.IntN(120)) * time.Second
	}
	f.reboot = time.Duration(float64(median) * math.Exp(rebootSpread*rng.NormFloat64()))
	if rng.Float64() < slowShare {
		f.reboot *= slowFactor
	}
	f.reboot = min(f.reboot, rebootDeadline-time.Minute)
	return f
}

// largePool is a pool from whose size a host's worth can go with room left in
// its budget.
const largePool = 7

// resize picks the pools of which one gives a host's worth of size to the other.
func (s *scenario) resize(rng *rand.Rand) {
	var large []string
	for _, name := range s.wave.Pools {
		if s.pools[name].Size >= largePool {
			large = append(large, name)
		}
	}
	from := rng.IntN(len(large))
	to := (from + 1 + rng.IntN(len(large)-1)) % len(large)
	s.resizeFrom, s.resizeTo = large[from], large[to]
}

// jobPool is the first pool that takes jobs.
func (s *scenario) jobPool() string {
	for _, name := range s.wave.Pools {
		if s.pools[name].Jobs {
			return name
		}
	}
	return ""
}

// draw makes the correlated faults: a rack is lost, two hosts of another rack
// never come back from their reboot, a worker fails every task, a zone's reboots
// are slow for a while, the
// controller fails over twice and the store is away once.
func (s *scenario) draw(rng *rand.Rand) {
	span := s.lowerBound()
	at := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(span))
	}
	lost := s.hosts[rng.IntN(len(s.hosts))]
	s.faults.rack, s.faults.rackAt = lost.Rack, at(0.1, 0.6)
	s.faults.rackAway = 15*time.Minute + time.Duration(rng.IntN(15))*time.Minute
	first := rng.IntN(len(s.hosts))
	bad := 0
	for i := range s.hosts {
		host := s.hosts[(first+i)%len(s.hosts)]
		if host.Rack == s.hosts[first].Rack && host.Rack != lost.Rack && bad < badHosts {
			f := s.fates[host.Name]
			f.bad = true
			s.fates[host.Name] = f
			bad++
		}
	}
	for host, pool := range s.deal() {
		if pool == s.load.pool && (s.load.blackHole == "" || host < s.load.blackHole) {
			s.load.blackHole = host
		}
	}
	s.faults.slowZone = s.hosts[rng.IntN(len(s.hosts))].Zone
	s.faults.slowFrom = at(0, 0.8)
	s.faults.slowTo = s.faults.slowFrom + 15*time.Minute
	s.faults.failovers = []time.Duration{at(0.1, 0.5), at(0.5, 1)}
	s.faults.outages = []time.Duration{at(0.2, 0.9)}
	for _, away := range s.faults.outages {
		s.load.holdBack(away, away+outageTime)
	}
}

// out is how long a host is out at least if nothing holds it up.
func (s *scenario) out(host string) time.Duration {
	f := s.fates[host]
	out := min(f.work, drainDeadline) + f.reboot + proofTime
	if f.bad {
		out = min(f.work, drainDeadline) + rebootDeadline
	}
	return out
}
