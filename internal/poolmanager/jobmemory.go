package poolmanager

import (
	"sync"
	"time"

	"auburnglade.example/glade/internal/work"
)

const (
	// memoryRetryAfter is when a client should come back that is refused for memory: jobs
	// are kept for minutes after their end.
	memoryRetryAfter = 15 * time.Second
	// memoryReason is the reason of such a refusal in logs and metrics.
	memoryReason = "no memory"
)

// JobMemory bounds what the large jobs take that the pools of this process keep, in bytes.
// Ordinary jobs neither count nor are refused, so that they find room beside any number of
// large ones. It is safe for concurrent use; nil is unlimited.
type JobMemory struct {
	limit int64

	mu sync.Mutex
	// used is what each pool's large jobs take.
	used map[string]int64
}

// NewJobMemory returns a bound of limit bytes.
func NewJobMemory(limit int64) *JobMemory {
	return &JobMemory{limit: limit, used: make(map[string]int64)}
}

// note records what the large jobs of a pool take.
func (j *JobMemory) note(pool string, used int64) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used[pool] = used
}

// fits records what the large jobs of a pool take and reports whether a new one fits, and
// what those of all pools take.
func (j *JobMemory) fits(pool string, used, added int64) (all int64, fits bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used[pool] = used
	all = j.usedByAll()
	return all, all+added <= j.limit
}

// Used returns what the large jobs of all pools take.
func (j *JobMemory) Used() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usedByAll()
}

func (j *JobMemory) usedByAll() (all int64) {
	for _, bytes := range j.used {
		all += bytes
	}
	return all
}

// forget records that a pool is not kept any more.
func (j *JobMemory) forget(pool string) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.used, pool)
}

// largeBytes returns what the pool's large jobs take, with those that are not stored yet.
func (m *Manager) largeBytes() int64 {
	bytes := m.pool.LargeBytes()
	for _, s := range m.submissions {
		bytes += s.record.Spec.LargeBytes()
	}
	return bytes
}

// refusedForMemory reports whether a job that this process has never seen would make the
// process keep too much.
func (m *Manager) refusedForMemory(record *work.JobRecord) bool {
	own := record.Spec.LargeBytes()
	if own == 0 || m.Memory == nil {
		return false
	}
	all, fits := m.Memory.fits(m.Pool, m.largeBytes(), own)
	if fits {
		return false
	}
	m.Metrics.refusals.WithLabelValues(memoryReason).Inc()
	m.Log.Info().Str("job", record.ID).Str("queue", record.Queue.Name).Str("organisation", record.Organisation).Str("reason", memoryReason).
		Int64("own_bytes", own).Int64("kept_bytes", all).Int64("limit_bytes", m.Memory.limit).Dur("retry_after_ms", memoryRetryAfter).Msg("A job was refused for want of memory.")
	return true
}
