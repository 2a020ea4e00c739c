// Package elapsed measures time that has passed also while the process was suspended.
package elapsed

import "time"

// Between returns how long before now a moment was, at the least. The monotonic clock stands
// still while a process's machine is suspended, the time of day doesn't; it may be set
// forward or back, so that the longer of both counts. Both times need a monotonic reading.
func Between(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
