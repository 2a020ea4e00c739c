package limit

import (
	"slices"
	"time"
)

// waiter is one request that waits for a slot.
type waiter struct {
	request  Request
	since    time.Time
	patience time.Duration
	// ends is when the request is given up, zero for never.
	ends  time.Time
	ready chan grant
}

// grant ends a wait: a slot or a refusal.
type grant struct {
	slot *Slot
	err  error
}

// fairQueue serves callers in turn, one request each, whatever their number of
// waiting requests. Within a caller the order is that of arrival.
type fairQueue struct {
	// turns lists the callers with waiting requests, next one first.
	turns    []string
	byCaller map[string][]*waiter
	length   int
}

func newFairQueue() *fairQueue { return &fairQueue{byCaller: make(map[string][]*waiter)} }

func (q *fairQueue) len() int { return q.length }

func (q *fairQueue) ofCaller(caller string) int { return len(q.byCaller[caller]) }

// largest returns how many requests the caller with the most has waiting.
func (q *fairQueue) largest() int {
	most := 0
	for _, waiting := range q.byCaller {
		most = max(most, len(waiting))
	}
	return most
}

// ahead returns how many requests would be served before a new one of caller.
func (q *fairQueue) ahead(caller string) int {
	own := len(q.byCaller[caller])
	before := own
	for other, waiting := range q.byCaller {
		if other != caller {
			before += min(len(waiting), own+1)
		}
	}
	return before
}

func (q *fairQueue) push(w *waiter) {
	caller := w.request.Caller
	if len(q.byCaller[caller]) == 0 {
		q.turns = append(q.turns, caller)
	}
	q.byCaller[caller] = append(q.byCaller[caller], w)
	q.length++
}

// first returns up to n waiters in the order they would be served in.
func (q *fairQueue) first(n int) []*waiter {
	found := make([]*waiter, 0, min(n, q.length))
	for round := 0; len(found) < min(n, q.length); round++ {
		for _, caller := range q.turns {
			if waiting := q.byCaller[caller]; round < len(waiting) && len(found) < n {
				found = append(found, waiting[round])
			}
		}
	}
	return found
}

// pop takes out a waiter that is served: its caller's turn is over.
func (q *fairQueue) pop(w *waiter) {
	caller := w.request.Caller
	if !q.remove(w) || len(q.byCaller[caller]) == 0 {
		return
	}
	place := slices.Index(q.turns, caller)
	q.turns = append(slices.Delete(q.turns, place, place+1), caller)
}

// remove takes out a waiter and reports whether it was there.
func (q *fairQueue) remove(w *waiter) bool {
	caller := w.request.Caller
	waiting := q.byCaller[caller]
	place := slices.Index(waiting, w)
	if place < 0 {
		return false
	}
	q.length--
	if len(waiting) > 1 {
		q.byCaller[caller] = slices.Delete(waiting, place, place+1)
		return true
	}
	delete(q.byCaller, caller)
	place = slices.Index(q.turns, caller)
	q.turns = slices.Delete(q.turns, place, place+1)
	return true
}

// newestOfLargest returns the newest request of the caller with the most.
func (q *fairQueue) newestOfLargest() *waiter {
	var most []*waiter
	for _, caller := range q.turns {
		if waiting := q.byCaller[caller]; len(waiting) > len(most) {
			most = waiting
		}
	}
	if len(most) == 0 {
		return nil
	}
	return most[len(most)-1]
}
