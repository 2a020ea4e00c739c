package work

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Progress is the stored progress of a job. It contains everything that a host
// may discard once it has received our acknowledgement.
type Progress struct {
	// State is empty until the job's state is final.
	State State `json:"s,omitempty"`
	// EndedMs is when State became final, in Unix milliseconds.
	EndedMs int64 `json:"e,omitempty"`
	// Tasks has the tasks that differ from their initial state, ordered by
	// occurrence, step and index.
	Tasks []TaskProgress `json:"t,omitempty"`
	// OccurrencesDone are the numbers of the occurrences whose tasks are all done.
	// Their tasks are omitted from Tasks.
	OccurrencesDone []int `json:"d,omitempty"`
}

// TaskProgress is the stored progress of one task.
type TaskProgress struct {
	Occurrence, Step, Index int
	Done                    bool
	// Failed are the numbers of the runs that failed. A host reports an end until
	// it is acknowledged, also to the next holder of the pool, so a mere counter
	// would count one failure twice.
	Failed []int
	// Crashed are the numbers of the runs whose host was lost while they ran and,
	// for a task suspected of crashing its hosts, of the runs whose end is not
	// recorded.
	Crashed []int
	// CrashesProven are those of Crashed that were seen executing until their host
	// crashed, CrashesDecisive those of them that nothing else explains.
	CrashesProven, CrashesDecisive []int
	// CrashesPresumed are those of Crashed that are proven once the end of their
	// host's incarnation is known.
	CrashesPresumed []PresumedCrash
	// Run is the highest run number recorded.
	Run int
	// Checkpoint is the last checkpoint, empty for none.
	Checkpoint string
}

// Begun reports whether a run of the task is known to have begun. One that counts as a crash may
// not have.
func (t TaskProgress) Begun() bool {
	return t.Done || len(t.Failed) > 0 || t.Checkpoint != ""
}

// PresumedCrash is a run that was seen executing until its host refused connections,
// with the incarnation of the host and its address.
type PresumedCrash struct {
	Run     int    `json:"r"`
	Host    string `json:"h"`
	Address string `json:"a"`
	// Born is the incarnation, zero if unknown.
	Born int64 `json:"b,omitempty"`
}

// appendRow appends p to a buffer as a JSON array, which takes a third of the
// space of a JSON object.
func (p *TaskProgress) appendRow(buf []byte) []byte {
	done := int64(0)
	if p.Done {
		done = 1
	}
	buf = append(buf, '[')
	for _, number := range [...]int64{int64(p.Occurrence), int64(p.Step), int64(p.Index), done} {
		buf = append(strconv.AppendInt(buf, number, 10), ',')
	}
	buf = appendInts(buf, p.Failed)
	buf = append(strconv.AppendInt(append(buf, ','), int64(p.Run), 10), ',')
	buf = append(buf, encode(p.Checkpoint)...)
	if len(p.Crashed) > 0 {
		buf = appendInts(append(buf, ','), p.Crashed)
	}
	if len(p.CrashesProven) > 0 || len(p.CrashesPresumed) > 0 {
		buf = appendInts(append(buf, ','), p.CrashesProven)
		buf = appendInts(append(buf, ','), p.CrashesDecisive)
	}
	if len(p.CrashesPresumed) > 0 {
		buf = append(append(buf, ','), encode(p.CrashesPresumed)...)
	}
	return append(buf, ']')
}

func appendInts(buf []byte, numbers []int) []byte {
	buf = append(buf, '[')
	for i, number := range numbers {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, int64(number), 10)
	}
	return append(buf, ']')
}

// CorruptError reports a stored value that can't be decoded.
type CorruptError struct {
	What  string
	Cause error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("stored %s: %v", e.What, e.Cause) }

func (e *CorruptError) Unwrap() error { return e.Cause }

// UnmarshalJSON decodes the JSON array written by appendRow.
func (p *TaskProgress) UnmarshalJSON(data []byte) error {
	var done int
	row := []any{&p.Occurrence, &p.Step, &p.Index, &done, &p.Failed, &p.Run, &p.Checkpoint, &p.Crashed, &p.CrashesProven, &p.CrashesDecisive, &p.CrashesPresumed}
	if err := json.Unmarshal(data, &row); err != nil {
		return &CorruptError{"task progress", err}
	}
	p.Done = done == 1
	return nil
}

// EncodeRecord returns the stored encoding of a job.
func EncodeRecord(r *JobRecord) []byte { return encode(r) }

// EncodeProgress returns the stored encoding of a job's progress. It is called
// at every end of a task, so it builds the JSON by hand for speed.
func EncodeProgress(p *Progress) []byte {
	buf := append([]byte(`{"s":`), encode(p.State)...)
	buf = strconv.AppendInt(append(buf, `,"e":`...), p.EndedMs, 10)
	buf = appendInts(append(buf, `,"d":`...), p.OccurrencesDone)
	buf = append(buf, `,"t":[`...)
	for i := range p.Tasks {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = p.Tasks[i].appendRow(buf)
	}
	return append(buf, `]}`...)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Not reached: the types of this package can always be encoded.
		panic(err)
	}
	return data
}

// DecodeRecord decodes and validates a stored job or returns *CorruptError.
func DecodeRecord(data []byte) (*JobRecord, error) {
	var r JobRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, &CorruptError{"job", err}
	}
	if err := r.Spec.Check(); err != nil {
		return nil, &CorruptError{"job", err}
	}
	return &r, nil
}

// DecodeProgress decodes the stored progress of a job or returns *CorruptError.
func DecodeProgress(data []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, &CorruptError{"progress", err}
	}
	return &p, nil
}
