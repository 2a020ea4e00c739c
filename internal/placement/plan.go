package placement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"auburnglade.example/glade/internal/record"
)

// node is a worker with what is left of it while a plan is made.
type node struct {
	Worker
	free  record.Resources
	tasks []*Task
}

type planner struct {
	input  Input
	nodes  []*node
	byName map[string]*node
	held   map[string]record.Resources
	// full and stuck hold sizes that found no room, without and with lesser
	// work making some.
	full, stuck refusals
	// kinds has one worker of each capacity.
	kinds []*node
	// acts holds the tasks told something in this plan.
	acts map[string]bool
	plan Plan
}

// MakePlan plans one pool.
func MakePlan(input Input) Plan {
	p := newPlanner(input)
	p.endUnwanted()
	jobs := slices.Clone(input.Jobs)
	p.order(jobs)
	for i := range jobs {
		p.place(&jobs[i])
	}
	p.unthrottle()
	return p.plan
}

func newPlanner(input Input) *planner {
	p := &planner{
		input: input, byName: make(map[string]*node, len(input.Workers)),
		held: make(map[string]record.Resources), acts: make(map[string]bool),
		plan: Plan{Waiting: make(map[string]string), Parked: make(map[string]string)},
	}
	for _, worker := range input.Workers {
		n := &node{Worker: worker, free: worker.Capacity}
		p.nodes = append(p.nodes, n)
		p.byName[worker.Name] = n
	}
	kinds := make(map[record.Resources]bool)
	for _, n := range p.nodes {
		if !kinds[n.Capacity] {
			kinds[n.Capacity] = true
			p.kinds = append(p.kinds, n)
		}
	}
	sort.Slice(p.nodes, func(i, j int) bool { return p.nodes[i].Name < p.nodes[j].Name })
	for team, held := range input.UsedElsewhere {
		p.held[team] = held
	}
	for i := range input.Tasks {
		task := &input.Tasks[i]
		p.held[task.Team] = Add(p.held[task.Team], task.Resources)
		if n := p.byName[task.Host]; n != nil {
			n.free = Sub(n.free, task.Allocated())
			n.tasks = append(n.tasks, task)
		}
	}
	return p
}

func (p *planner) act(task *Task, verb Verb, reason string) {
	p.acts[task.ID] = true
	p.plan.Actions = append(p.plan.Actions, Action{Task: task.ID, Verb: verb, Reason: reason})
}

// endUnwanted ends tasks of cancelled jobs and moves tasks off hosts that are
// leaving. What they hold is free only once they have ended.
func (p *planner) endUnwanted() {
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

// class orders jobs: lower comes first and may displace higher.
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

// slack is how much time is left over to the deadline if the job's tasks ran
// one after the other.
func (j *Job) slack() time.Duration {
	if j.Spec.DeadlineSeconds == 0 {
		return time.Duration(1<<63 - 1)
	}
	left := time.Duration(j.Spec.DeadlineSeconds)*time.Second - j.Age
	return left - j.RunTime
}

func (j *Job) atRisk() bool {
	return j.Spec.DeadlineSeconds > 0 && j.slack() < j.RunTime*riskMargin
}

// order sorts jobs: by class, the least slack to a deadline, the team with the
// least of its quota in use, the oldest, and the name.
func (p *planner) order(jobs []Job) {
	slices.SortStableFunc(jobs, func(a, b Job) int {
		return cmp.Or(
			cmp.Compare(a.class(), b.class()),
			cmp.Compare(a.slack(), b.slack()),
			cmp.Compare(p.share(a.Spec.Team), p.share(b.Spec.Team)),
			cmp.Compare(b.Age, a.Age),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// share is the part of its quota a team held when the plan began, so that the
// team that holds least comes first.
func (p *planner) share(team string) float64 {
	quota, bounded := p.input.Quotas[team]
	if !bounded || quota.MilliCPU == 0 {
		return 0
	}
	return float64(p.input.UsedElsewhere[team].MilliCPU) / float64(quota.MilliCPU)
}

func (p *planner) place(job *Job) {
	if len(job.Pending) == 0 {
		return
	}
	if reason := p.hopeless(job); reason != "" {
		p.plan.Parked[job.Name] = reason
		return
	}
	finder := p.newFinder(job)
	for _, index := range job.Pending {
		if reason := p.overQuota(job); reason != "" {
			p.plan.Waiting[job.Name] = reason
			return
		}
		if p.startOne(job, index, finder) {
			continue
		}
		p.plan.Waiting[job.Name] = finder.why
		return
	}
}

// hopeless says why a job can't run at all as things stand.
func (p *planner) hopeless(job *Job) string {
	if job.FaultReason != "" {
		return job.FaultReason
	}
	if len(p.nodes) == 0 {
		return "its pool has no hosts"
	}
	quota, bounded := p.input.Quotas[job.Spec.Team]
	if bounded {
		job.Resources = Cut(job.Resources, quota, job.MinResources)
	}
	if bounded && !Fits(job.Resources, quota) {
		return fmt.Sprintf("one task needs %s and the quota of team %s is %s", FormatResources(job.Resources), job.Spec.Team, FormatResources(quota))
	}
	return p.cutToLargest(job)
}

// cutToLargest cuts a job that is expected to need more than any worker has,
// but may do with less, to the worker that gives it the most memory.
func (p *planner) cutToLargest(job *Job) string {
	var largest *node
	for _, n := range p.kinds {
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
	job.Resources = Cut(job.Resources, largest.Capacity, job.MinResources)
	return ""
}

func (p *planner) overQuota(job *Job) string {
	quota, bounded := p.input.Quotas[job.Spec.Team]
	if !bounded || Fits(Add(p.held[job.Spec.Team], job.Resources), quota) {
		return ""
	}
	return fmt.Sprintf("team %s holds %s of its quota of %s", job.Spec.Team, FormatResources(p.held[job.Spec.Team]), FormatResources(quota))
}

func (p *planner) startOne(job *Job, index int, f *finder) bool {
	n, reason := f.next()
	var after []string
	if n == nil && !p.input.NoPreemption {
		n, after = p.displace(job, f)
		reason = "lesser work makes room"
	}
	if n == nil {
		return false
	}
	n.free = Sub(n.free, job.Resources)
	p.held[job.Spec.Team] = Add(p.held[job.Spec.Team], job.Resources)
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: job.Name, Index: index, Host: n.Name, Resources: job.Resources, Reason: reason, WaitFor: after,
	})
	f.used(n)
	return true
}

// unthrottle gives throttled tasks their processors back where there is room.
func (p *planner) unthrottle() {
	for _, n := range p.nodes {
		for _, task := range n.tasks {
			missing := task.Resources.MilliCPU - task.Allocated().MilliCPU
			if !task.Throttled || task.Terminating || p.acts[task.ID] || missing > n.free.MilliCPU {
				continue
			}
			n.free.MilliCPU -= missing
			p.act(task, Unthrottle, "its host has room again")
		}
	}
}

// FormatResources writes an amount for operators.
func FormatResources(r record.Resources) string {
	text := fmt.Sprintf("%d mCPU, %d MB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}
