package jobs

import (
	"encoding/json"
	"fmt"
	"sort"

	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Task is a task placed on a worker. It stays in the state until it is certainly
// no longer running.
type Task struct {
	// ID identifies the operation; a worker runs an ID at most once.
	ID        string           `json:"id"`
	Job       string           `json:"job"`
	Index     int              `json:"index"`
	Team      string           `json:"team"`
	Priority  record.Priority  `json:"priority,omitempty"`
	Host      string           `json:"host"`
	Resources record.Resources `json:"size"`
	Throttled bool             `json:"throttled,omitempty"`
	// Termination is how the task is being ended, Checkpoint or Stop; empty if
	// it isn't.
	Termination placement.Verb `json:"leaving,omitempty"`
	// WaitFor lists the IDs of tasks that must have ended or been throttled
	// before this one starts.
	WaitFor  []string `json:"after,omitempty"`
	ResumeOf string   `json:"resumeOf,omitempty"`
}

// JobProgress is the progress of a job.
type JobProgress struct {
	// Revision is the revision of the job's record when it was last read.
	Revision store.Revision `json:"revision"`
	Done     IndexSet       `json:"done,omitempty"`
	// AgeSeconds is the time since the job was accepted, not counting the time
	// during which no controller was running.
	AgeSeconds int `json:"ageSeconds"`
	// Checkpoints maps a task index to the ID of the task whose checkpoint the
	// next start of that index resumes from.
	Checkpoints map[int]string `json:"saved,omitempty"`
}

// State is the persistent state of one pool's jobs. It is one value in the store,
// written by compare-and-swap.
type State struct {
	Pool string `json:"pool"`
	// Writer is the controller that wrote last. A new owner of the shard writes
	// every state once before it places tasks, so that later writes of a paused
	// predecessor conflict.
	Writer    string                   `json:"holder"`
	Tasks     map[string]*Task         `json:"tasks,omitempty"`
	Jobs      map[string]*JobProgress  `json:"jobs,omitempty"`
	Estimator placement.Estimator      `json:"memory"`
	Failures  placement.FailureTracker `json:"blame"`
	// Waiting and Parked are information for operators and not used for planning.
	Waiting map[string]string `json:"waiting,omitempty"`
	Parked  map[string]string `json:"parked,omitempty"`
	// WriteID identifies the write that made this version.
	WriteID string `json:"writeId"`
}

// maxStateBytes limits the size to which new tasks may grow a state. It is below
// the store's limit, so that the end of a task can always be written.
const maxStateBytes = store.MaxValueBytes * 9 / 10

// CorruptError reports that a stored state can't be parsed. The pool's jobs are
// suspended until an operator repairs the state: placing tasks that may still be
// running could run them twice.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("placement %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

func newState(pool string) *State {
	return &State{Pool: pool, Tasks: make(map[string]*Task), Jobs: make(map[string]*JobProgress)}
}

// ParseState parses a stored state. It returns a *CorruptError if the value is
// invalid or belongs to another key.
func ParseState(key string, value []byte) (*State, error) {
	state := newState("")
	if err := json.Unmarshal(value, state); err != nil {
		return nil, &CorruptError{Key: key, Cause: err}
	}
	if storekeys.Placement(state.Pool) != key {
		return nil, &CorruptError{Key: key, Cause: &KeyMismatchError{Pool: state.Pool}}
	}
	return state, nil
}

// KeyMismatchError reports that a state is stored under another pool's key.
type KeyMismatchError struct{ Pool string }

func (e *KeyMismatchError) Error() string { return fmt.Sprintf("it is the state of pool %q", e.Pool) }

func (s *State) encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		// A State holds only strings, numbers and maps of them.
		panic(err)
	}
	return data
}

func (s *State) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(s.Tasks))
	for _, task := range s.Tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID < tasks[j].ID })
	return tasks
}

// pending lists the indexes of a job that are neither done nor placed.
func (s *State) pending(name string, spec *record.Job) []int {
	placed := make(map[int]bool)
	for _, task := range s.Tasks {
		if task.Job == name {
			placed[task.Index] = true
		}
	}
	done := s.Jobs[name].Done
	var pending []int
	for i := range taskCount(spec) {
		if !placed[i] && !done.Has(i) {
			pending = append(pending, i)
		}
	}
	return pending
}

func taskCount(spec *record.Job) int { return max(1, spec.Tasks) }

// JobStatus is the status of a job for operators.
type JobStatus struct {
	Tasks      int `json:"tasks"`
	Finished   int `json:"finished"`
	Placed     int `json:"placed"`
	AgeSeconds int `json:"acceptedSecondsAgo"`
	// Hosts counts the job's placed tasks by host.
	Hosts   map[string]int `json:"hosts,omitempty"`
	Waiting string         `json:"waits,omitempty"`
	Parked  string         `json:"parked,omitempty"`
}

// Status returns the status of a job, and whether a controller has picked it up.
func (s *State) Status(name string, spec *record.Job) (JobStatus, bool) {
	job := s.Jobs[name]
	if job == nil {
		return JobStatus{}, false
	}
	status := JobStatus{
		Tasks: taskCount(spec), Finished: job.Done.Count(), AgeSeconds: job.AgeSeconds,
		Hosts: make(map[string]int), Waiting: s.Waiting[name], Parked: s.Parked[name],
	}
	for _, task := range s.Tasks {
		if task.Job == name {
			status.Placed++
			status.Hosts[task.Host]++
		}
	}
	return status, true
}

// IndexSet is a set of small non-negative numbers; 10,000 numbers take 1.25 KB.
type IndexSet []byte

const bitsPerByte = 8

// Has reports whether i is in the set.
func (b IndexSet) Has(i int) bool {
	return i/bitsPerByte < len(b) && b[i/bitsPerByte]>>(i%bitsPerByte)&1 == 1
}

// With returns the set with i added. It may modify b.
func (b IndexSet) With(i int) IndexSet {
	for len(b) <= i/bitsPerByte {
		b = append(b, 0)
	}
	b[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	return b
}

// Count returns how many numbers are in the set.
func (b IndexSet) Count() int {
	count := 0
	for i := range len(b) * bitsPerByte {
		if b.Has(i) {
			count++
		}
	}
	return count
}
