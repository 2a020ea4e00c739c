package standin

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"

	"auburnglade.example/glade/internal/outcome"
)

// RepeatCounts is what callers saw when they sent a non-idempotent request
// again with the same key.
type RepeatCounts struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Differing counts repeats of an answered request that were answered with
	// anything but the first answer.
	Differing int64 `json:"differing"`
}

// repeatShare is one in how many answered non-idempotent requests is repeated.
// Those that were not answered are repeated always.
const repeatShare = 4

// maybeRepeat sends a request again through another gateway than used.
func (c *Callers) maybeRepeat(client *http.Client, used Target, path, token string, first reply) {
	if first.outcome == outcome.Answered && rand.IntN(repeatShare) != 0 {
		return
	}
	if first.outcome == outcome.NotRun && !c.settleNotRun(token) {
		return
	}
	target, ok := c.Balancer.PickOther(used)
	if !ok {
		return
	}
	c.add(&c.counts.Repeats.Sent)
	second := c.send(client, target, http.MethodPost, path, token)
	if second.outcome != outcome.Answered {
		c.add(&c.counts.Repeats.Refused)
		return
	}
	c.add(&c.counts.Repeats.Answered)
	if first.outcome == outcome.Answered && !bytes.Equal(first.body, second.body) {
		c.add(&c.counts.Repeats.Differing)
	}
}

// settleNotRun judges a "not run" now, since the repeat may run rightly. It
// returns false when there is nothing to judge it by.
func (c *Callers) settleNotRun(token string) bool {
	if c.Runs == nil {
		return false
	}
	if c.Runs(token) > 0 {
		c.add(&c.counts.FalseNotRun)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.notRun, token); at >= 0 {
		c.notRun = slices.Delete(c.notRun, at, at+1)
	}
	return true
}

// PickOther returns a ready gateway other than used, and false when there is
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
