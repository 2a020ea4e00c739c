package gateway

import (
	"net/http"
	"strconv"

	"auburnglade.example/glade/internal/outcome"
)

const (
	retryAfterHeader = "Retry-After"
	// retryAfterSeconds is told to a caller whose request did not run, when
	// nothing better is known.
	retryAfterSeconds = 1
)

// fail tells the caller at once that its request has no answer: not run when
// nothing was sent, unknown else.
func (g *Gateway) fail(w http.ResponseWriter, service string, sent bool, reason outcome.Reason) {
	if !sent {
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
	status, comeBack := outcome.StatusOf(reason)
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.Header().Set(outcome.ReasonHeader, string(reason))
	switch {
	case !comeBack:
		w.Header().Del(retryAfterHeader)
	case w.Header().Get(retryAfterHeader) == "":
		w.Header().Set(retryAfterHeader, strconv.Itoa(retryAfterSeconds))
	}
	http.Error(w, "not run: the request did not start", status)
}
