// Package wave plans maintenance waves. Planning is pure: a snapshot in, plans
// with their reasons out. Applying a plan is the drainer's work.
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
	// PhaseAge is how long the record has been in its phase, as seen by this
	// process; it starts anew after a fail-over, which only lengthens it.
	PhaseAge time.Duration
	// RecordConfirmed says that every live member serves the record's revision or
	// has certainly gone.
	RecordConfirmed bool
	// Down says that the host took no work when last looked at: not listed as
	// live, not reachable or not healthy. It is only read of hosts that the
	// wave hasn't taken out.
	Down bool
	// ConditionUnknown says that the platform lists the host as live but didn't say in
	// time how it is: it may well serve, so it isn't Down for free.
	ConditionUnknown bool
	// Reachable, Healthy, BootID, InFlight and LastOperation are the
	// platform's latest word.
	Reachable     bool
	Healthy       bool
	BootID        string
	InFlight      int
	LastOperation string
	// HealthyFor is how long the host has been healthy without a break.
	HealthyFor time.Duration
	// DrainRequested says that the platform was told to drain the host.
	DrainRequested bool
	// Refusal, when set, is why the budget last refused the host.
	Refusal string
}

// Verb is what a step does.
type Verb string

// The verbs, one per transition of a host.
const (
	// MarkDraining acquires the budget and marks the host draining.
	MarkDraining Verb = "start-drain"
	// DrainHost tells the platform to drain the host.
	DrainHost Verb = "drain-host"
	// Reboot marks the host rebooting and tells the platform. It is planned
	// again while the platform shows that it never took the act.
	Reboot Verb = "reboot"
	// VerifyHealth marks the host proving after its return.
	VerifyHealth Verb = "await-proof"
	// ReturnToService puts the host back to work, records the step's visit and gives
	// its grants back.
	ReturnToService Verb = "return"
	// MarkFailed marks the host failed and records the step's visit.
	MarkFailed Verb = "give-up"
)

// Step is one transition to apply now.
type Step struct {
	Host   string
	Verb   Verb
	Reason string
	// AlreadyDown, set with StartDrain, goes into the host record.
	AlreadyDown bool
	// Visit, set with Return and GiveUp, goes into the host record: the wave's
	// progress and width are derived from it.
	Visit *hostrecord.WaveOutcome
}

// Phase is where a wave stands.
type Phase string

// The phases of a wave.
const (
	Running Phase = "running"
	// Paused and Stopped waves start no further host: by an operator's word,
	// or because too many hosts failed.
	Paused  Phase = "paused"
	Stopped Phase = "stopped"
	// Blocked waves have hosts left that no budget lets out as things stand;
	// they go on by themselves once that changes.
	Blocked Phase = "blocked"
	// OutsideWindow waves wait for a maintenance window.
	OutsideWindow Phase = "shut"
	Cancelled     Phase = "cancelled"
	Finished      Phase = "finished"
)

// Status is what operators see of a wave. It is derived from host records and
// never read back to decide anything.
type Status struct {
	Wave   string `json:"wave"`
	Phase  Phase  `json:"phase"`
	Reason string `json:"reason,omitempty"`
	Hosts  int    `json:"hosts"`
	// Parallelism is how many hosts may be out at once now, and Safe is how many the
	// budgets would let out.
	Parallelism       int               `json:"width"`
	BudgetLimit       int               `json:"safe"`
	ParallelismReason string            `json:"widthWhy,omitempty"`
	Maintained        int               `json:"maintained"`
	Failed            map[string]string `json:"failed,omitempty"`
	Out               []string          `json:"out,omitempty"`
	Waiting           map[string]string `json:"waiting,omitempty"`
	// SecondsPerHost is the mean time a host is out, and RemainingSeconds the
	// estimate to the wave's end, both rounded so that the status doesn't
	// change with every round. EstimatedFrom says what they rest on.
	SecondsPerHost   int    `json:"secondsPerHost,omitempty"`
	RemainingSeconds int    `json:"remainingSeconds,omitempty"`
	EstimatedFrom    string `json:"estimatedFrom,omitempty"`
	// Buffers is what each service holds back while its pools are being done.
	Buffers []ServiceBuffer `json:"buffers,omitempty"`
}

// ServiceBuffer is the capacity of one service that a wave keeps from other uses.
type ServiceBuffer struct {
	budget.Buffer
	// Out is how many of its hosts the wave has out, and Limit how many it may
	// have out at once until the service is done.
	Out    int `json:"out"`
	MaxOut int `json:"limit"`
}

// Total is what the service keeps from other uses: hosts out or that may be, and
// those kept for its failure margin.
func (c ServiceBuffer) Total() int { return max(c.Out, c.MaxOut) + c.Reserve }

// Done reports whether the wave will do nothing more. A cancelled wave is only
// done once the hosts it had out are back.
func (s Status) Done() bool {
	return len(s.Out) == 0 && (s.Phase == Finished || s.Phase == Cancelled)
}

// Input is the snapshot a plan is made from.
type Input struct {
	Name  string
	Spec  *record.Wave
	Hosts []Host
}

// Plan is what to do now, and why everything else waits.
type Plan struct {
	Steps  []Step
	Status Status
}

// Snapshot is the snapshot that all waves are planned from together.
type Snapshot struct {
	Waves []Input
	// Budgets holds what the budgets allow; MakeAll takes what it plans out of
	// it. Without a book the gate alone decides.
	Budgets *budget.Tracker
	// Policy weighs buffer cost against roll-out time; nil means evenly.
	Policy *record.Policy
	// Now is the wall clock, for maintenance windows and estimates alone.
	Now time.Time
}
