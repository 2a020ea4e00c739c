package balance

import (
	"time"

	"auburnglade.example/glade/internal/outcome"
)

const (
	// failuresToEject is the number of consecutive failed requests after which an
	// endpoint is ejected. One that cannot be connected to is ejected at once, since
	// no request can reach it.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// refusalEjection is how long an endpoint that refused a request is ejected.
	refusalEjection = 500 * time.Millisecond
	// noProgressTimeout is how long an endpoint must not have responded to any request for
	// a timeout to count as a failure. Otherwise a caller with a deadline of a
	// millisecond could eject endpoints.
	noProgressTimeout = time.Second
	// selfReportTTL is how long an endpoint's own report that it is draining remains
	// valid. Each further report renews it; if none follows, the endpoint gets
	// requests again.
	selfReportTTL = 20 * time.Second
)

func (s *State) begin(now time.Duration) {
	if s.InFlight == 0 {
		s.ProgressAt = now
	}
	s.InFlight++
}

// end records the result of a request; reason is empty if the endpoint
// responded. It depends only on the state and its arguments.
func (s *State) end(now time.Duration, reason outcome.Reason) {
	s.InFlight--
	switch reason {
	case "":
		s.recordSuccess(now)
	case outcome.ConnectFailed:
		s.eject(now)
	case outcome.EndpointLost, outcome.ResponseMismatch:
		s.recordFailure(now)
	case outcome.TimedOut:
		if now-s.ProgressAt >= noProgressTimeout {
			s.recordFailure(now)
		}
	case outcome.EndpointRefused:
		s.ProgressAt = now
		s.EjectedUntil = max(s.EjectedUntil, now+refusalEjection)
	}
}

func (s *State) recordSuccess(now time.Duration) {
	s.ProgressAt = now
	s.Failures = 0
	if now >= s.EjectedUntil+slowStart {
		s.Ejections = 0
	}
}

func (s *State) recordFailure(now time.Duration) {
	s.Failures++
	if s.Failures >= failuresToEject {
		s.eject(now)
	}
}

// eject excludes the endpoint for a time that doubles with each consecutive
// ejection, up to a maximum. After that a single failure ejects it again.
// Failures during an ejection do not cause another one, so that the failures of
// concurrent requests count as one ejection.
func (s *State) eject(now time.Duration) {
	if s.EjectedUntil > now {
		return
	}
	duration := maxEjection
	if s.Ejections < 5 {
		duration = min(firstEjection<<s.Ejections, maxEjection)
	}
	s.Ejections++
	s.EjectedUntil = now + duration
	s.SlowStartAt = s.EjectedUntil
	s.Failures = failuresToEject - 1
}

// observe records the latency of one response: a higher latency applies
// immediately, a lower one gradually.
func (s *State) observe(now, latency time.Duration) {
	s.ProgressAt = now
	current := s.decayedLatency(now)
	if latency < current {
		latency = current - (current-latency)/latencyWeightInverse
	}
	s.Latency = latency
	s.LatencyAt = now
}

// latencyWeightInverse is the inverse of the weight of a new, lower latency.
const latencyWeightInverse = 8

// reportDraining records that the endpoint itself reported that it is draining.
func (s *State) reportDraining(now time.Duration) {
	if s.DrainSourceAt(now) == NotDraining {
		s.DrainSource = SelfReported
		s.DrainingSince = now
	}
	s.SelfReportedUntil = now + selfReportTTL
}

// configure records whether the host record and the host list let the endpoint
// take work.
func (s *State) configure(now time.Duration, takesWork bool) {
	switch {
	case !takesWork && s.DrainSource != Configured:
		if s.DrainSourceAt(now) == NotDraining {
			s.DrainingSince = now
		}
		s.DrainSource = Configured
	case takesWork && s.DrainSource == Configured:
		// The endpoint is back from maintenance; observations of its former
		// incarnation no longer apply.
		*s = State{InFlight: s.InFlight, ProgressAt: now, SlowStartAt: now}
	}
}
