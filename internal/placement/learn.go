package placement

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/record"
)

// Estimator is what has been learned of jobs and teams from usage reports. It is
// small enough to be kept with a pool's tasks in the store.
type Estimator struct {
	Jobs  map[string]*Usage       `json:"jobs,omitempty"`
	Teams map[string]*UsageRatios `json:"teams,omitempty"`
}

// Usage is what tasks of one job used: the latest finished tasks' peaks.
type Usage struct {
	MilliCPU []int `json:"cpu,omitempty"`
	MemoryMB []int `json:"mem,omitempty"`
	// RunSeconds are the run times of finished tasks.
	RunSeconds []int `json:"run,omitempty"`
	// MemoryFloorMB is the least memory that a task is given, raised when one ran out
	// of it or was seen using more than expected.
	MemoryFloorMB int `json:"floor,omitempty"`
	// ObservedMinMB is the memory that a task was seen to need at least.
	ObservedMinMB int `json:"proven,omitempty"`
}

// UsageRatios is by how much a team's declarations are off: used over declared, in
// percent, of its latest finished tasks.
type UsageRatios struct {
	MilliCPU []int `json:"cpu,omitempty"`
	MemoryMB []int `json:"mem,omitempty"`
	Run      []int `json:"run,omitempty"`
}

const (
	jobSamples  = 16
	teamSamples = 32
	// enoughSamples is from how many finished tasks on the job's own usage
	// outweighs its declaration.
	enoughSamples = 3
	// ownQuantile of a job's own tasks and teamQuantile of its team's ratios
	// are taken, and room is added on top: memory that is short kills a task,
	// memory left over only costs room.
	ownQuantile  = 90
	teamQuantile = 80
	ownRoom      = 120
	fewRoom      = 150
	percent      = 100
	// minRatio and maxRatio bound how far a team's habit may bend a
	// declaration that hasn't been tried yet.
	minRatio = 10
	maxRatio = 1000
	// leastCPU is the least a task is given, in thousandths of a core.
	leastCPU = 10
	// growth is by how much a task's memory grows after it ran out, and its
	// processors after it used at least saturated percent of them.
	growth    = 2
	saturated = 95
	// defaultRun is the expected run time when nothing is known of a job.
	defaultRun = 5 * time.Minute
)

// ObserveFinished learns from a task that was given an amount and ended well. One that
// used all the processors it was given would have used more.
func (m *Estimator) ObserveFinished(job string, spec *record.Job, given, peak record.Resources, ranFor time.Duration) {
	if peak.MilliCPU*percent >= given.MilliCPU*saturated {
		peak.MilliCPU = given.MilliCPU * growth
	}
	u := m.job(job)
	seconds := max(1, int(ranFor/time.Second))
	u.MilliCPU = keep(u.MilliCPU, peak.MilliCPU, jobSamples)
	u.MemoryMB = keep(u.MemoryMB, peak.MemoryMB, jobSamples)
	u.RunSeconds = keep(u.RunSeconds, seconds, jobSamples)
	r := m.team(spec.Team)
	r.MilliCPU = keepRatio(r.MilliCPU, peak.MilliCPU, spec.Resources.MilliCPU)
	r.MemoryMB = keepRatio(r.MemoryMB, peak.MemoryMB, spec.Resources.MemoryMB)
	r.Run = keepRatio(r.Run, seconds, spec.ExpectedSeconds)
}

// ObserveRunning learns from a task that still runs: what it uses already is the
// least that the next one is given. It reports whether that is news.
func (m *Estimator) ObserveRunning(job string, used record.Resources) bool {
	u := m.job(job)
	if used.MemoryMB <= u.ObservedMinMB {
		return false
	}
	u.ObservedMinMB = used.MemoryMB
	u.MemoryFloorMB = max(u.MemoryFloorMB, used.MemoryMB)
	return true
}

// ObserveOutOfMemory learns from a task that was killed for using more memory than it was
// given; the spec may be nil.
func (m *Estimator) ObserveOutOfMemory(job string, spec *record.Job, given record.Resources) {
	if spec != nil {
		r := m.team(spec.Team)
		r.MemoryMB = keepRatio(r.MemoryMB, given.MemoryMB*growth, spec.Resources.MemoryMB)
	}
	u := m.job(job)
	u.ObservedMinMB = max(u.ObservedMinMB, given.MemoryMB+1)
	u.MemoryFloorMB = max(u.MemoryFloorMB, given.MemoryMB*growth)
}

// Forget drops what was learned of jobs that keep refuses.
func (m *Estimator) Forget(kept func(job string) bool) {
	for name := range m.Jobs {
		if !kept(name) {
			delete(m.Jobs, name)
		}
	}
}

// Estimate returns what one task of a job is expected to need and how long to
// run: from the job's own tasks once enough have finished, before that from
// its declaration, bent by how far the team's declarations are off.
func (m *Estimator) Estimate(job string, spec *record.Job) (record.Resources, time.Duration) {
	u, r := m.Jobs[job], m.Teams[spec.Team]
	if u == nil {
		u = &Usage{}
	}
	if r == nil {
		r = &UsageRatios{}
	}
	size := record.Resources{
		MilliCPU:     max(leastCPU, expect(u.MilliCPU, r.MilliCPU, spec.Resources.MilliCPU)),
		MemoryMB:     max(u.MemoryFloorMB, expect(u.MemoryMB, r.MemoryMB, spec.Resources.MemoryMB)),
		Accelerators: spec.Resources.Accelerators,
	}
	run := time.Duration(expect(u.RunSeconds, r.Run, spec.ExpectedSeconds)) * time.Second
	if run == 0 {
		run = defaultRun
	}
	return size, run
}

// MinResources returns what one task of a job needs at least: what its own tasks were
// seen to need, and before any was seen what is declared. A job is never held
// to be too large for its pool on the habit of its team alone.
func (m *Estimator) MinResources(job string, spec *record.Job) record.Resources {
	least := spec.Resources
	size, _ := m.Estimate(job, spec)
	if u := m.Jobs[job]; u != nil && (len(u.MemoryMB) > 0 || u.ObservedMinMB > 0) {
		least.MemoryMB = u.ObservedMinMB
		least.MilliCPU = leastCPU
	}
	least.MilliCPU = min(least.MilliCPU, size.MilliCPU)
	least.MemoryMB = min(least.MemoryMB, size.MemoryMB)
	return least
}

func expect(own, ratios []int, declared int) int {
	switch {
	case len(own) >= enoughSamples:
		return quantile(own, ownQuantile) * ownRoom / percent
	case len(own) > 0:
		return max(slices.Max(own)*fewRoom/percent, min(declared, bent(ratios, declared)))
	}
	return bent(ratios, declared)
}

func bent(ratios []int, declared int) int {
	if len(ratios) < enoughSamples {
		return declared
	}
	ratio := min(maxRatio, max(minRatio, quantile(ratios, teamQuantile)*ownRoom/percent))
	return declared * ratio / percent
}

func quantile(samples []int, share int) int {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(len(sorted)-1, len(sorted)*share/percent)]
}

func keep(samples []int, value, most int) []int {
	samples = append(samples, value)
	return samples[max(0, len(samples)-most):]
}

func keepRatio(ratios []int, used, declared int) []int {
	if declared == 0 {
		return ratios
	}
	return keep(ratios, used*percent/declared, teamSamples)
}

func (m *Estimator) job(name string) *Usage {
	if m.Jobs == nil {
		m.Jobs = make(map[string]*Usage)
	}
	if m.Jobs[name] == nil {
		m.Jobs[name] = &Usage{}
	}
	return m.Jobs[name]
}

func (m *Estimator) team(name string) *UsageRatios {
	if m.Teams == nil {
		m.Teams = make(map[string]*UsageRatios)
	}
	if m.Teams[name] == nil {
		m.Teams[name] = &UsageRatios{}
	}
	return m.Teams[name]
}
