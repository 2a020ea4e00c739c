package work

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Progress is how far a job has come, as the store keeps it: everything that a
// worker may forget once it was told that we have seen it.
type Progress struct {
	// State is set once it is final.
	State State `json:"s,omitempty"`
	// EndedMs is when State became final, since 1970.
	EndedMs int64 `json:"e,omitempty"`
	// Tasks holds what isn't as at the start, by time, step and index.
	Tasks []TaskProgress `json:"t,omitempty"`
	// OccurrencesDone are the occurrences whose tasks are all done; their tasks are
	// left out of Tasks.
	OccurrencesDone []int `json:"d,omitempty"`
}

// TaskProgress is one task's progress.
type TaskProgress struct {
	Occurrence, Step, Index int
	Done                    bool
	// Failed are the runs that ended as failed. A host tells an end again
	// until it knows that we have seen it, also to the next holder of the
	// pool, so that a count alone would count one failure twice.
	Failed []int
	// Crashed are the runs under which their host was lost, and those of a task
	// that may crash its hosts of which no end is known.
	Crashed []int
	// Run is the highest run that is known.
	Run int
	// Checkpoint is the last checkpoint, empty when there is none.
	Checkpoint string
}

// appendRow writes a row, which is a third of an object's size.
func (p *TaskProgress) appendRow(to []byte) []byte {
	done := int64(0)
	if p.Done {
		done = 1
	}
	to = append(to, '[')
	for _, number := range [...]int64{int64(p.Occurrence), int64(p.Step), int64(p.Index), done} {
		to = append(strconv.AppendInt(to, number, 10), ',')
	}
	to = appendInts(to, p.Failed)
	to = append(strconv.AppendInt(append(to, ','), int64(p.Run), 10), ',')
	to = append(to, encode(p.Checkpoint)...)
	if len(p.Crashed) > 0 {
		to = appendInts(append(to, ','), p.Crashed)
	}
	return append(to, ']')
}

func appendInts(to []byte, numbers []int) []byte {
	to = append(to, '[')
	for i, number := range numbers {
		if i > 0 {
			to = append(to, ',')
		}
		to = strconv.AppendInt(to, int64(number), 10)
	}
	return append(to, ']')
}

// CorruptError says that a stored value can't be read.
type CorruptError struct {
	What  string
	Cause error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("stored %s: %v", e.What, e.Cause) }

func (e *CorruptError) Unwrap() error { return e.Cause }

// UnmarshalJSON reads a row.
func (p *TaskProgress) UnmarshalJSON(data []byte) error {
	var done int
	row := []any{&p.Occurrence, &p.Step, &p.Index, &done, &p.Failed, &p.Run, &p.Checkpoint, &p.Crashed}
	if err := json.Unmarshal(data, &row); err != nil {
		return &CorruptError{"task progress", err}
	}
	p.Done = done == 1
	return nil
}

// EncodeRecord returns the stored form of a job.
func EncodeRecord(r *Record) []byte { return encode(r) }

// EncodeProgress returns the stored form of a job's progress. It is written
// with every end of a task, so it is put together by hand.
func EncodeProgress(p *Progress) []byte {
	to := append([]byte(`{"s":`), encode(p.State)...)
	to = strconv.AppendInt(append(to, `,"e":`...), p.EndedMs, 10)
	to = appendInts(append(to, `,"d":`...), p.OccurrencesDone)
	to = append(to, `,"t":[`...)
	for i := range p.Tasks {
		if i > 0 {
			to = append(to, ',')
		}
		to = p.Tasks[i].appendRow(to)
	}
	return append(to, `]}`...)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Types of this package always encode.
		panic(err)
	}
	return data
}

// DecodeRecord reads a stored job or returns *CorruptError.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, &CorruptError{"job", err}
	}
	if err := r.Spec.Check(); err != nil {
		return nil, &CorruptError{"job", err}
	}
	return &r, nil
}

// DecodeProgress reads a stored progress or returns *CorruptError.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, &CorruptError{"progress", err}
	}
	return &p, nil
}
