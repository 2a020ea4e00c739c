package operatorapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

func etag(revision store.Revision) string {
	return strconv.Quote(strconv.FormatInt(int64(revision), 10))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	response := ErrorResponse{Message: err.Error()}
	status := http.StatusInternalServerError
	var invalid *record.InvalidError
	var conflict *ConflictError
	switch {
	case errors.As(err, &invalid):
		response.Code, status = CodeInvalid, http.StatusUnprocessableEntity
		response.Faults = invalid.FieldErrors
	case errors.As(err, &conflict):
		response.Code, status = CodeConflict, http.StatusPreconditionFailed
		response.Current = conflict.Current
	case isA[*record.SchemaError](err):
		response.Code, status = CodeSchema, http.StatusUnprocessableEntity
	case isA[*record.SyntaxError](err), isA[*configstate.KeyMismatchError](err), isA[*QueryError](err):
		response.Code, status = CodeBadRequest, http.StatusBadRequest
	case isA[*NotFoundError](err):
		response.Code, status = CodeNotFound, http.StatusNotFound
	case isA[*PreconditionMissingError](err):
		response.Code, status = CodePreconditionRequired, http.StatusPreconditionRequired
	case isA[*TooLargeError](err):
		response.Code, status = CodeTooLarge, http.StatusRequestEntityTooLarge
	case isA[*RateLimitError](err):
		response.Code, status = CodeRateLimited, http.StatusTooManyRequests
		w.Header().Set("Retry-After", "1")
	case isA[*auth.UnauthenticatedError](err):
		response.Code, status = CodeUnauthenticated, http.StatusUnauthorized
		w.Header().Set("WWW-Authenticate", "Bearer")
	case isA[*auth.ForbiddenError](err):
		response.Code, status = CodeForbidden, http.StatusForbidden
	case isA[*admission.ReferencedError](err):
		response.Code, status = CodeReferenced, http.StatusConflict
	case store.IsUnknownOutcome(err):
		response.Code, status = CodeUnknownOutcome, http.StatusGatewayTimeout
	default:
		response.Code, status = CodeStoreUnavailable, http.StatusServiceUnavailable
	}
	writeJSON(w, status, response)
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
