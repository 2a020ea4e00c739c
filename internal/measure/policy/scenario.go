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

// scenario is one deployment with the drawn behavior of one run. The behavior of
// every host is drawn before any policy runs, so that all policies face the same
// conditions.
type scenario struct {
	pools     map[string]*record.Pool
	budgets   []*record.Budget
	policy    *record.Policy
	wave      *record.Wave
	hosts     []fleet.Host
	behaviors map[string]hostBehavior
	faults    faults
	// resizeFrom and resizeTo are the pools of which the size is decreased and
	// increased by one host at resizeAt.
	resizeFrom, resizeTo string
	listLag              time.Duration
	load                 *workload
	// minLength is the minimum duration of a run.
	minLength time.Duration
	// interval is the reconcile interval.
	interval time.Duration
}

// hostBehavior is the behavior of a host under maintenance: how long its work in
// flight takes to drain, how long its reboot takes, and whether it never comes back.
type hostBehavior struct {
	drainTime    time.Duration
	rebootTime   time.Duration
	neverReturns bool
}

// faults are the faults injected into a run.
type faults struct {
	rack       string
	rackAt     time.Duration
	rackOutage time.Duration
	// slowZone is the zone in which reboots between slowFrom and slowTo take
	// slowFactor times as long.
	slowZone         string
	slowFrom, slowTo time.Duration
	// failovers are the times when the controller loses its in-memory state, outages
	// the starts of store outages, in which no decision is made.
	failovers []time.Duration
	outages   []time.Duration
}

// Parameters of the simulated hosts. Drain times follow the timeouts of the sample
// services. Reboot times are about the duration of a server's self-test, which
// grows with its memory.
const (
	drainDeadline   = 120 * time.Second
	rebootDeadline  = 900 * time.Second
	minHealthyTime  = 60 * time.Second
	longDrainShare  = 0.1
	slowRebootShare = 0.04
	slowFactor      = 2
	rebootSpread    = 0.3
	defaultListLag  = 10 * time.Second
	faultyListLag   = 60 * time.Second
	failoverTime    = 20 * time.Second
	outageTime      = 2 * time.Minute
	lostHosts       = 2
	// replacementDelay is the time after which the platform replaces a host that never
	// came back, resizeAt the time when the operators resize two pools.
	replacementDelay = 30 * time.Minute
	resizeAt         = 5 * time.Minute
)

var rebootMedian = map[string]time.Duration{
	"klarlund": 360 * time.Second, "lindqvist": 240 * time.Second, "target": 300 * time.Second,
}

// UnknownDeploymentError reports that there is no such deployment.
type UnknownDeploymentError struct{ Deployment string }

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q: must be klarlund, lindqvist or target", e.Deployment)
}

func emptyScenario() *scenario {
	return &scenario{
		pools: make(map[string]*record.Pool), behaviors: make(map[string]hostBehavior), listLag: defaultListLag, minLength: jobsEnd, interval: interval,
		wave: &record.Wave{
			DrainSeconds: int(drainDeadline.Seconds()), RebootSeconds: int(rebootDeadline.Seconds()),
			MinHealthySeconds: int(minHealthyTime.Seconds()), MaxFailedHosts: 4,
		},
	}
}

func newScenario(deployment string, seed uint64, run int, faulty bool) (*scenario, error) {
	s := emptyScenario()
	if err := s.loadDeployment(deployment); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, uint64(run)))
	for _, host := range s.hosts {
		s.behaviors[host.Name] = drawBehavior(rng, rebootMedian[deployment])
	}
	s.resize(rng)
	s.load = newWorkload(rng, s.jobPool())
	if faulty {
		s.listLag = faultyListLag
		s.drawFaults(rng)
	}
	return s, nil
}

func (s *scenario) loadDeployment(deployment string) error {
	if deployment == "target" {
		s.addTargetFleet(targetHosts, targetPools)
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

// Size of the target deployment: the fleet that users expect in two years.
const (
	targetHosts = 1000
	targetPools = 261
	targetZones = 5
	rackSize    = 4
)

// addTargetFleet builds the target deployment, with many small pools and a few large
// ones.
func (s *scenario) addTargetFleet(hosts, pools int) {
	s.policy = &record.Policy{BufferWeight: 40, RolloutWeight: 50, MovesWeight: 10, MoveStabilizationSeconds: 300}
	s.wave.MaxFailedHosts = 20
	s.interval = targetInterval
	s.addSyntheticFleet(hosts, pools)
}

// addSyntheticFleet adds hosts and pools. One pool in ten is eight hosts larger than
// the others, so that there are budgets both with and without room for a margin.
func (s *scenario) addSyntheticFleet(hosts, pools int) {
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

func drawBehavior(rng *rand.Rand, median time.Duration) hostBehavior {
	f := hostBehavior{drainTime: time.Duration(2+rng.IntN(18)) * time.Second}
	if rng.Float64() < longDrainShare {
		f.drainTime = time.Duration(20+rng.IntN(120)) * time.Second
	}
	f.rebootTime = time.Duration(float64(median) * math.Exp(rebootSpread*rng.NormFloat64()))
	if rng.Float64() < slowRebootShare {
		f.rebootTime *= slowFactor
	}
	f.rebootTime = min(f.rebootTime, rebootDeadline-time.Minute)
	return f
}

// largePool is the minimum size of a pool that can be reduced by one host with room
// left in its budget.
const largePool = 7

// resize draws the pools of which one is reduced and the other enlarged by one host.
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

// jobPool returns the first pool that runs jobs.
func (s *scenario) jobPool() string {
	for _, name := range s.wave.Pools {
		if s.pools[name].Jobs {
			return name
		}
	}
	return ""
}

// drawFaults draws the correlated faults: a rack fails, two hosts of another rack
// never come back from their reboot, a worker fails every task, the reboots in a zone
// are slow for a while, the controller fails over twice, and the store is unavailable
// once.
func (s *scenario) drawFaults(rng *rand.Rand) {
	span := s.lowerBound()
	at := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(span))
	}
	lost := s.hosts[rng.IntN(len(s.hosts))]
	s.faults.rack, s.faults.rackAt = lost.Rack, at(0.1, 0.6)
	s.faults.rackOutage = 15*time.Minute + time.Duration(rng.IntN(15))*time.Minute
	first := rng.IntN(len(s.hosts))
	bad := 0
	for i := range s.hosts {
		host := s.hosts[(first+i)%len(s.hosts)]
		if host.Rack == s.hosts[first].Rack && host.Rack != lost.Rack && bad < lostHosts {
			f := s.behaviors[host.Name]
			f.neverReturns = true
			s.behaviors[host.Name] = f
			bad++
		}
	}
	for host, pool := range s.initialPools() {
		if pool == s.load.pool && (s.load.faultyHost == "" || host < s.load.faultyHost) {
			s.load.faultyHost = host
		}
	}
	s.faults.slowZone = s.hosts[rng.IntN(len(s.hosts))].Zone
	s.faults.slowFrom = at(0, 0.8)
	s.faults.slowTo = s.faults.slowFrom + 15*time.Minute
	s.faults.failovers = []time.Duration{at(0.1, 0.5), at(0.5, 1)}
	s.faults.outages = []time.Duration{at(0.2, 0.9)}
	for _, start := range s.faults.outages {
		s.load.postpone(start, start+outageTime)
	}
}

// minTimeOut returns the minimum time that a host is out of service.
func (s *scenario) minTimeOut(host string) time.Duration {
	f := s.behaviors[host]
	out := min(f.drainTime, drainDeadline) + f.rebootTime + minHealthyTime
	if f.neverReturns {
		out = min(f.drainTime, drainDeadline) + rebootDeadline
	}
	return out
}
