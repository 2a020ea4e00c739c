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
		Kind: kinds[s.Result], Id: s.ID[:], Identity: s.Nonce[:], Answer: encodeAnswer(s.Response),
	}
}

func encodeAnswer(answer *Response) *claimpb.Answer {
	if answer == nil {
		return nil
	}
	encoded := &claimpb.Answer{Status: int32(answer.Status), Body: answer.Body}
	for name, values := range answer.Header {
		header := &claimpb.Header{Name: []byte(name)}
		for _, value := range values {
			header.Values = append(header.Values, []byte(value))
		}
		encoded.Headers = append(encoded.Headers, header)
	}
	return encoded
}

func decodeAnswer(encoded *claimpb.Answer) *Response {
	if encoded == nil {
		return nil
	}
	answer := &Response{Status: int(encoded.Status), Body: encoded.Body, Header: make(http.Header)}
	for _, header := range encoded.Headers {
		for _, value := range header.Values {
			answer.Header[string(header.Name)] = append(answer.Header[string(header.Name)], string(value))
		}
	}
	return answer
}

// checkEntry returns *DamagedError when an entry's fields have wrong lengths,
// so that everything after may convert them without a check.
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
		ID: ID(e.Id), Nonce: uuid.UUID(e.Identity), Result: resultsByKind[e.Kind], Response: decodeAnswer(e.Answer),
	}
}
