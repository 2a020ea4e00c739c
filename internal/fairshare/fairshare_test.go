package fairshare

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// removeUntil removes entries until the admitted work is at most room, and returns what is
// left by organisation.
func removeUntil(s *Selection, admitted map[int]string, work map[int]float64, room float64) map[string]float64 {
	left, total := make(map[string]float64), 0.0
	for id, name := range admitted {
		left[name] += work[id]
		total += work[id]
	}
	for total > room {
		e, ok := s.Remove()
		if !ok {
			break
		}
		left[admitted[e.ID]] -= e.CoreSeconds
		total -= e.CoreSeconds
	}
	return left
}

// One organisation brings ten times the work of another with the same weight. What is
// removed must be its work alone.
func TestOnlyTheLoudOrganisationLosesWork(t *testing.T) {
	b := NewBook()
	b.SetWeights(map[string]int{"loud": 3, "quiet": 3})
	var s Selection
	s.Begin()
	admitted, work := make(map[int]string), make(map[int]float64)
	for id := range 110 {
		admitted[id], work[id] = "loud", 1
		if id%11 == 0 {
			admitted[id] = "quiet"
		}
		s.Add(b.Account(admitted[id]), Entry{ID: id, CoreSeconds: 1, Rank: 1})
	}
	left := removeUntil(&s, admitted, work, 40)
	must.EqOp(t, 10, left["quiet"])
	must.EqOp(t, 30, left["loud"])
}

// When all want more than their share, what is left must be in proportion to the weights.
func TestWorkLeftFollowsWeights(t *testing.T) {
	b := NewBook()
	b.SetWeights(map[string]int{"a": 1, "b": 3})
	var s Selection
	s.Begin()
	admitted, work := make(map[int]string), make(map[int]float64)
	for id := range 200 {
		admitted[id], work[id] = "a", 1
		if id%2 == 0 {
			admitted[id] = "b"
		}
		s.Add(b.Account(admitted[id]), Entry{ID: id, CoreSeconds: 1, Rank: 1})
	}
	left := removeUntil(&s, admitted, work, 40)
	must.Between(t, 9, left["a"], 11)
	must.Between(t, 29, left["b"], 31)
}

// An organisation's only large job must not lose to many small ones of another that bring
// as much work.
func TestOnlyLargeEntryIsKept(t *testing.T) {
	b := NewBook()
	b.SetWeights(map[string]int{"large": 1, "small": 1})
	var s Selection
	s.Begin()
	s.Add(b.Account("large"), Entry{ID: 0, CoreSeconds: 16, Rank: 16})
	for id := range 20 {
		s.Add(b.Account("small"), Entry{ID: id + 1, CoreSeconds: 0.8, Rank: 0.8})
	}
	for range 10 {
		e, ok := s.Remove()
		must.True(t, ok)
		must.NotEqOp(t, 0, e.ID)
	}
}

// The highest rank of an organisation must be removed first.
func TestHighestRankIsRemovedFirst(t *testing.T) {
	b := NewBook()
	b.SetWeights(map[string]int{"a": 1})
	var s Selection
	s.Begin()
	for id, rank := range []float64{3, 9, 1, 7} {
		s.Add(b.Account("a"), Entry{ID: id, CoreSeconds: 1, Rank: rank})
	}
	var order []int
	for e, ok := s.Remove(); ok; e, ok = s.Remove() {
		order = append(order, e.ID)
	}
	must.Eq(t, []int{1, 3, 0, 2}, order)
}

// Weights that count for organisations without one: the least for one that is not
// configured, the mean for jobs without an organisation.
func TestWeightsOfUnknownOrganisations(t *testing.T) {
	b := NewBook()
	gone := b.Account("gone")
	must.False(t, b.Weighted())
	b.SetWeights(map[string]int{"a": 2, "b": 10, "none": 0})
	must.True(t, b.Weighted())
	must.EqOp(t, 2, gone.Weight())
	must.EqOp(t, 2, b.Account("none").Weight())
	must.EqOp(t, 6, b.Account("").Weight())
	b.SetWeights(map[string]int{"a": 0})
	must.False(t, b.Weighted())
}

// Whatever is admitted and whatever the weights, no organisation may lose work while
// another keeps more than one entry beyond it, measured by weight.
func TestNoOrganisationLosesWorkBeforeOneFurtherBeyondItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		b, weights := NewBook(), make(map[string]int)
		for _, name := range names {
			weights[name] = rapid.IntRange(1, 50).Draw(rt, "weight")
		}
		b.SetWeights(weights)
		var s Selection
		for range 2 {
			// The second round must start without anything of the first.
			s.Begin()
			left, top, owner := make(map[string]float64), make(map[string]map[int]float64), make(map[int]string)
			for id := range rapid.IntRange(1, 40).Draw(rt, "entries") {
				name := rapid.SampledFrom(names).Draw(rt, "name")
				work := rapid.Float64Range(0.1, 20).Draw(rt, "work")
				if top[name] == nil {
					top[name] = make(map[int]float64)
				}
				s.Add(b.Account(name), Entry{ID: id, CoreSeconds: work, Rank: work})
				left[name], top[name][id], owner[id] = left[name]+work, work, name
			}
			for range rapid.IntRange(0, 40).Draw(rt, "removals") {
				e, ok := s.Remove()
				if !ok {
					break
				}
				name := owner[e.ID]
				tag := (left[name] - e.CoreSeconds) / float64(weights[name])
				for other, entries := range top {
					largest := 0.0
					for _, work := range entries {
						largest = max(largest, work)
					}
					if len(entries) > 0 && other != name && (left[other]-largest)/float64(weights[other]) > tag+1e-9 {
						rt.Fatalf("%s lost work at tag %f, %s kept more", name, tag, other)
					}
				}
				left[name] -= e.CoreSeconds
				delete(top[name], e.ID)
			}
		}
	})
}
