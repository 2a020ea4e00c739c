package gateway

import (
	"net/http"
	"strings"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/outcome"
)

const (
	// maxKeptBody bounds the body of an answer that is kept for repeats.
	maxKeptBody = 4 << 10
	// maxKeptHeader bounds its header.
	maxKeptHeader = 2 << 10
)

// recorder passes an answer on to the caller and keeps it for repeats while it
// is small. A caller that goes away doesn't end it: the answer is kept all the
// same, unless it has outgrown the bound and nobody would ever read it.
type recorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	// overflown is set once the answer is too large to keep.
	overflown bool
	callerErr error
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// Unwrap lets http.ResponseController reach the writer below.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	final := status >= http.StatusOK
	if r.status == 0 && final {
		r.status = status
		r.header = r.Header().Clone()
		r.overflown = headerBytes(r.header) > maxKeptHeader || r.header.Get("Trailer") != ""
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.keep(p)
	if r.callerErr == nil {
		_, r.callerErr = r.ResponseWriter.Write(p)
	}
	if r.callerErr != nil && r.overflown {
		return 0, r.callerErr
	}
	return len(p), nil
}

func (r *recorder) keep(p []byte) {
	if r.overflown || len(r.body)+len(p) > maxKeptBody {
		r.overflown = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

// result returns what became of the request; finished is false when serving it
// broke off. The outcome that the caller was told decides.
func (r *recorder) result(finished bool) (atmostonce.Result, *atmostonce.Response) {
	switch outcome.Outcome(r.header.Get(outcome.Header)) {
	case outcome.NotRun:
		return atmostonce.ResultNotRun, nil
	case outcome.Answered:
		if !finished {
			return atmostonce.ResultUnknown, nil
		}
		if r.overflown || r.hasLateTrailer() {
			return atmostonce.ResultAnswered, nil
		}
		return atmostonce.ResultAnswered, &atmostonce.Response{Status: r.status, Header: r.header, Body: r.body}
	}
	return atmostonce.ResultUnknown, nil
}

// hasLateTrailer reports whether the endpoint sent trailers that it didn't
// announce: an answer with trailers isn't kept.
func (r *recorder) hasLateTrailer() bool {
	for name := range r.Header() {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}
