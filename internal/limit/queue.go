package limit

import (
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	maxWait    time.Duration
	// deadline is the request's deadline; zero if it has none.
	deadline time.Time
	result   chan waitResult
}

// waitResult is the result of a wait: a slot or a refusal.
type waitResult struct {
	slot *Slot
	err  error
}

// fairQueue serves callers round-robin, one request each, regardless of how many
// requests a caller has waiting. The requests of one caller are served in order of
// arrival.
type fairQueue struct {
	// callerOrder lists the callers with waiting requests, the next one to serve first.
	callerOrder []string
	byCaller    map[string][]*waiter
	length      int
}

func newFairQueue() *fairQueue { return &fairQueue{byCaller: make(map[string][]*waiter)} }

func (q *fairQueue) len() int { return q.length }

func (q *fairQueue) queuedBy(caller string) int { return len(q.byCaller[caller]) }

// maxQueuedByCaller returns the number of waiting requests of the caller with the most.
func (q *fairQueue) maxQueuedByCaller() int {
	largest := 0
	for _, waiting := range q.byCaller {
		largest = max(largest, len(waiting))
	}
	return largest
}

// ahead returns how many requests would be served before a new one of caller.
func (q *fairQueue) ahead(caller string) int {
	ownCount := len(q.byCaller[caller])
	count := ownCount
	for other, waiting := range q.byCaller {
		if other != caller {
			count += min(len(waiting), ownCount+1)
		}
	}
	return count
}

func (q *fairQueue) push(w *waiter) {
	caller := w.request.Caller
	if len(q.byCaller[caller]) == 0 {
		q.callerOrder = append(q.callerOrder, caller)
	}
	q.byCaller[caller] = append(q.byCaller[caller], w)
	q.length++
}

// first returns up to n waiters in the order in which they would be served.
func (q *fairQueue) first(n int) []*waiter {
	found := make([]*waiter, 0, min(n, q.length))
	for depth := 0; len(found) < min(n, q.length); depth++ {
		for _, caller := range q.callerOrder {
			if waiting := q.byCaller[caller]; depth < len(waiting) && len(found) < n {
				found = append(found, waiting[depth])
			}
		}
	}
	return found
}

// pop removes a waiter that is served and moves its caller to the end of the order.
func (q *fairQueue) pop(w *waiter) {
	caller := w.request.Caller
	if !q.remove(w) || len(q.byCaller[caller]) == 0 {
		return
	}
	index := slices.Index(q.callerOrder, caller)
	q.callerOrder = append(slices.Delete(q.callerOrder, index, index+1), caller)
}

// remove removes a waiter and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	caller := w.request.Caller
	waiting := q.byCaller[caller]
	index := slices.Index(waiting, w)
	if index < 0 {
		return false
	}
	q.length--
	if len(waiting) > 1 {
		q.byCaller[caller] = slices.Delete(waiting, index, index+1)
		return true
	}
	delete(q.byCaller, caller)
	index = slices.Index(q.callerOrder, caller)
	q.callerOrder = slices.Delete(q.callerOrder, index, index+1)
	return true
}

// newestOfLargest returns the newest request of the caller with the most waiting
// requests, or nil if the queue is empty.
func (q *fairQueue) newestOfLargest() *waiter {
	var largest []*waiter
	for _, caller := range q.callerOrder {
		if waiting := q.byCaller[caller]; len(waiting) > len(largest) {
			largest = waiting
		}
	}
	if len(largest) == 0 {
		return nil
	}
	return largest[len(largest)-1]
}
