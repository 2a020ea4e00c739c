package placement

import (
	"fmt"
	"slices"
	"time"
)

// FailureTracker distinguishes workers on which all jobs fail from jobs that fail
// on all workers. It is stored with a pool's tasks.
type FailureTracker struct {
	// Workers holds the workers with failures since their last success.
	Workers map[string]*WorkerHealth `json:"workers,omitempty"`
	// FailedOn maps a job to the workers it failed on since its last success.
	FailedOn map[string][]string `json:"jobs,omitempty"`
	// FaultyJobs maps the jobs considered faulty to the reason.
	FaultyJobs map[string]string `json:"faulty,omitempty"`
}

// WorkerHealth is the failure record of one worker.
type WorkerHealth struct {
	// FailedJobs lists the jobs that failed on it since its last success, one
	// entry per failure.
	FailedJobs []string `json:"failures,omitempty"`
	// Quarantined is whether it gets no tasks except a probe.
	Quarantined bool `json:"quarantined,omitempty"`
	// Probing is whether a probe task was placed on it.
	Probing bool `json:"probing,omitempty"`
	// FailedProbes counts failed probes; each doubles the delay until the next.
	FailedProbes int `json:"strikes,omitempty"`
}

const (
	// A worker is quarantined after workerFailures failures in a row of at
	// least workerJobs different jobs.
	workerFailures = 3
	workerJobs     = 2
	maxFailures    = 8
	// faultyJobWorkers is the number of workers, not counting quarantined ones,
	// on which a job must fail without any success to be considered faulty.
	faultyJobWorkers = 3
	// firstProbeDelay is the time from quarantine to the first probe. Each
	// failed probe doubles the delay, up to maxProbeDelay.
	firstProbeDelay = time.Minute
	maxProbeDelay   = time.Hour
)

// RecordSuccess clears the failures of the worker and of the job.
func (b *FailureTracker) RecordSuccess(job, worker string) {
	delete(b.Workers, worker)
	delete(b.FailedOn, job)
	delete(b.FaultyJobs, job)
}

// RecordFailure records a failure of a job on a worker. It quarantines the worker
// or marks the job as faulty once the failures show which of them is the cause.
func (b *FailureTracker) RecordFailure(job, worker, reason string) {
	w := b.worker(worker)
	if w.Quarantined {
		// A failed probe is not counted against the job. Tasks that were placed
		// before the quarantine and fail during it are not failed probes.
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
	if len(b.FailedOn[job]) >= faultyJobWorkers {
		b.markJobFaulty(job, reason)
	}
}

// ProbeStarted records that a probe task was placed on a quarantined worker.
func (b *FailureTracker) ProbeStarted(worker string) {
	if w := b.Workers[worker]; w != nil && w.Quarantined {
		w.Probing = true
	}
}

// quarantine quarantines a worker and no longer counts its failures against jobs.
func (b *FailureTracker) quarantine(worker string) {
	b.Workers[worker].Quarantined = true
	b.Workers[worker].FailedJobs = nil
	for job, workers := range b.FailedOn {
		b.FailedOn[job] = slices.DeleteFunc(workers, func(name string) bool { return name == worker })
	}
}

// markJobFaulty marks a job as faulty and no longer counts its failures against
// workers.
func (b *FailureTracker) markJobFaulty(job, reason string) {
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

// ResetJob clears a job's failures, so that it can run again after an update.
func (b *FailureTracker) ResetJob(job string) {
	delete(b.FailedOn, job)
	delete(b.FaultyJobs, job)
}

// Forget removes the jobs and workers for which keepJob or keepWorker returns
// false.
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

// Quarantined reports whether a worker is quarantined, and how long after its
// quarantine or last probe it may be probed.
func (b *FailureTracker) Quarantined(worker string) (quarantined bool, probeAfter time.Duration) {
	w := b.Workers[worker]
	if w == nil || !w.Quarantined {
		return false, 0
	}
	return true, min(maxProbeDelay, firstProbeDelay<<min(w.FailedProbes, 10))
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
