package drainer

import (
	"context"
	"sync"
	"time"

	"auburnglade.example/glade/internal/fleet"
)

const (
	// servingAge is how old the condition of a serving host may be when a
	// budget is judged on it: with H hosts next to a wave that costs at most
	// H/servingAge calls a second.
	servingAge = 3 * time.Second
	// askTimeout bounds one question, patience how long a round waits for its
	// answers: a host that hangs delays no other.
	askTimeout = 2 * time.Second
	patience   = 250 * time.Millisecond
	// maxAsking bounds the questions asked at once.
	maxAsking = 32
)

// question asks for a host's condition at most maxAge old and asked after a
// moment.
type question struct {
	host   string
	maxAge time.Duration
	after  time.Time
}

// condition is a host's condition as it was when it was asked for.
type condition struct {
	fleet.HostCondition
	asked time.Time
	// healthySince is when this process first saw the host healthy in the
	// boot it is in, without a break.
	healthySince time.Time
}

// conditions asks hosts how they are, in the background.
type conditions struct {
	pool  fleet.PoolHosts
	slots chan struct{}

	mu     sync.Mutex
	known  map[string]condition
	asking map[string]bool
}

func newConditions(pool fleet.PoolHosts) *conditions {
	return &conditions{
		pool: pool, slots: make(chan struct{}, maxAsking),
		known: make(map[string]condition), asking: make(map[string]bool),
	}
}

// refresh asks what isn't known well enough and returns what is known after at
// most patience. A host without an answer that is good enough is left out.
func (c *conditions) refresh(ctx context.Context, questions []question) map[string]condition {
	var wait sync.WaitGroup
	for _, q := range questions {
		if c.start(q) {
			wait.Add(1)
			go func() {
				defer wait.Done()
				c.ask(ctx, q.host)
			}()
		}
	}
	c.waitFor(&wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := make(map[string]condition, len(questions))
	for _, q := range questions {
		if state, known := c.known[q.host]; known && q.answeredBy(state, patience) {
			fresh[q.host] = state
		}
	}
	return fresh
}

// answeredBy allows for the time that the round itself takes.
func (q question) answeredBy(state condition, grace time.Duration) bool {
	return time.Since(state.asked) <= q.maxAge+grace && !state.asked.Before(q.after)
}

// start reports whether the question has to be asked, and notes that it is.
func (c *conditions) start(q question) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, known := c.known[q.host]
	if c.asking[q.host] || known && q.answeredBy(state, 0) {
		return false
	}
	c.asking[q.host] = true
	return true
}

func (c *conditions) waitFor(wait *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (c *conditions) ask(ctx context.Context, host string) {
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := c.pool.Condition(ctx, host)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asking, host)
	if err != nil {
		// Whatever was known may have changed: a proof of health starts anew.
		delete(c.known, host)
		return
	}
	state := condition{HostCondition: answer, asked: asked, healthySince: asked}
	before, known := c.known[host]
	if known && before.Healthy && answer.Healthy && before.BootID == answer.BootID {
		state.healthySince = before.healthySince
	}
	c.known[host] = state
}

// forget starts a host's proof of health anew.
func (c *conditions) forget(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, host)
}
