package placement

import (
	"fmt"
	"slices"
	"time"
)

// FailureTracker tells workers that fail everything from jobs that fail everywhere. It
// is kept with a pool's tasks in the store.
type FailureTracker struct {
	// Workers holds the workers with failures since their last success.
	Workers map[string]*WorkerHealth `json:"workers,omitempty"`
	// FailedOn holds by job the workers it failed on since its last success.
	FailedOn map[string][]string `json:"jobs,omitempty"`
	// FaultyJobs holds the jobs found at fault, with the reason.
	FaultyJobs map[string]string `json:"faulty,omitempty"`
}

// WorkerHealth is one worker's record.
type WorkerHealth struct {
	// FailedJobs lists the jobs that failed on it since its last success.
	FailedJobs []string `json:"failures,omitempty"`
	// Quarantined says that it gets no tasks but a probe.
	Quarantined bool `json:"quarantined,omitempty"`
	// Probing says that a probe was placed on it.
	Probing bool `json:"probing,omitempty"`
	// FailedProbes counts failed probes; each doubles the time to the next.
	FailedProbes int `json:"strikes,omitempty"`
}

const (
	// workerFailures on end, of at least workerJobs jobs, quarantine a worker.
	workerFailures = 3
	workerJobs     = 2
	maxFailures    = 8
	// jobWorkers is on how many workers that aren't quarantined a job must
	// fail, without any success, to be at fault itself.
	jobWorkers = 3
	// firstProbe is how long after its quarantine a worker is first probed;
	// lastProbe bounds the doubling.
	firstProbe = time.Minute
	lastProbe  = time.Hour
)

// RecordSuccess clears a worker and a job: the worker has proved itself, and so
// has the job.
func (b *FailureTracker) RecordSuccess(job, worker string) {
	delete(b.Workers, worker)
	delete(b.FailedOn, job)
	delete(b.FaultyJobs, job)
}

// RecordFailure blames a failure on the worker or on the job, once it is clear which.
func (b *FailureTracker) RecordFailure(job, worker, reason string) {
	w := b.worker(worker)
	if w.Quarantined {
		// A probe that failed says nothing of the job, and tasks placed before
		// the quarantine that end in it are no further strikes.
		if w.Probing {
			w.FailedProbes++
		}
		w.Probing = false
		return
	}
	w.FailedJobs = append(w.FailedJobs, job)
	w.FailedJobs = w.FailedJobs[max(0, len(w.FailedJobs)-maxFailures):]
	if b.FailedOn == nil {
		b.FailedOn = make(map[string][]string)
	}
	if !slices.Contains(b.FailedOn[job], worker) {
		b.FailedOn[job] = append(b.FailedOn[job], worker)
	}
	if len(w.FailedJobs) >= workerFailures && distinct(w.FailedJobs) >= workerJobs {
		b.quarantine(worker)
		return
	}
	if len(b.FailedOn[job]) >= jobWorkers {
		b.convict(job, reason)
	}
}

// ProbeStarted notes that a quarantined worker was given a task to prove itself.
func (b *FailureTracker) ProbeStarted(worker string) {
	if w := b.Workers[worker]; w != nil && w.Quarantined {
		w.Probing = true
	}
}

// quarantine takes a worker out and clears the jobs that failed on it.
func (b *FailureTracker) quarantine(worker string) {
	b.Workers[worker].Quarantined = true
	b.Workers[worker].FailedJobs = nil
	for job, workers := range b.FailedOn {
		b.FailedOn[job] = slices.DeleteFunc(workers, func(name string) bool { return name == worker })
	}
}

// convict parks a job and clears the workers that it failed on.
func (b *FailureTracker) convict(job, reason string) {
	if b.FaultyJobs == nil {
		b.FaultyJobs = make(map[string]string)
	}
	b.FaultyJobs[job] = fmt.Sprintf("failed on %d workers that other jobs run well on: %s", len(b.FailedOn[job]), reason)
	for name, w := range b.Workers {
		w.FailedJobs = slices.DeleteFunc(w.FailedJobs, func(failed string) bool { return failed == job })
		if len(w.FailedJobs) == 0 && !w.Quarantined {
			delete(b.Workers, name)
		}
	}
}

// ResetJob lets a job that was amended run again.
func (b *FailureTracker) ResetJob(job string) {
	delete(b.FailedOn, job)
	delete(b.FaultyJobs, job)
}

// Forget drops jobs and workers that keep refuses.
func (b *FailureTracker) Forget(keepJob, keepWorker func(name string) bool) {
	for name := range b.FailedOn {
		if !keepJob(name) {
			b.ResetJob(name)
		}
	}
	for name := range b.Workers {
		if !keepWorker(name) {
			delete(b.Workers, name)
		}
	}
}

// Quarantined reports whether a worker is, and after what time since its
// quarantine or last probe it may be probed.
func (b *FailureTracker) Quarantined(worker string) (quarantined bool, probeAfter time.Duration) {
	w := b.Workers[worker]
	if w == nil || !w.Quarantined {
		return false, 0
	}
	return true, min(lastProbe, firstProbe<<min(w.FailedProbes, 10))
}

func (b *FailureTracker) worker(name string) *WorkerHealth {
	if b.Workers == nil {
		b.Workers = make(map[string]*WorkerHealth)
	}
	if b.Workers[name] == nil {
		b.Workers[name] = &WorkerHealth{}
	}
	return b.Workers[name]
}

func distinct(names []string) int {
	sorted := slices.Sorted(slices.Values(names))
	return len(slices.Compact(sorted))
}
