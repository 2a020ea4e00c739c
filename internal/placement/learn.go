package placement

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/record"
)

// Estimator estimates the resources and run times of tasks from usage reports of
// jobs and teams. It is small enough to be stored with a pool's tasks.
type Estimator struct {
	Jobs  map[string]*Usage       `json:"jobs,omitempty"`
	Teams map[string]*UsageRatios `json:"teams,omitempty"`
}

// Usage is the peak usage of the latest finished tasks of one job.
type Usage struct {
	MilliCPU []int `json:"cpu,omitempty"`
	MemoryMB []int `json:"mem,omitempty"`
	// RunSeconds are the run times of finished tasks.
	RunSeconds []int `json:"run,omitempty"`
	// MemoryFloorMB is the least memory allocated to a task. It is raised when a
	// task runs out of memory or uses more than estimated.
	MemoryFloorMB int `json:"floor,omitempty"`
	// ObservedMinMB is the memory that a task has been observed to need.
	ObservedMinMB int `json:"proven,omitempty"`
}

// UsageRatios holds used over declared amounts, in percent, of a team's latest
// finished tasks.
type UsageRatios struct {
	MilliCPU []int `json:"cpu,omitempty"`
	MemoryMB []int `json:"mem,omitempty"`
	Run      []int `json:"run,omitempty"`
}

const (
	jobSamples  = 16
	teamSamples = 32
	// minSamples is the number of finished tasks from which the job's own usage
	// replaces its declaration.
	minSamples = 3
	// An estimate is the ownQuantile (percent) of a job's own tasks or the
	// teamQuantile of its team's ratios plus headroom: too little memory kills
	// a task, too much only wastes capacity.
	ownQuantile        = 90
	teamQuantile       = 80
	ownHeadroomPercent = 120
	fewSamplesPercent  = 150
	percent            = 100
	// minRatio and maxRatio limit, in percent, how far a team's ratios may scale
	// the declaration of a job that hasn't run yet.
	minRatio = 10
	maxRatio = 1000
	// minMilliCPU is the least CPU allocated to a task, in thousandths of a core.
	minMilliCPU = 10
	// growthFactor multiplies a task's memory after it ran out of memory, and
	// its CPU after it used at least saturatedPercent of its allocation.
	growthFactor     = 2
	saturatedPercent = 95
	// defaultRunTime is the expected run time of a job without any data.
	defaultRunTime = 5 * time.Minute
)

// ObserveFinished records the peak usage and run time of a task that finished with
// the given allocation. A task that used all its CPU would have used more.
func (m *Estimator) ObserveFinished(job string, spec *record.Job, allocated, peak record.Resources, ranFor time.Duration) {
	if peak.MilliCPU*percent >= allocated.MilliCPU*saturatedPercent {
		peak.MilliCPU = allocated.MilliCPU * growthFactor
	}
	u := m.job(job)
	seconds := max(1, int(ranFor/time.Second))
	u.MilliCPU = appendSample(u.MilliCPU, peak.MilliCPU, jobSamples)
	u.MemoryMB = appendSample(u.MemoryMB, peak.MemoryMB, jobSamples)
	u.RunSeconds = appendSample(u.RunSeconds, seconds, jobSamples)
	r := m.team(spec.Team)
	r.MilliCPU = appendRatio(r.MilliCPU, peak.MilliCPU, spec.Resources.MilliCPU)
	r.MemoryMB = appendRatio(r.MemoryMB, peak.MemoryMB, spec.Resources.MemoryMB)
	r.Run = appendRatio(r.Run, seconds, spec.ExpectedSeconds)
}

// ObserveRunning raises the memory floor of a job to what a running task uses. It
// reports whether that changed the estimate.
func (m *Estimator) ObserveRunning(job string, used record.Resources) bool {
	u := m.job(job)
	if used.MemoryMB <= u.ObservedMinMB {
		return false
	}
	u.ObservedMinMB = used.MemoryMB
	u.MemoryFloorMB = max(u.MemoryFloorMB, used.MemoryMB)
	return true
}

// ObserveOutOfMemory raises the memory estimate after a task was killed for using
// more memory than allocated; spec may be nil.
func (m *Estimator) ObserveOutOfMemory(job string, spec *record.Job, allocated record.Resources) {
	if spec != nil {
		r := m.team(spec.Team)
		r.MemoryMB = appendRatio(r.MemoryMB, allocated.MemoryMB*growthFactor, spec.Resources.MemoryMB)
	}
	u := m.job(job)
	u.ObservedMinMB = max(u.ObservedMinMB, allocated.MemoryMB+1)
	u.MemoryFloorMB = max(u.MemoryFloorMB, allocated.MemoryMB*growthFactor)
}

// Forget removes the data of jobs for which keep returns false.
func (m *Estimator) Forget(keep func(job string) bool) {
	for name := range m.Jobs {
		if !keep(name) {
			delete(m.Jobs, name)
		}
	}
}

// Estimate returns the expected resources and run time of one task of a job: from
// the job's own tasks once minSamples have finished, before that from its
// declaration scaled by the team's usage ratios.
func (m *Estimator) Estimate(job string, spec *record.Job) (record.Resources, time.Duration) {
	u, r := m.Jobs[job], m.Teams[spec.Team]
	if u == nil {
		u = &Usage{}
	}
	if r == nil {
		r = &UsageRatios{}
	}
	size := record.Resources{
		MilliCPU:     max(minMilliCPU, estimate(u.MilliCPU, r.MilliCPU, spec.Resources.MilliCPU)),
		MemoryMB:     max(u.MemoryFloorMB, estimate(u.MemoryMB, r.MemoryMB, spec.Resources.MemoryMB)),
		Accelerators: spec.Resources.Accelerators,
	}
	run := time.Duration(estimate(u.RunSeconds, r.Run, spec.ExpectedSeconds)) * time.Second
	if run == 0 {
		run = defaultRunTime
	}
	return size, run
}

// MinResources returns the least that one task of a job needs: what its own tasks
// have been observed to need, or the declaration if there are none yet. The
// team's ratios alone never make a job too large for its pool.
func (m *Estimator) MinResources(job string, spec *record.Job) record.Resources {
	least := spec.Resources
	size, _ := m.Estimate(job, spec)
	if u := m.Jobs[job]; u != nil && (len(u.MemoryMB) > 0 || u.ObservedMinMB > 0) {
		least.MemoryMB = u.ObservedMinMB
		least.MilliCPU = minMilliCPU
	}
	least.MilliCPU = min(least.MilliCPU, size.MilliCPU)
	least.MemoryMB = min(least.MemoryMB, size.MemoryMB)
	return least
}

func estimate(own, ratios []int, declared int) int {
	switch {
	case len(own) >= minSamples:
		return quantile(own, ownQuantile) * ownHeadroomPercent / percent
	case len(own) > 0:
		return max(slices.Max(own)*fewSamplesPercent/percent, min(declared, scaleByTeamRatio(ratios, declared)))
	}
	return scaleByTeamRatio(ratios, declared)
}

func scaleByTeamRatio(ratios []int, declared int) int {
	if len(ratios) < minSamples {
		return declared
	}
	ratio := min(maxRatio, max(minRatio, quantile(ratios, teamQuantile)*ownHeadroomPercent/percent))
	return declared * ratio / percent
}

func quantile(samples []int, percentile int) int {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(len(sorted)-1, len(sorted)*percentile/percent)]
}

func appendSample(samples []int, value, limit int) []int {
	samples = append(samples, value)
	return samples[max(0, len(samples)-limit):]
}

func appendRatio(ratios []int, used, declared int) []int {
	if declared == 0 {
		return ratios
	}
	return appendSample(ratios, used*percent/declared, teamSamples)
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
