package gateway

import (
	"net/http"
	"strconv"

	"auburnglade.example/glade/internal/outcome"
)

const (
	retryAfterHeader = "Retry-After"
	// retryAfterSeconds is the default Retry-After for requests that did not run.
	retryAfterSeconds = 1
)

// fail reports to the caller that its request has no response. The outcome is "not
// run" if nothing was sent, and "unknown" otherwise.
func (g *Gateway) fail(w http.ResponseWriter, service string, maybeSent bool, reason outcome.Reason) {
	if !maybeSent {
		g.refuse(w, service, reason)
		return
	}
	w.Header().Del(retryAfterHeader)
	g.metrics.requests.WithLabelValues(service, string(outcome.Unknown)).Inc()
	w.Header().Set(outcome.Header, string(outcome.Unknown))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	http.Error(w, "unknown: the request may have run", outcome.StatusUnknown)
}

func (g *Gateway) refuse(w http.ResponseWriter, service string, reason outcome.Reason) {
	g.metrics.requests.WithLabelValues(service, string(outcome.NotRun)).Inc()
	status, retryable := outcome.StatusOf(reason)
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	switch {
	case !retryable:
		w.Header().Del(retryAfterHeader)
	case w.Header().Get(retryAfterHeader) == "":
		w.Header().Set(retryAfterHeader, strconv.Itoa(retryAfterSeconds))
	}
	http.Error(w, "not run: the request did not start", status)
}
