package balance

import (
	"time"

	"auburnglade.example/glade/internal/outcome"
)

const (
	// failuresToEject is how many requests in a row must fail. An endpoint that
	// can't be connected to is ejected at once: there is nobody to ask.
	failuresToEject = 3
	firstEjection   = time.Second
	mostEjection    = 30 * time.Second
	// refusalRest is how long an endpoint that refused a request is left alone.
	refusalRest = 500 * time.Millisecond
	// silentFor is how long an endpoint must have answered nothing for a
	// time-out to count against it: a caller with a deadline of a millisecond
	// must not be able to eject endpoints.
	silentFor = time.Second
	// wordHolds is how long an endpoint's own word that it leaves holds. Each
	// further word renews it; an endpoint that stays is asked again after.
	wordHolds = 20 * time.Second
)

func (s *State) begin(now time.Duration) {
	if s.InFlight == 0 {
		s.ProgressAt = now
	}
	s.InFlight++
}

// end applies how a request went to the state. It is pure.
func (s *State) end(now time.Duration, reason outcome.Reason) {
	s.InFlight--
	switch reason {
	case "":
		s.succeed(now)
	case outcome.ConnectFailed:
		s.eject(now)
	case outcome.EndpointLost, outcome.ResponseMismatch:
		s.fail(now)
	case outcome.TimedOut:
		if now-s.ProgressAt >= silentFor {
			s.fail(now)
		}
	case outcome.EndpointRefused:
		s.ProgressAt = now
		s.EjectedUntil = max(s.EjectedUntil, now+refusalRest)
	}
}

func (s *State) succeed(now time.Duration) {
	s.ProgressAt = now
	s.Failures = 0
	if now >= s.EjectedUntil+slowStart {
		s.Ejections = 0
	}
}

func (s *State) fail(now time.Duration) {
	s.Failures++
	if s.Failures >= failuresToEject {
		s.eject(now)
	}
}

// eject leaves the endpoint out for a time that doubles with each ejection in
// a row. It comes back on trial: one more failure ejects it again. Requests
// that were under way together count as one ejection.
func (s *State) eject(now time.Duration) {
	if s.EjectedUntil > now {
		return
	}
	rest := mostEjection
	if s.Ejections < 5 {
		rest = min(firstEjection<<s.Ejections, mostEjection)
	}
	s.Ejections++
	s.EjectedUntil = now + rest
	s.SlowStartAt = s.EjectedUntil
	s.Failures = failuresToEject - 1
}

// observe takes in the latency of one answer: a higher one counts at once, a
// lower one slowly.
func (s *State) observe(now, latency time.Duration) {
	s.ProgressAt = now
	known := s.decayed(now)
	if latency < known {
		latency = known - (known-latency)/latencyShare
	}
	s.Latency = latency
	s.LatencyAt = now
}

// latencyShare is one over the weight of a new, lower latency.
const latencyShare = 8

// sayLeaving notes the endpoint's own word.
func (s *State) sayLeaving(now time.Duration) {
	if s.DrainSourceAt(now) == NotDraining {
		s.DrainSource = SelfReported
		s.DrainingSince = now
	}
	s.SelfReportedUntil = now + wordHolds
}

// configure notes what records and the host list say.
func (s *State) configure(now time.Duration, takesWork bool) {
	switch {
	case !takesWork && s.DrainSource != Configured:
		if s.DrainSourceAt(now) == NotDraining {
			s.DrainingSince = now
		}
		s.DrainSource = Configured
	case takesWork && s.DrainSource == Configured:
		// Back from maintenance: what was known of it is of its former life.
		*s = State{InFlight: s.InFlight, ProgressAt: now, SlowStartAt: now}
	}
}
