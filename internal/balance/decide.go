package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the choice.
const (
	// zonePenalty is how many requests more an endpoint in this zone may carry
	// before one in another zone is preferred: the spill-over.
	zonePenalty = 2
	// leastLatency keeps noise between fast endpoints from herding all work on
	// one of them.
	leastLatency = time.Millisecond
	// latencyDecay is the time constant with which a latency seen is forgotten.
	latencyDecay = 10 * time.Second
	// slowStart is how long a returned endpoint works up to its full share.
	slowStart = 10 * time.Second
	// leastWeight is a returned endpoint's share at first.
	leastWeight = 0.1
	// floorShare is the share of a service's endpoints that must be healthy for
	// ejected ones to be left out; below it they follow at the end, since more
	// likely this gateway is cut off or all are overloaded.
	floorShare = 0.5
	// maxRanked bounds a ranking. Admission tries the next one when an
	// endpoint's slots are taken; past the least loaded 32 waiting is better.
	maxRanked = 32
)

// State is what a gateway knows of one endpoint. Times are on the monotonic
// clock, counted from the balancer's start.
type State struct {
	InFlight int
	// Latency is the peak seen, forgotten slowly; SeenAt is when.
	Latency   time.Duration
	LatencyAt time.Duration
	// ProgressAt is when the endpoint last answered, or got its first request
	// after having none.
	ProgressAt time.Duration
	// Failures counts failed requests in a row.
	Failures int
	// Ejections counts ejections in a row and EjectedUntil ends the last one.
	Ejections    int
	EjectedUntil time.Duration
	// SlowStartAt is when it came back; negative when it never was away.
	SlowStartAt time.Duration
	// DrainSource says what source, if any, says that it leaves, LeavingSince when
	// the first one said so. The endpoint's own word ends at WordUntil.
	DrainSource       DrainSource
	DrainingSince     time.Duration
	SelfReportedUntil time.Duration
}

// DrainSource is who says that an endpoint is leaving.
type DrainSource string

// The sources.
const (
	NotDraining DrainSource = ""
	// Configured: a host record or the platform's host list.
	Configured DrainSource = "configured"
	// SelfReported: the endpoint itself.
	SelfReported DrainSource = "own-word"
)

// Reason says what decided an endpoint's place.
type Reason string

// The reasons.
const (
	Healthy   Reason = "healthy"
	OtherZone Reason = "other-zone"
	SlowStart Reason = "slow-start"
	Ejected   Reason = "ejected"
)

// Candidate is one endpoint with its state, which a decision only reads.
type Candidate struct {
	Zone  string
	State *State
	// Tried is true when this request has already failed there.
	Tried bool
}

// Input is all that a choice depends on.
type Input struct {
	// Zone is the gateway's.
	Zone string
	Now  time.Duration
	// Rotation spreads requests over endpoints with equal scores.
	Rotation   int
	Candidates []Candidate
}

// RankedCandidate is one place of a ranking. A lower Score is better.
type RankedCandidate struct {
	// Index is the candidate's in the view.
	Index  int
	Score  float64
	Reason Reason
	order  int
}

// RankCandidates ranks the candidates, best first, into out. It is pure. Endpoints that
// leave are never in it. Ejected ones are only when too few healthy ones are
// left, and then last. An endpoint that the request was tried on comes only
// when there is no other.
func RankCandidates(view Input, out []RankedCandidate) []RankedCandidate {
	out = rank(view, out[:0], false)
	if len(out) == 0 {
		out = rank(view, out, true)
	}
	return out
}

func rank(view Input, out []RankedCandidate, tried bool) []RankedCandidate {
	serving, healthy := 0, 0
	for i := range view.Candidates {
		candidate := &view.Candidates[i]
		if candidate.State.DrainSourceAt(view.Now) != NotDraining {
			continue
		}
		serving++
		choice := judge(view, candidate)
		if choice.Reason != Ejected {
			healthy++
		}
		if candidate.Tried != tried {
			continue
		}
		choice.Index = i
		choice.order = (i + view.Rotation) % len(view.Candidates)
		out = append(out, choice)
	}
	slices.SortFunc(out, func(a, b RankedCandidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.order, b.order))
	})
	if float64(healthy) >= floorShare*float64(serving) && healthy > 0 {
		out = withoutEjected(out)
	}
	return out[:min(len(out), maxRanked)]
}

// withoutEjected cuts the ejected off, unless nothing would be left.
func withoutEjected(out []RankedCandidate) []RankedCandidate {
	first := slices.IndexFunc(out, func(c RankedCandidate) bool { return c.Reason == Ejected })
	if first > 0 {
		return out[:first]
	}
	return out
}

// ejectedScore puts ejected endpoints behind all others, the one whose time is
// up first before the rest.
const ejectedScore = math.MaxFloat32

func judge(view Input, candidate *Candidate) RankedCandidate {
	state := candidate.State
	if state.EjectedUntil > view.Now {
		return RankedCandidate{Score: ejectedScore * (1 + state.EjectedUntil.Seconds()), Reason: Ejected}
	}
	choice := RankedCandidate{Reason: Healthy}
	load := float64(state.InFlight + 1)
	if candidate.Zone != view.Zone {
		load += zonePenalty
		choice.Reason = OtherZone
	}
	weight := state.weight(view.Now)
	if weight < 1 {
		choice.Reason = SlowStart
	}
	choice.Score = load * coarse(state.expected(view.Now)) / weight
	return choice
}

// coarse rounds a latency down to a power of two. Endpoints that are about as
// fast as each other must share work by load alone: by the exact latencies all
// gateways would pick the one that happened to be fastest.
func coarse(latency time.Duration) float64 {
	_, exponent := math.Frexp(float64(latency))
	return math.Ldexp(1, exponent)
}

// expected is how long a request sent now is expected to take. An endpoint
// that accepts and never answers shows no latency at all, so the time for which
// it has been silent counts as well.
func (s *State) expected(now time.Duration) time.Duration {
	latency := s.decayed(now)
	if s.InFlight > 0 {
		latency = max(latency, now-s.ProgressAt)
	}
	return max(latency, leastLatency)
}

func (s *State) decayed(now time.Duration) time.Duration {
	age := float64(now - s.LatencyAt)
	return time.Duration(float64(s.Latency) * math.Exp(-age/float64(latencyDecay)))
}

// weight grows from leastWeight to 1 while a returned endpoint warms up: with
// its full share at once, empty caches and cold connections would make it fail
// again.
func (s *State) weight(now time.Duration) float64 {
	if s.SlowStartAt < 0 || now-s.SlowStartAt >= slowStart {
		return 1
	}
	return max(leastWeight, float64(now-s.SlowStartAt)/float64(slowStart))
}

// DrainSourceAt returns the source that says, as of now, that the endpoint leaves.
func (s *State) DrainSourceAt(now time.Duration) DrainSource {
	if s.DrainSource == SelfReported && now >= s.SelfReportedUntil {
		return NotDraining
	}
	return s.DrainSource
}
