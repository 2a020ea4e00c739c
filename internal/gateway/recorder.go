package gateway

import (
	"net/http"
	"strings"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/outcome"
)

const (
	// maxStoredBody is the maximum body size in bytes of a stored response.
	maxStoredBody = 4 << 10
	// maxStoredHeader is the maximum header size in bytes of a stored response.
	maxStoredHeader = 2 << 10
)

// recorder writes a response to the caller and records it, up to a size limit, for
// repeats of the request. It continues recording if the caller disconnects, unless
// the response exceeds the limit and therefore cannot be stored.
type recorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	// unstorable is set once the response is too large to store or has trailers.
	unstorable bool
	callerErr  error
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	final := status >= http.StatusOK
	if r.status == 0 && final {
		r.status = status
		r.header = r.Header().Clone()
		r.unstorable = headerBytes(r.header) > maxStoredHeader || r.header.Get("Trailer") != ""
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.record(p)
	if r.callerErr == nil {
		_, r.callerErr = r.ResponseWriter.Write(p)
	}
	if r.callerErr != nil && r.unstorable {
		return 0, r.callerErr
	}
	return len(p), nil
}

func (r *recorder) record(p []byte) {
	if r.unstorable || len(r.body)+len(p) > maxStoredBody {
		r.unstorable = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

// result returns the result to settle the claim with, based on the outcome reported
// to the caller. finished is false if serving the request was aborted.
func (r *recorder) result(finished bool) (atmostonce.Result, *atmostonce.Response) {
	switch outcome.Outcome(r.header.Get(outcome.Header)) {
	case outcome.NotRun:
		return atmostonce.ResultNotRun, nil
	case outcome.Answered:
		if !finished {
			return atmostonce.ResultUnknown, nil
		}
		if r.unstorable || r.hasUnannouncedTrailer() {
			return atmostonce.ResultAnswered, nil
		}
		return atmostonce.ResultAnswered, &atmostonce.Response{Status: r.status, Header: r.header, Body: r.body}
	}
	return atmostonce.ResultUnknown, nil
}

// hasUnannouncedTrailer reports whether the endpoint sent trailers that it did not
// announce. Responses with trailers are not stored.
func (r *recorder) hasUnannouncedTrailer() bool {
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
