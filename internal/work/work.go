// Package work has the types of the job service: what a client hands in, what
// a step asks of a worker, and how far a job has come. It does no I/O.
package work

import (
	"fmt"
	"time"
)

// Size is what a task takes of a worker, or what a worker has.
type Size struct {
	MilliCPU int `json:"c,omitempty"`
	MemMB    int `json:"m,omitempty"`
	GPU      int `json:"g,omitempty"`
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemMB + o.MemMB, s.GPU + o.GPU}
}

// Minus returns what is left of s without o.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemMB - o.MemMB, s.GPU - o.GPU}
}

// Fits reports whether s has room in free.
func (s Size) Fits(free Size) bool {
	return s.MilliCPU <= free.MilliCPU && s.MemMB <= free.MemMB && s.GPU <= free.GPU
}

// Step is a number of like tasks.
type Step struct {
	Count int  `json:"n"`
	Size  Size `json:"s"`
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
	// MostPerWorker, when set, bounds the step's tasks on one worker.
	MostPerWorker int `json:"p,omitempty"`
	// Copies may run side by side; the first to end counts.
	Copies bool `json:"D,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `json:"l,omitempty"`
	// Image names what runs; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// Target is the response time that a serving task must stay under.
	Target time.Duration `json:"t,omitempty"`
	// Filling tasks get the processor time that others leave.
	Filling bool `json:"f,omitempty"`
	// MayMiss is how many of a lasting step's tasks may be away at once
	// through our acts.
	MayMiss int `json:"M,omitempty"`
}

// Counted is the part of a task's size that counts against a worker.
func (s *Step) Counted() Size {
	if s.Filling {
		return Size{MemMB: s.Size.MemMB, GPU: s.Size.GPU}
	}
	return s.Size
}

// Spec is what a client hands in.
type Spec struct {
	// Text is passed to the tasks as it is.
	Text  string `json:"x"`
	Steps []Step `json:"S"`
	// Repeats, when above zero, is how many times the steps run; time K is due
	// K intervals after First, a time of day in milliseconds since 1970.
	Repeats  int           `json:"R,omitempty"`
	FirstMs  int64         `json:"F,omitempty"`
	Interval time.Duration `json:"I,omitempty"`
}

// Times is how many occurrences the spec has.
func (s *Spec) Times() int { return max(1, s.Repeats) }

// Lasting reports whether the job has a step that runs until cancelled.
func (s *Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Chain is the longest chain of estimates through the steps.
func (s *Spec) Chain() time.Duration {
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
	MaxTextBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 4096
	MaxRepeats   = 10_000
	idLength     = 16
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
	case len(s.Text) > MaxTextBytes:
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
	case s.Size.MilliCPU < 0 || s.Size.MemMB < 0 || s.Size.GPU < 0:
		return &InvalidError{at("cpu"), "sizes of zero or more"}
	case s.Estimate < 0 || s.Target < 0:
		return &InvalidError{at("estMs"), "zero or more"}
	case s.MostPerWorker < 0 || s.MayMiss < 0:
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
	// Attempts is how often a task may fail.
	Attempts int `json:"a"`
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

// How is how a run ended.
type How string

// The ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	// EndLapsed: its hold ran out.
	EndLapsed How = "lapsed"
	// EndBroken: another member of its gang ended.
	EndBroken How = "broken"
	// EndAlone: it waited in vain for the others of its gang.
	EndAlone How = "alone"
)

// TaskName identifies a task.
type TaskName struct {
	Job   string
	Time  int
	Step  int
	Index int
}

// SameStep reports whether two tasks are of one occurrence of a step.
func (n TaskName) SameStep(o TaskName) bool {
	return n.Job == o.Job && n.Time == o.Time && n.Step == o.Step
}

func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Time, n.Step, n.Index)
}
