package devrun

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
)

// jobsTimeout is how long the sample jobs may take after the end of the wave.
const jobsTimeout = 30 * time.Second

// expectedTasks returns the total number of tasks of the sample jobs.
func (r *Deployment) expectedTasks() int {
	total := 0
	for _, envelope := range r.records {
		spec, err := record.Decode(envelope)
		if job, ok := spec.(*record.Job); ok && err == nil {
			total += max(1, job.Tasks)
		}
	}
	return total
}

// awaitJobs waits until the workers have finished the tasks of the sample jobs, up
// to jobsTimeout.
func (r *Deployment) awaitJobs(ctx context.Context) {
	deadline := time.Now().Add(jobsTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) && r.Platform.Workers.Counts().Finished < r.expectedTasks() {
		pause.For(ctx, pollInterval)
	}
}
