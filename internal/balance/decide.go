package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Ranking parameters.
const (
	// zonePenalty is how many more requests in flight an endpoint in the
	// gateway's zone may have before one in another zone is preferred.
	zonePenalty = 2
	// minLatency is the lower bound of the expected latency. It keeps noise
	// between fast endpoints from concentrating all requests on one of them.
	minLatency = time.Millisecond
	// latencyDecay is the time constant of the exponential decay of latencies.
	latencyDecay = 10 * time.Second
	// slowStart is how long an endpoint that rejoins takes to reach full weight.
	slowStart = 10 * time.Second
	// minWeight is the weight at the beginning of slow start.
	minWeight = 0.1
	// minHealthyRatio is the fraction of a service's endpoints that must be healthy
	// for ejected ones to be omitted. Below it they are ranked last, because it
	// is more likely that this gateway is partitioned or that all endpoints are
	// overloaded.
	minHealthyRatio = 0.5
	// maxRanked is the maximum length of a ranking. Admission tries the next
	// endpoint if all slots of one are taken; if those of the 32 least loaded are
	// taken, waiting is better.
	maxRanked = 32
)

// State is the observed state of one endpoint. Times are durations on the
// monotonic clock since the start of the balancer.
type State struct {
	InFlight int
	// Latency is the decaying peak latency, and LatencyAt the time of its last
	// update.
	Latency   time.Duration
	LatencyAt time.Duration
	// ProgressAt is when the endpoint last responded, or received a request while
	// it had none in flight.
	ProgressAt time.Duration
	// Failures counts consecutive failed requests.
	Failures int
	// Ejections counts consecutive ejections; the last one ends at EjectedUntil.
	Ejections    int
	EjectedUntil time.Duration
	// SlowStartAt is when slow start began; it is negative if the endpoint needs
	// none.
	SlowStartAt time.Duration
	// DrainSource is the source, if any, that reports the endpoint as draining,
	// and DrainingSince the time of the first report. A report by the endpoint
	// itself expires at SelfReportedUntil.
	DrainSource       DrainSource
	DrainingSince     time.Duration
	SelfReportedUntil time.Duration
}

// DrainSource is the source of the information that an endpoint is draining.
type DrainSource string

// Drain sources.
const (
	NotDraining DrainSource = ""
	// Configured is a host record or the platform's host list.
	Configured DrainSource = "configured"
	// SelfReported is the endpoint itself.
	SelfReported DrainSource = "own-word"
)

// Reason is what determined an endpoint's position in a ranking.
type Reason string

// Reasons for an endpoint's position.
const (
	Healthy   Reason = "healthy"
	OtherZone Reason = "other-zone"
	SlowStart Reason = "slow-start"
	Ejected   Reason = "ejected"
)

// Candidate is one endpoint with its state, which a ranking only reads.
type Candidate struct {
	Zone  string
	State *State
	// Tried is true if this request has already failed on the endpoint.
	Tried bool
}

// Input is the complete input of a ranking.
type Input struct {
	// Zone is the gateway's availability zone.
	Zone string
	Now  time.Duration
	// Rotation breaks ties, so that requests spread over endpoints with equal
	// scores.
	Rotation   int
	Candidates []Candidate
}

// RankedCandidate is one entry of a ranking. A lower Score is better.
type RankedCandidate struct {
	// Index is the candidate's index in Input.Candidates.
	Index    int
	Score    float64
	Reason   Reason
	tieBreak int
}

// RankCandidates ranks the candidates, best first, and returns the ranking in
// the memory of out. It has no other side effects. Draining endpoints are never
// included. Ejected ones are included, at the end, only if too few endpoints are
// healthy. Endpoints on which the request has already been tried are included
// only if there are no others.
func RankCandidates(input Input, out []RankedCandidate) []RankedCandidate {
	out = rank(input, out[:0], false)
	if len(out) == 0 {
		out = rank(input, out, true)
	}
	return out
}

func rank(input Input, out []RankedCandidate, tried bool) []RankedCandidate {
	serving, healthy := 0, 0
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if candidate.State.DrainSourceAt(input.Now) != NotDraining {
			continue
		}
		serving++
		choice := evaluate(input, candidate)
		if choice.Reason != Ejected {
			healthy++
		}
		if candidate.Tried != tried {
			continue
		}
		choice.Index = i
		choice.tieBreak = (i + input.Rotation) % len(input.Candidates)
		out = append(out, choice)
	}
	slices.SortFunc(out, func(a, b RankedCandidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	if float64(healthy) >= minHealthyRatio*float64(serving) && healthy > 0 {
		out = withoutEjected(out)
	}
	return out[:min(len(out), maxRanked)]
}

// withoutEjected removes the ejected endpoints unless all are ejected.
func withoutEjected(out []RankedCandidate) []RankedCandidate {
	first := slices.IndexFunc(out, func(c RankedCandidate) bool { return c.Reason == Ejected })
	if first > 0 {
		return out[:first]
	}
	return out
}

// ejectedBaseScore ranks ejected endpoints after all others, in the order in which
// their ejections end.
const ejectedBaseScore = math.MaxFloat32

func evaluate(input Input, candidate *Candidate) RankedCandidate {
	state := candidate.State
	if state.EjectedUntil > input.Now {
		return RankedCandidate{Score: ejectedBaseScore * (1 + state.EjectedUntil.Seconds()), Reason: Ejected}
	}
	choice := RankedCandidate{Reason: Healthy}
	load := float64(state.InFlight + 1)
	if candidate.Zone != input.Zone {
		load += zonePenalty
		choice.Reason = OtherZone
	}
	weight := state.weight(input.Now)
	if weight < 1 {
		choice.Reason = SlowStart
	}
	choice.Score = load * roundToPowerOfTwo(state.expectedLatency(input.Now)) / weight
	return choice
}

// roundToPowerOfTwo rounds a latency to a power of two, so that endpoints of similar speed
// share work by load alone. With exact latencies all gateways would choose the
// one that is fastest at the moment.
func roundToPowerOfTwo(latency time.Duration) float64 {
	_, exponent := math.Frexp(float64(latency))
	return math.Ldexp(1, exponent)
}

// expectedLatency returns the expected latency of a request sent now. An endpoint that
// accepts requests and never responds yields no latencies, so the time since its
// last progress counts as well.
func (s *State) expectedLatency(now time.Duration) time.Duration {
	latency := s.decayedLatency(now)
	if s.InFlight > 0 {
		latency = max(latency, now-s.ProgressAt)
	}
	return max(latency, minLatency)
}

func (s *State) decayedLatency(now time.Duration) time.Duration {
	age := float64(now - s.LatencyAt)
	return time.Duration(float64(s.Latency) * math.Exp(-age/float64(latencyDecay)))
}

// weight returns a weight that grows from minWeight to 1 during slow start.
// At full weight from the start, empty caches and cold connections would make
// the endpoint fail again.
func (s *State) weight(now time.Duration) float64 {
	if s.SlowStartAt < 0 || now-s.SlowStartAt >= slowStart {
		return 1
	}
	return max(minWeight, float64(now-s.SlowStartAt)/float64(slowStart))
}

// DrainSourceAt returns the source that reports the endpoint as draining at the
// time now, or NotDraining.
func (s *State) DrainSourceAt(now time.Duration) DrainSource {
	if s.DrainSource == SelfReported && now >= s.SelfReportedUntil {
		return NotDraining
	}
	return s.DrainSource
}
