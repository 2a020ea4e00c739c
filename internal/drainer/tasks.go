package drainer

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
)

// checkpointPause is the time between two requests to checkpoint a task whose
// report, which lags, still says that it runs.
const checkpointPause = 5 * time.Second

// taskMemory is what was asked of a host's tasks under one operation.
type taskMemory struct {
	operation string
	asked     map[string]time.Time
}

// countTasks checkpoints the tasks on hosts that are draining and counts those
// that still run: they keep the host from its reboot until the drain deadline.
func (d *Drainer) countTasks(ctx context.Context, o *observed) {
	if d.Workers == nil {
		return
	}
	for name, item := range o.hosts {
		if item.Phase == hostrecord.Draining && item.Wave != "" && d.runsJobs(o, item) && d.Shards.Holds(waveShard+item.Wave) {
			o.tasks[name] = d.checkpoint(ctx, item)
		}
	}
}

func (d *Drainer) runsJobs(o *observed, item catalog.HostItem) bool {
	spec := o.snapshot.Pools()[item.Pool]
	return spec != nil && spec.Jobs
}

// checkpoint returns how many tasks may still run on the host.
func (d *Drainer) checkpoint(ctx context.Context, item catalog.HostItem) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reports, err := d.Workers.Reports(ctx, item.Host)
	if err != nil {
		return unknownInFlight
	}
	running := 0
	for _, report := range reports {
		if report.State != fleet.TaskRunning {
			continue
		}
		running++
		if d.dueForCheckpoint(item, report.ID) {
			// A lost request is repeated, and the deadline ends the wait.
			_ = d.Workers.Checkpoint(ctx, item.Host, report.ID)
		}
	}
	return running
}

func (d *Drainer) dueForCheckpoint(item catalog.HostItem, task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memoryOf(item.Host)
	if m.tasks.operation != item.Operation {
		m.tasks = taskMemory{operation: item.Operation, asked: make(map[string]time.Time)}
	}
	if time.Since(m.tasks.asked[task]) < checkpointPause {
		return false
	}
	m.tasks.asked[task] = time.Now()
	return true
}
