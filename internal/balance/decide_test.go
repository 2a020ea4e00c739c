package balance

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A fixed seed makes the random cases repeatable; -rapid.seed and -rapid.checks
// override the seed and the number of cases.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

const now = time.Hour

// named is a candidate with a name that identifies it in expected rankings.
type named struct {
	Candidate
	name string
}

// candidate returns a healthy endpoint past slow start, modified by change if
// that is not nil.
func candidate(name, zone string, change func(s *State)) named {
	state := &State{SlowStartAt: -1, Latency: 10 * time.Millisecond, LatencyAt: now, ProgressAt: now}
	if change != nil {
		change(state)
	}
	return named{Candidate{Zone: zone, State: state}, name}
}

func newInput(rotation int, candidates ...named) Input {
	v := Input{Zone: "a", Now: now, Rotation: rotation}
	for _, c := range candidates {
		v.Candidates = append(v.Candidates, c.Candidate)
	}
	return v
}

func rankedNames(candidates ...named) string {
	var names string
	for _, choice := range RankCandidates(newInput(0, candidates...), nil) {
		names += candidates[choice.Index].name
	}
	return names
}

func TestRankCandidatesOrder(t *testing.T) {
	busy := func(n int) func(*State) { return func(s *State) { s.InFlight = n } }
	ejectedUntil := func(until time.Duration) func(*State) { return func(s *State) { s.EjectedUntil = until } }
	for name, c := range map[string]struct {
		// want is the names of the ranked candidates, best first.
		want       string
		candidates []named
	}{
		"least in flight first":                {"yx", []named{candidate("x", "a", busy(2)), candidate("y", "a", busy(1))}},
		"faster first":                         {"yx", []named{candidate("x", "a", func(s *State) { s.Latency *= 3 }), candidate("y", "a", nil)}},
		"own zone before an idle other":        {"yx", []named{candidate("x", "b", nil), candidate("y", "a", busy(1))}},
		"spills over when own zone is busy":    {"xy", []named{candidate("x", "b", nil), candidate("y", "a", busy(3))}},
		"returning one starts slowly":          {"yx", []named{candidate("x", "a", func(s *State) { s.SlowStartAt = now - time.Second }), candidate("y", "a", busy(4))}},
		"returning one has full weight later":  {"xy", []named{candidate("x", "a", func(s *State) { s.SlowStartAt = now - slowStart }), candidate("y", "a", busy(1))}},
		"unresponsive one last":                {"yx", []named{candidate("x", "a", func(s *State) { s.InFlight, s.ProgressAt = 1, now-5*time.Second }), candidate("y", "b", busy(8))}},
		"ejected left out":                     {"yz", []named{candidate("x", "a", ejectedUntil(now+1)), candidate("y", "a", nil), candidate("z", "a", nil)}},
		"ejected back after its ejection":      {"xy", []named{candidate("x", "a", ejectedUntil(now)), candidate("y", "a", nil)}},
		"ejected last below the healthy ratio": {"zyx", []named{candidate("x", "a", ejectedUntil(now+9)), candidate("y", "a", ejectedUntil(now+1)), candidate("z", "a", nil)}},
		"all ejected, earliest end first":      {"yx", []named{candidate("x", "a", ejectedUntil(now+9)), candidate("y", "a", ejectedUntil(now+1))}},
		"draining left out":                    {"y", []named{candidate("x", "a", func(s *State) { s.DrainSource = Configured }), candidate("y", "a", busy(8))}},
		"draining left out even when last":     {"", []named{candidate("x", "a", func(s *State) { s.DrainSource = Configured })}},
		"self-report expires":                  {"x", []named{candidate("x", "a", func(s *State) { s.DrainSource, s.SelfReportedUntil = SelfReported, now })}},
	} {
		must.EqOp(t, c.want, rankedNames(c.candidates...), must.Sprint(name))
	}
}

// A request that failed on an endpoint must go to another one, even if that one
// is busier, and to the same one only if there is no other.
func TestTriedEndpointIsRankedOnlyWithoutAlternative(t *testing.T) {
	tried := candidate("x", "a", nil)
	tried.Tried = true
	must.EqOp(t, "y", rankedNames(tried, candidate("y", "b", func(s *State) { s.InFlight = 7 })))
	must.EqOp(t, "x", rankedNames(tried))
}

func TestEqualEndpointsRotate(t *testing.T) {
	candidates := []named{candidate("x", "a", nil), candidate("y", "a", nil), candidate("z", "a", nil)}
	first := make(map[int]int)
	for rotation := range 30 {
		first[RankCandidates(newInput(rotation, candidates...), nil)[0].Index]++
	}
	must.MapEq(t, map[int]int{0: 10, 1: 10, 2: 10}, first)
}

// For endpoints in any state, no draining endpoint may be ranked, none may be
// ranked twice, and the ranking may be empty only if all are draining.
func TestRankingIsEmptyOnlyIfAllDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(2*now)).Draw(t, "time"))
		})
		var candidates []named
		serving := 0
		for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
			c := candidate(fmt.Sprint("h", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), nil)
			c.Tried = rapid.Bool().Draw(t, "tried")
			c.State = &State{
				InFlight: rapid.IntRange(0, 64).Draw(t, "in flight"), Latency: duration.Draw(t, "latency"),
				LatencyAt: min(now, duration.Draw(t, "seen")), ProgressAt: min(now, duration.Draw(t, "progress")),
				EjectedUntil: duration.Draw(t, "ejected"), SlowStartAt: duration.Draw(t, "returned"),
				DrainSource:       rapid.SampledFrom([]DrainSource{NotDraining, Configured, SelfReported}).Draw(t, "leaving"),
				SelfReportedUntil: duration.Draw(t, "word"),
			}
			if c.State.DrainSourceAt(now) == NotDraining {
				serving++
			}
			candidates = append(candidates, c)
		}
		seen := make(map[int]bool)
		for _, choice := range RankCandidates(newInput(0, candidates...), nil) {
			must.False(t, seen[choice.Index])
			must.EqOp(t, NotDraining, candidates[choice.Index].State.DrainSourceAt(now))
			seen[choice.Index] = true
		}
		must.EqOp(t, serving == 0, len(seen) == 0)
	})
}
