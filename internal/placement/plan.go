package placement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"auburnglade.example/glade/internal/record"
)

// node is a worker with its free resources and tasks during planning.
type node struct {
	Worker
	free  record.Resources
	tasks []*Task
}

type planner struct {
	input  Input
	nodes  []*node
	byName map[string]*node
	// used holds the resources in use by team, here and in other pools.
	used map[string]record.Resources
	// noRoom holds sizes that fit on no worker, noRoomPreempting those that fit
	// on none even with preemption.
	noRoom, noRoomPreempting unplaceableSizes
	// byCapacity holds one worker of each distinct capacity.
	byCapacity []*node
	// acted holds the IDs of tasks with an action in this plan.
	acted map[string]bool
	plan  Plan
}

// MakePlan computes the plan of one pool.
func MakePlan(input Input) Plan {
	p := newPlanner(input)
	p.endUnwantedTasks()
	jobs := slices.Clone(input.Jobs)
	p.order(jobs)
	for i := range jobs {
		p.placeJob(&jobs[i])
	}
	p.unthrottle()
	return p.plan
}

func newPlanner(input Input) *planner {
	p := &planner{
		input: input, byName: make(map[string]*node, len(input.Workers)),
		used: make(map[string]record.Resources), acted: make(map[string]bool),
		plan: Plan{Waiting: make(map[string]string), Parked: make(map[string]string)},
	}
	for _, worker := range input.Workers {
		n := &node{Worker: worker, free: worker.Capacity}
		p.nodes = append(p.nodes, n)
		p.byName[worker.Name] = n
	}
	byCapacity := make(map[record.Resources]bool)
	for _, n := range p.nodes {
		if !byCapacity[n.Capacity] {
			byCapacity[n.Capacity] = true
			p.byCapacity = append(p.byCapacity, n)
		}
	}
	sort.Slice(p.nodes, func(i, j int) bool { return p.nodes[i].Name < p.nodes[j].Name })
	for team, used := range input.UsedElsewhere {
		p.used[team] = used
	}
	for i := range input.Tasks {
		task := &input.Tasks[i]
		p.used[task.Team] = Add(p.used[task.Team], task.Resources)
		if n := p.byName[task.Host]; n != nil {
			n.free = Sub(n.free, task.Allocated())
			n.tasks = append(n.tasks, task)
		}
	}
	return p
}

// act adds an action on a task to the plan.
func (p *planner) act(task *Task, verb Verb, reason string) {
	p.acted[task.ID] = true
	p.plan.Actions = append(p.plan.Actions, Action{Task: task.ID, Verb: verb, Reason: reason})
}

// endUnwantedTasks stops tasks with a stop reason and checkpoints tasks on
// draining hosts. Their resources are free only once they have ended.
func (p *planner) endUnwantedTasks() {
	for i := range p.input.Tasks {
		task := &p.input.Tasks[i]
		n := p.byName[task.Host]
		switch {
		case task.Terminating:
		case task.StopReason != "":
			p.act(task, Stop, task.StopReason)
		case n != nil && n.Draining:
			p.act(task, Checkpoint, "its host is leaving")
		}
	}
}

// class returns the scheduling class of a job or task: a lower class is placed
// first and may preempt a higher one.
func class(priority record.Priority, atRisk bool) int {
	switch {
	case priority == record.PriorityUrgent:
		return 0
	case atRisk:
		return 1
	case priority == record.PriorityLow:
		return 3
	}
	return 2
}

func (j *Job) class() int { return class(j.Spec.Priority, j.atRisk()) }

// slack returns the time to the job's deadline minus the expected run time of one
// task, or the largest duration if the job has no deadline.
func (j *Job) slack() time.Duration {
	if j.Spec.DeadlineSeconds == 0 {
		return time.Duration(1<<63 - 1)
	}
	remaining := time.Duration(j.Spec.DeadlineSeconds)*time.Second - j.Age
	return remaining - j.RunTime
}

func (j *Job) atRisk() bool {
	return j.Spec.DeadlineSeconds > 0 && j.slack() < j.RunTime*riskMargin
}

// order sorts jobs by class, least slack, least used fraction of the team's
// quota, greatest age and name.
func (p *planner) order(jobs []Job) {
	slices.SortStableFunc(jobs, func(a, b Job) int {
		return cmp.Or(
			cmp.Compare(a.class(), b.class()),
			cmp.Compare(a.slack(), b.slack()),
			cmp.Compare(p.quotaUsage(a.Spec.Team), p.quotaUsage(b.Spec.Team)),
			cmp.Compare(b.Age, a.Age),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// quotaUsage returns the fraction of its CPU quota that a team uses in other
// pools, so that the team that uses least comes first.
func (p *planner) quotaUsage(team string) float64 {
	quota, limited := p.input.Quotas[team]
	if !limited || quota.MilliCPU == 0 {
		return 0
	}
	return float64(p.input.UsedElsewhere[team].MilliCPU) / float64(quota.MilliCPU)
}

func (p *planner) placeJob(job *Job) {
	if len(job.Pending) == 0 {
		return
	}
	if reason := p.parkReason(job); reason != "" {
		p.plan.Parked[job.Name] = reason
		return
	}
	finder := p.newFinder(job)
	for _, index := range job.Pending {
		if reason := p.overQuotaReason(job); reason != "" {
			p.plan.Waiting[job.Name] = reason
			return
		}
		if p.startTask(job, index, finder) {
			continue
		}
		p.plan.Waiting[job.Name] = finder.waitReason
		return
	}
}

// parkReason returns why a job can't run in the current fleet, or "". It may
// reduce job.Resources to fit the quota or the largest worker.
func (p *planner) parkReason(job *Job) string {
	if job.FaultReason != "" {
		return job.FaultReason
	}
	if len(p.nodes) == 0 {
		return "its pool has no hosts"
	}
	quota, limited := p.input.Quotas[job.Spec.Team]
	if limited {
		job.Resources = Clamp(job.Resources, quota, job.MinResources)
	}
	if limited && !Fits(job.Resources, quota) {
		return fmt.Sprintf("one task needs %s and the quota of team %s is %s", FormatResources(job.Resources), job.Spec.Team, FormatResources(quota))
	}
	return p.capToLargestWorker(job)
}

// capToLargestWorker reduces the resources of a job that fits on no worker to
// the capacity of the worker with the most memory among those with at least
// MinResources. If there is none, it returns the reason to park the job.
func (p *planner) capToLargestWorker(job *Job) string {
	var largest *node
	for _, n := range p.byCapacity {
		if Fits(job.Resources, n.Capacity) {
			return ""
		}
		if Fits(job.MinResources, n.Capacity) && (largest == nil || n.Capacity.MemoryMB > largest.Capacity.MemoryMB) {
			largest = n
		}
	}
	if largest == nil {
		return fmt.Sprintf("one task needs %s, more than any host of its pool has", FormatResources(job.MinResources))
	}
	job.Resources = Clamp(job.Resources, largest.Capacity, job.MinResources)
	return ""
}

func (p *planner) overQuotaReason(job *Job) string {
	quota, limited := p.input.Quotas[job.Spec.Team]
	if !limited || Fits(Add(p.used[job.Spec.Team], job.Resources), quota) {
		return ""
	}
	return fmt.Sprintf("team %s holds %s of its quota of %s", job.Spec.Team, FormatResources(p.used[job.Spec.Team]), FormatResources(quota))
}

func (p *planner) startTask(job *Job, index int, f *finder) bool {
	n, reason := f.next()
	var waitFor []string
	if n == nil && !p.input.NoPreemption {
		n, waitFor = p.preempt(job, f)
		reason = "lesser work makes room"
	}
	if n == nil {
		return false
	}
	n.free = Sub(n.free, job.Resources)
	p.used[job.Spec.Team] = Add(p.used[job.Spec.Team], job.Resources)
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: job.Name, Index: index, Host: n.Name, Resources: job.Resources, Reason: reason, WaitFor: waitFor,
	})
	f.requeue(n)
	return true
}

// unthrottle restores the CPU of throttled tasks where there is room.
func (p *planner) unthrottle() {
	for _, n := range p.nodes {
		for _, task := range n.tasks {
			missing := task.Resources.MilliCPU - task.Allocated().MilliCPU
			if !task.Throttled || task.Terminating || p.acted[task.ID] || missing > n.free.MilliCPU {
				continue
			}
			n.free.MilliCPU -= missing
			p.act(task, Unthrottle, "its host has room again")
		}
	}
}

// FormatResources returns an amount as text for operators.
func FormatResources(r record.Resources) string {
	text := fmt.Sprintf("%d mCPU, %d MB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}
