package standin

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"

	"auburnglade.example/glade/internal/outcome"
)

// RepeatCounts counts the outcomes of non-idempotent requests that callers sent
// again with the same idempotency key.
type RepeatCounts struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Differing counts repeats of an answered request whose response differs
	// from the first response.
	Differing int64 `json:"differing"`
}

// repeatOneIn makes one in this many answered non-idempotent requests be repeated.
// Requests that were not answered are always repeated.
const repeatOneIn = 4

// maybeRepeat sends a request again through a gateway other than used.
func (c *Callers) maybeRepeat(client *http.Client, used Target, path, token string, first reply) {
	if first.outcome == outcome.Answered && rand.IntN(repeatOneIn) != 0 {
		return
	}
	if first.outcome == outcome.NotRun && !c.verifyNotRun(token) {
		return
	}
	target, ok := c.Balancer.PickOther(used)
	if !ok {
		return
	}
	c.increment(&c.counts.Repeats.Sent)
	second := c.send(client, target, http.MethodPost, path, token)
	if second.outcome != outcome.Answered {
		c.increment(&c.counts.Repeats.Refused)
		return
	}
	c.increment(&c.counts.Repeats.Answered)
	if first.outcome == outcome.Answered && !bytes.Equal(first.body, second.body) {
		c.increment(&c.counts.Repeats.Differing)
	}
}

// verifyNotRun checks a "not run" outcome before the request is repeated, since
// the repeat may legitimately run. It returns false if Runs is not set and the
// outcome cannot be checked.
func (c *Callers) verifyNotRun(token string) bool {
	if c.Runs == nil {
		return false
	}
	if c.Runs(token) > 0 {
		c.increment(&c.counts.FalseNotRun)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.notRun, token); i >= 0 {
		c.notRun = slices.Delete(c.notRun, i, i+1)
	}
	return true
}

// PickOther returns a random ready gateway other than used, and false if there is
// none.
func (b *Balancer) PickOther(used Target) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(b.ready), func(t Target) bool { return t == used })
	if len(others) == 0 {
		return Target{}, false
	}
	return others[rand.IntN(len(others))], true
}
