package atmostonce

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/atmostonce/claimpb"
)

var kinds = map[Result]claimpb.Kind{
	ResultNotRun: claimpb.Kind_NOT_RUN, ResultAnswered: claimpb.Kind_ANSWERED, ResultUnknown: claimpb.Kind_UNCLEAR,
}

var resultsByKind = map[claimpb.Kind]Result{
	claimpb.Kind_NOT_RUN: ResultNotRun, claimpb.Kind_ANSWERED: ResultAnswered, claimpb.Kind_UNCLEAR: ResultUnknown,
}

func encodeSettlement(s *Settlement) *claimpb.Entry {
	return &claimpb.Entry{
		Kind: kinds[s.Result], Id: s.ID[:], Identity: s.Nonce[:], Answer: encodeResponse(s.Response),
	}
}

func encodeResponse(response *Response) *claimpb.Answer {
	if response == nil {
		return nil
	}
	encoded := &claimpb.Answer{Status: int32(response.Status), Body: response.Body}
	for name, values := range response.Header {
		header := &claimpb.Header{Name: []byte(name)}
		for _, value := range values {
			header.Values = append(header.Values, []byte(value))
		}
		encoded.Headers = append(encoded.Headers, header)
	}
	return encoded
}

func decodeResponse(encoded *claimpb.Answer) *Response {
	if encoded == nil {
		return nil
	}
	response := &Response{Status: int(encoded.Status), Body: encoded.Body, Header: make(http.Header)}
	for _, header := range encoded.Headers {
		for _, value := range header.Values {
			response.Header[string(header.Name)] = append(response.Header[string(header.Name)], string(value))
		}
	}
	return response
}

// checkEntry returns *CorruptError when a field of an entry has the wrong
// length, so that later code can convert the fields without checks.
func checkEntry(key string, e *claimpb.Entry) error {
	ok := e != nil && len(e.Id) == hashBytes && len(e.Identity) == hashBytes
	if ok && e.Kind == claimpb.Kind_CLAIMED {
		ok = len(e.Fingerprint) == hashBytes
	}
	if !ok || e.Kind == claimpb.Kind_KIND_UNSPECIFIED {
		return &CorruptError{Key: key, Cause: &EntryError{Kind: e.GetKind().String()}}
	}
	return nil
}

func decodeClaim(e *claimpb.Entry) Claim {
	return Claim{
		ID: ID(e.Id), Fingerprint: Fingerprint(e.Fingerprint), Nonce: uuid.UUID(e.Identity),
		Window: time.Duration(e.WindowMs) * time.Millisecond,
	}
}

func decodeSettlement(e *claimpb.Entry) Settlement {
	return Settlement{
		ID: ID(e.Id), Nonce: uuid.UUID(e.Identity), Result: resultsByKind[e.Kind], Response: decodeResponse(e.Answer),
	}
}
