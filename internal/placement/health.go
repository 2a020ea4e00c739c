package placement

import (
	"fmt"
	"slices"
	"time"
)

// Blame tells workers that fail everything from jobs that fail everywhere. It
// is kept with a pool's tasks in the store.
type Blame struct {
	// Workers holds the workers with failures since their last success.
	Workers map[string]*WorkerBlame `json:"workers,omitempty"`
	// Jobs holds by job the workers it failed on since its last success.
	Jobs map[string][]string `json:"jobs,omitempty"`
	// Faulty holds the jobs found at fault, with the reason.
	Faulty map[string]string `json:"faulty,omitempty"`
}

// WorkerBlame is one worker's record.
type WorkerBlame struct {
	// Failures lists the jobs that failed on it since its last success.
	Failures []string `json:"failures,omitempty"`
	// Quarantined says that it gets no tasks but a probe.
	Quarantined bool `json:"quarantined,omitempty"`
	// Probing says that a probe was placed on it.
	Probing bool `json:"probing,omitempty"`
	// Strikes counts failed probes; each doubles the time to the next.
	Strikes int `json:"strikes,omitempty"`
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

// Succeeded clears a worker and a job: the worker has proved itself, and so
// has the job.
func (b *Blame) Succeeded(job, worker string) {
	delete(b.Workers, worker)
	delete(b.Jobs, job)
	delete(b.Faulty, job)
}

// Failed blames a failure on the worker or on the job, once it is clear which.
func (b *Blame) Failed(job, worker, reason string) {
	w := b.worker(worker)
	if w.Quarantined {
		// A probe that failed says nothing of the job, and tasks placed before
		// the quarantine that end in it are no further strikes.
		if w.Probing {
			w.Strikes++
		}
		w.Probing = false
		return
	}
	w.Failures = append(w.Failures, job)
	w.Failures = w.Failures[max(0, len(w.Failures)-maxFailures):]
	if b.Jobs == nil {
		b.Jobs = make(map[string][]string)
	}
	if !slices.Contains(b.Jobs[job], worker) {
		b.Jobs[job] = append(b.Jobs[job], worker)
	}
	if len(w.Failures) >= workerFailures && distinct(w.Failures) >= workerJobs {
		b.quarantine(worker)
		return
	}
	if len(b.Jobs[job]) >= jobWorkers {
		b.convict(job, reason)
	}
}

// Probe notes that a quarantined worker was given a task to prove itself.
func (b *Blame) Probe(worker string) {
	if w := b.Workers[worker]; w != nil && w.Quarantined {
		w.Probing = true
	}
}

// quarantine takes a worker out and clears the jobs that failed on it.
func (b *Blame) quarantine(worker string) {
	b.Workers[worker].Quarantined = true
	b.Workers[worker].Failures = nil
	for job, workers := range b.Jobs {
		b.Jobs[job] = slices.DeleteFunc(workers, func(name string) bool { return name == worker })
	}
}

// convict parks a job and clears the workers that it failed on.
func (b *Blame) convict(job, reason string) {
	if b.Faulty == nil {
		b.Faulty = make(map[string]string)
	}
	b.Faulty[job] = fmt.Sprintf("failed on %d workers that other jobs run well on: %s", len(b.Jobs[job]), reason)
	for name, w := range b.Workers {
		w.Failures = slices.DeleteFunc(w.Failures, func(failed string) bool { return failed == job })
		if len(w.Failures) == 0 && !w.Quarantined {
			delete(b.Workers, name)
		}
	}
}

// Pardon lets a job that was amended run again.
func (b *Blame) Pardon(job string) {
	delete(b.Jobs, job)
	delete(b.Faulty, job)
}

// Forget drops jobs and workers that keep refuses.
func (b *Blame) Forget(keepJob, keepWorker func(name string) bool) {
	for name := range b.Jobs {
		if !keepJob(name) {
			b.Pardon(name)
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
func (b *Blame) Quarantined(worker string) (quarantined bool, probeAfter time.Duration) {
	w := b.Workers[worker]
	if w == nil || !w.Quarantined {
		return false, 0
	}
	return true, min(lastProbe, firstProbe<<min(w.Strikes, 10))
}

func (b *Blame) worker(name string) *WorkerBlame {
	if b.Workers == nil {
		b.Workers = make(map[string]*WorkerBlame)
	}
	if b.Workers[name] == nil {
		b.Workers[name] = &WorkerBlame{}
	}
	return b.Workers[name]
}

func distinct(names []string) int {
	sorted := slices.Sorted(slices.Values(names))
	return len(slices.Compact(sorted))
}
