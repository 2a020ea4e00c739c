// Package wave plans maintenance waves. Planning has no side effects: it turns a
// snapshot of the fleet into plans and their reasons. Package drainer applies
// the plans.
//
// A visit is one pass of a wave over one host: drain, reboot, health check and
// return to service. A host is out from the start of its visit until it returns.
package wave

import (
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// Host is one host of the wave's pools as the planner sees it.
type Host struct {
	Name   string
	Zone   string
	Rack   string
	Record hostrecord.Record
	// PhaseAge is how long this process has seen the record in its phase. It
	// restarts at zero after a failover, which only delays timeouts.
	PhaseAge time.Duration
	// RecordConfirmed is set when every live member serves the record's revision
	// or its lease has certainly expired.
	RecordConfirmed bool
	// Down is set when the host could not accept work at its last probe: it was
	// not listed as live, not reachable or not healthy. It is only used for
	// hosts that the wave has not taken out.
	Down bool
	// ConditionUnknown is set when the platform lists the host as live but did not
	// report its condition in time. The host may be serving, so it must not be
	// taken out as Down, which would waive the failure margin.
	ConditionUnknown bool
	// Reachable, Healthy, BootID, InFlight and LastOperation are the condition
	// that the platform reported last.
	Reachable     bool
	Healthy       bool
	BootID        string
	InFlight      int
	LastOperation string
	// HealthyFor is how long the host has been continuously healthy.
	HealthyFor time.Duration
	// DrainRequested is set when the platform was asked to drain the host.
	DrainRequested bool
	// Refusal is why the budget last refused the host, or "".
	Refusal string
}

// Verb is the action of a step.
type Verb string

// The verbs, one per transition of a host.
const (
	// MarkDraining acquires the disruption grants and marks the host draining.
	MarkDraining Verb = "start-drain"
	// DrainHost tells the platform to drain the host.
	DrainHost Verb = "drain-host"
	// Reboot marks the host rebooting and requests the reboot. It is planned
	// again as long as the platform shows that it did not accept the request.
	Reboot Verb = "reboot"
	// VerifyHealth marks the host as verifying its health after the reboot.
	VerifyHealth Verb = "await-proof"
	// ReturnToService makes the host schedulable, records the step's visit and
	// releases the host's grants.
	ReturnToService Verb = "return"
	// MarkFailed marks the host failed and records the step's visit.
	MarkFailed Verb = "give-up"
)

// Step is one transition to apply now.
type Step struct {
	Host   string
	Verb   Verb
	Reason string
	// AlreadyDown is set with MarkDraining and stored in the host record.
	AlreadyDown bool
	// Outcome is set with ReturnToService and MarkFailed and stored in the host
	// record. The wave's progress and parallelism are derived from it.
	Outcome *hostrecord.WaveOutcome
}

// Phase is the state of a wave.
type Phase string

// The phases of a wave.
const (
	Running Phase = "running"
	// Paused and Stopped waves take out no further host: Paused at an operator's
	// request, Stopped because too many hosts failed.
	Paused  Phase = "paused"
	Stopped Phase = "stopped"
	// Blocked waves have hosts left that no budget currently allows to be taken
	// out. They resume on their own once a budget does.
	Blocked Phase = "blocked"
	// OutsideWindow waves wait for a maintenance window.
	OutsideWindow Phase = "shut"
	Cancelled     Phase = "cancelled"
	Finished      Phase = "finished"
)

// Status is the state of a wave as shown to operators. It is derived from host
// records and never read back for decisions.
type Status struct {
	Wave   string `json:"wave"`
	Phase  Phase  `json:"phase"`
	Reason string `json:"reason,omitempty"`
	Hosts  int    `json:"hosts"`
	// Parallelism is how many hosts may currently be out at once. BudgetLimit is
	// how many the budgets would allow.
	Parallelism       int               `json:"width"`
	BudgetLimit       int               `json:"safe"`
	ParallelismReason string            `json:"widthWhy,omitempty"`
	Maintained        int               `json:"maintained"`
	Failed            map[string]string `json:"failed,omitempty"`
	HostsOut          []string          `json:"out,omitempty"`
	Waiting           map[string]string `json:"waiting,omitempty"`
	// SecondsPerHost is the mean time a host is out. RemainingSeconds is the
	// estimated time until the wave finishes. Both are rounded so that the status
	// does not change with every reconcile. EstimatedFrom names their source.
	SecondsPerHost   int    `json:"secondsPerHost,omitempty"`
	RemainingSeconds int    `json:"remainingSeconds,omitempty"`
	EstimatedFrom    string `json:"estimatedFrom,omitempty"`
	// Buffers is the capacity reserved for each service while the wave works on
	// its pools.
	Buffers []ServiceBuffer `json:"buffers,omitempty"`
}

// ServiceBuffer is the capacity of one service that a wave reserves.
type ServiceBuffer struct {
	budget.Buffer
	// Out is how many of the service's hosts the wave has out. MaxOut is how many
	// it may have out at once until the service's pools are finished.
	Out    int `json:"out"`
	MaxOut int `json:"limit"`
}

// Total returns the reserved capacity in hosts: those that are or may be out,
// plus the reserve for the failure margin.
func (c ServiceBuffer) Total() int { return max(c.Out, c.MaxOut) + c.Reserve }

// Done reports whether the wave has no work left. A cancelled wave is done only
// once all hosts it had out are back in service.
func (s Status) Done() bool {
	return len(s.HostsOut) == 0 && (s.Phase == Finished || s.Phase == Cancelled)
}

// Input is one wave with its hosts.
type Input struct {
	Name  string
	Spec  *record.Wave
	Hosts []Host
}

// Plan is the steps to apply now and the status that explains why other hosts
// wait.
type Plan struct {
	Steps  []Step
	Status Status
}

// Snapshot is the state of the fleet from which all waves are planned together.
type Snapshot struct {
	Waves []Input
	// Budgets tracks what the budgets allow. PlanAll marks the hosts that it
	// plans to take out in it. If nil, only the grant store enforces budgets.
	Budgets *budget.Tracker
	// Policy weighs buffer cost against rollout time; nil weighs both equally.
	Policy *record.Policy
	// Now is the wall clock time, used only for maintenance windows and estimates.
	Now time.Time
}
