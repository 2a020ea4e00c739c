// Package work has the types of the job service: what a client hands in, what
// a step asks of a worker, and how far a job has come. It does no I/O.
package work

import (
	"fmt"
	"time"
)

// Resources is what a task takes of a worker, or what a worker has.
type Resources struct {
	MilliCPU int `json:"c,omitempty"`
	MemMB    int `json:"m,omitempty"`
	GPU      int `json:"g,omitempty"`
}

// Plus returns the sum of two sizes.
func (s Resources) Plus(o Resources) Resources {
	return Resources{s.MilliCPU + o.MilliCPU, s.MemMB + o.MemMB, s.GPU + o.GPU}
}

// Minus returns what is left of s without o.
func (s Resources) Minus(o Resources) Resources {
	return Resources{s.MilliCPU - o.MilliCPU, s.MemMB - o.MemMB, s.GPU - o.GPU}
}

// Fits reports whether s has room in free.
func (s Resources) Fits(free Resources) bool {
	return s.MilliCPU <= free.MilliCPU && s.MemMB <= free.MemMB && s.GPU <= free.GPU
}

// Step is a number of like tasks.
type Step struct {
	Count     int       `json:"n"`
	Resources Resources `json:"s"`
	// Estimate is the client's rough guess of one task's run time.
	Estimate time.Duration `json:"e,omitempty"`
	// After are the earlier steps whose tasks must all be done first.
	After []int `json:"a,omitempty"`
	// Checkpoint: its tasks save their progress.
	Checkpoint bool `json:"k,omitempty"`
	// Gang: its tasks work only all together.
	Gang bool `json:"G,omitempty"`
	// SameRack: its tasks are slow when spread over racks.
	SameRack bool `json:"r,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"q,omitempty"`
	// DataRack is the rack where its data lies; elsewhere it is slow.
	DataRack string `json:"d,omitempty"`
	// MaxPerHost, when set, bounds the step's tasks on one worker.
	MaxPerHost int `json:"p,omitempty"`
	// Speculative may run side by side; the first to end counts.
	Speculative bool `json:"D,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"l,omitempty"`
	// Image names what runs; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// LatencyTarget is the response time that a serving task must stay under.
	LatencyTarget time.Duration `json:"t,omitempty"`
	// BestEffort tasks get the processor time that others leave.
	BestEffort bool `json:"f,omitempty"`
	// MaxUnavailable is how many of a lasting step's tasks may be away at once
	// through our acts.
	MaxUnavailable int `json:"M,omitempty"`
}

// Reserved is the part of a task's size that counts against a worker.
func (s *Step) Reserved() Resources {
	if s.BestEffort {
		return Resources{MemMB: s.Resources.MemMB, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Spec is what a client hands in.
type Spec struct {
	// Payload is passed to the tasks as it is.
	Payload string `json:"x"`
	Steps   []Step `json:"S"`
	// Repeats, when above zero, is how many times the steps run; time K is due
	// K intervals after First, a time of day in milliseconds since 1970.
	Repeats  int           `json:"R,omitempty"`
	FirstMs  int64         `json:"F,omitempty"`
	Interval time.Duration `json:"I,omitempty"`
}

// Occurrences is how many occurrences the spec has.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// LongRunning reports whether the job has a step that runs until cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath is the longest chain of estimates through the steps.
func (s *Spec) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		step := &s.Steps[i]
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Bounds of a spec. MaxSteps and MaxTasks are ours: they keep one job's
// progress under a few kilobytes in the store.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasks        = 4096
	MaxRepeats      = 10_000
	idLength        = 16
)

// InvalidError names the field of a job that can't be accepted.
type InvalidError struct {
	Field string
	Want  string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s must be %s", e.Field, e.Want) }

// CheckID reports *InvalidError unless id is 16 hexadecimal digits.
func CheckID(id string) error {
	if len(id) != idLength {
		return &InvalidError{"id", "16 hexadecimal digits"}
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return &InvalidError{"id", "16 hexadecimal digits"}
		}
	}
	return nil
}

// Check reports the first *InvalidError of the spec.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > MaxPayloadBytes:
		return &InvalidError{"spec", "at most 4000 bytes long"}
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return &InvalidError{"steps", "1 to 64 steps"}
	case s.Repeats < 0 || s.Repeats > MaxRepeats:
		return &InvalidError{"repeats", "0 to 10000"}
	case s.Interval < 0 || s.FirstMs < 0:
		return &InvalidError{"intervalMs", "a time that doesn't run backwards"}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return &InvalidError{"steps", "at most 4096 tasks in all"}
	}
	return nil
}

func (s *Step) check(index int) error {
	at := func(field string) string { return fmt.Sprintf("steps[%d].%s", index, field) }
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &InvalidError{at("count"), "1 to 4096"}
	case s.Resources.MilliCPU < 0 || s.Resources.MemMB < 0 || s.Resources.GPU < 0:
		return &InvalidError{at("cpu"), "sizes of zero or more"}
	case s.Estimate < 0 || s.LatencyTarget < 0:
		return &InvalidError{at("estMs"), "zero or more"}
	case s.MaxPerHost < 0 || s.MaxUnavailable < 0:
		return &InvalidError{at("antiAffinity"), "zero or more"}
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return &InvalidError{at("after"), "numbers of earlier steps"}
		}
	}
	return nil
}

// Queue is how a queue's jobs are treated.
type Queue struct {
	Name string `json:"n"`
	// Pool is the pool whose workers run its tasks.
	Pool string `json:"p"`
	// Priority 0 comes first and may displace others.
	Priority int `json:"P,omitempty"`
	// MaxAttempts is how often a task may fail.
	MaxAttempts int `json:"a"`
	// Stretch times the chain, and Slack more, is a job's objective.
	Stretch float64       `json:"s"`
	Slack   time.Duration `json:"l"`
	Advice  *AdvicePolicy `json:"A,omitempty"`
}

// AdvicePolicy says that only workers named by the advice service may run the
// queue's steps.
type AdvicePolicy struct {
	Decision time.Duration `json:"d"`
	PerItem  time.Duration `json:"i"`
	Validity time.Duration `json:"v"`
}

// Record is an accepted job as the store keeps it. It never changes.
type Record struct {
	ID    string `json:"id"`
	Queue Queue  `json:"q"`
	Spec  Spec   `json:"sp"`
	// ArrivedMs is the time of day when it first arrived, since 1970.
	ArrivedMs int64 `json:"at"`
}

// State is what a client is told of a job.
type State string

// The states of a job. Unknown is never shown: it means that nobody has handed
// it in.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state changes no more.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// EndReason is how a run ended.
type EndReason string

// The ends of a run.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndExpired: its hold ran out.
	EndExpired EndReason = "lapsed"
	// EndGangBroken: another member of its gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout: it waited in vain for the others of its gang.
	EndGangTimeout EndReason = "alone"
)

// TaskName identifies a task.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// SameStep reports whether two tasks are of one occurrence of a step.
func (n TaskName) SameStep(o TaskName) bool {
	return n.Job == o.Job && n.Occurrence == o.Occurrence && n.Step == o.Step
}

func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}
