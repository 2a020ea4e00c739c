package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/store"
)

// clientTimeout bounds one call; a watch waits for watchWait on the server.
const clientTimeout = watchWait + 10*time.Second

// Client speaks the operators' API of any of several controllers. It stays
// with the one that answered last. It is safe for concurrent use.
type Client struct {
	bases []string
	http  *http.Client
	// token, when set, is sent as a bearer token.
	token string
	// first is the index of the controller asked first.
	first atomic.Int64
}

// NewClient returns a client of the controllers at the given bases, such as
// "http://10.0.0.7:7300".
func NewClient(bases ...string) *Client {
	return &Client{bases: bases, http: &http.Client{Timeout: clientTimeout}}
}

// Credentials are how an operator proves who they are, and whom they believe.
// Empty file names mean none.
type Credentials struct {
	// CA is a PEM file of the CAs of the controllers' certificates.
	CA string
	// Certificate and PrivateKey are the operator's own, PEM files.
	Certificate string
	PrivateKey  string
	// TokenFile holds a bearer token.
	TokenFile string
}

// SetCredentials makes the client use credentials. It returns *auth.FileError, or
// *PlainTokenError for a token that would go over plain HTTP.
func (c *Client) SetCredentials(credentials Credentials) error {
	keyring, err := auth.NewKeyring(auth.Files{
		Certificate: credentials.Certificate, PrivateKey: credentials.PrivateKey, FleetCA: credentials.CA,
	}, 0, zerolog.Nop(), nil)
	if err != nil {
		return err
	}
	c.http.Transport = &http.Transport{DialTLSContext: keyring.DialTLS, IdleConnTimeout: clientTimeout}
	if credentials.TokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(credentials.TokenFile)
	if err != nil {
		return &auth.FileError{Setting: "token", File: credentials.TokenFile, Cause: err}
	}
	for _, base := range c.bases {
		if !strings.HasPrefix(base, "https://") {
			return &PlainTokenError{URL: base}
		}
	}
	c.token = strings.TrimSpace(string(token))
	return nil
}

// PlainTokenError says that a token would be sent over plain HTTP, where
// anyone on the way could read it.
type PlainTokenError struct{ URL string }

func (e *PlainTokenError) Error() string {
	return fmt.Sprintf("the token isn't sent to %s: it isn't https", e.URL)
}

// UnreachableError says that no controller answered. The change may have been
// accepted when Sent is set.
type UnreachableError struct {
	URL       string
	MaybeSent bool
	Cause     error
}

// NoServerError says that no controller's address was given.
type NoServerError struct{}

func (e *NoServerError) Error() string { return "no controller's address is given" }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller at %s can't be reached: %v", e.URL, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// Error makes an answer an error on the client's side.
func (a *ErrorResponse) Error() string { return a.Message }

// List returns the records of a kind, of every kind when kind is empty.
func (c *Client) List(ctx context.Context, kind record.Kind) (RecordList, error) {
	var answer RecordList
	err := c.call(ctx, http.MethodGet, "/v1/records?kind="+url.QueryEscape(string(kind)), nil, nil, &answer)
	return answer, err
}

// Get returns one record, or *ErrorAnswer with CodeNotFound.
func (c *Client) Get(ctx context.Context, id record.ID) (Record, error) {
	var answer Record
	err := c.call(ctx, http.MethodGet, recordPath(id), nil, nil, &answer)
	return answer, err
}

// Put replaces the record at revision expect; zero means it must be new. It
// returns *ErrorAnswer with CodeConflict when the record has changed since.
// The envelope gets a write identity of its own, so that trying again through
// another controller after a lost answer doesn't meet its own first try.
func (c *Client) Put(ctx context.Context, envelope record.Envelope, expect store.Revision, dryRun bool) (ChangeResponse, error) {
	query := ""
	if dryRun {
		query = "?dryRun=true"
	}
	return c.put(ctx, envelope, expect, query)
}

// PutBreakingGlass is Put with the break-glass right, and is audited as such.
func (c *Client) PutBreakingGlass(ctx context.Context, envelope record.Envelope, expect store.Revision) (ChangeResponse, error) {
	return c.put(ctx, envelope, expect, "?"+breakGlassParam+"=true")
}

func (c *Client) put(ctx context.Context, envelope record.Envelope, expect store.Revision, query string) (ChangeResponse, error) {
	var answer ChangeResponse
	envelope.WriteID = uuid.NewString()
	envelope.Author = ""
	body, err := json.Marshal(envelope)
	if err != nil {
		return answer, &record.SyntaxError{Cause: err}
	}
	err = c.call(ctx, http.MethodPut, recordPath(envelope.ID())+query, precondition(expect), body, &answer)
	return answer, err
}

// Plan says what applying the records would do. Nothing is written.
func (c *Client) Plan(ctx context.Context, envelopes []record.Envelope) (PlanResponse, error) {
	var answer PlanResponse
	body, err := json.Marshal(envelopes)
	if err != nil {
		return answer, &record.SyntaxError{Cause: err}
	}
	err = c.call(ctx, http.MethodPost, "/v1/plan", nil, body, &answer)
	return answer, err
}

// Delete removes the record at revision expect. breakGlass passes over the
// check that no other record names it.
func (c *Client) Delete(ctx context.Context, id record.ID, expect store.Revision, breakGlass bool) (ChangeResponse, error) {
	var answer ChangeResponse
	header := precondition(expect)
	header[WriteIDHeader] = []string{uuid.NewString()}
	path := recordPath(id)
	if breakGlass {
		path += "?" + breakGlassParam + "=true"
	}
	err := c.call(ctx, http.MethodDelete, path, header, nil, &answer)
	return answer, err
}

// RevisionStatus asks whether every live member serves a revision.
func (c *Client) RevisionStatus(ctx context.Context, revision store.Revision) (RevisionStatus, error) {
	var answer RevisionStatus
	path := "/v1/inforce?revision=" + strconv.FormatInt(int64(revision), 10)
	err := c.call(ctx, http.MethodGet, path, nil, nil, &answer)
	return answer, err
}

// Watch waits for records changed after a revision.
func (c *Client) Watch(ctx context.Context, after store.Revision) (Changes, error) {
	var answer Changes
	path := "/v1/watch?after=" + strconv.FormatInt(int64(after), 10)
	err := c.call(ctx, http.MethodGet, path, nil, nil, &answer)
	return answer, err
}

// Audit returns the changes of one day in UTC. Empty filters pass everything.
func (c *Client) Audit(ctx context.Context, day time.Time, id record.ID, author string) (AuditResponse, error) {
	var answer AuditResponse
	query := url.Values{"day": {day.UTC().Format(auditDayLayout)}}
	for parameter, value := range map[string]string{"kind": string(id.Kind), "name": id.Name, "author": author} {
		if value != "" {
			query.Set(parameter, value)
		}
	}
	err := c.call(ctx, http.MethodGet, "/v1/audit?"+query.Encode(), nil, nil, &answer)
	return answer, err
}

// History returns what a wave did to availability so far.
func (c *Client) History(ctx context.Context, wave string) (report.History, error) {
	var answer report.History
	err := c.call(ctx, http.MethodGet, "/v1/history/"+url.PathEscape(wave), nil, nil, &answer)
	return answer, err
}

// Fleet returns the whole fleet at a glance.
func (c *Client) Fleet(ctx context.Context) (FleetSummary, error) {
	var answer FleetSummary
	err := c.call(ctx, http.MethodGet, "/v1/fleet", nil, nil, &answer)
	return answer, err
}

// Hosts returns the names of the hosts that have a record, sorted.
func (c *Client) Hosts(ctx context.Context) ([]string, error) {
	var answer []string
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil, &answer)
	return answer, err
}

// Status decodes what the system says about a record into answer.
func (c *Client) Status(ctx context.Context, id record.ID, answer any) error {
	return c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/status/%s/%s", id.Kind, url.PathEscape(id.Name)), nil, nil, answer)
}

// Explain says why a record, or with the kind "Host" a host, is as it is.
func (c *Client) Explain(ctx context.Context, id record.ID) (Explanation, error) {
	var answer Explanation
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/explain/%s/%s", id.Kind, url.PathEscape(id.Name)), nil, nil, &answer)
	return answer, err
}

// call asks one controller after the other, starting with the one that
// answered last, until one can be reached and has the store.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, answer any) error {
	var err error = &UnreachableError{Cause: &NoServerError{}}
	sent := false
	first := int(c.first.Load())
	for i := range c.bases {
		index := (first + i) % len(c.bases)
		err = c.ask(ctx, c.bases[index], method, path, header, body, answer)
		if !elsewhere(err) || ctx.Err() != nil {
			c.first.Store(int64(index))
			return afterLostAnswer(method, sent, err)
		}
		sent = sent || wasSent(err)
	}
	return afterLostAnswer(method, sent, err)
}

// elsewhere reports whether another controller may answer better.
func elsewhere(err error) bool {
	var unreachable *UnreachableError
	var answer *ErrorResponse
	switch {
	case errors.As(err, &unreachable):
		return true
	case errors.As(err, &answer):
		return answer.Code == CodeStoreUnavailable || answer.Code == CodeUnknownOutcome
	}
	return false
}

func wasSent(err error) bool {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable.MaybeSent
	}
	var answer *ErrorResponse
	return errors.As(err, &answer) && answer.Code == CodeUnknownOutcome
}

// afterLostAnswer keeps a refusal honest: once an earlier try may have been
// accepted, a conflict or an absent record doesn't mean that nothing happened,
// because another operator may have changed the record since.
func afterLostAnswer(method string, sent bool, err error) error {
	var answer *ErrorResponse
	if !sent || method == http.MethodGet || !errors.As(err, &answer) {
		return err
	}
	switch answer.Code {
	case CodeConflict, CodeNotFound, CodeStoreUnavailable:
		unknown := *answer
		unknown.Code = CodeUnknownOutcome
		unknown.Message = "an earlier try may have been accepted, its answer was lost; now: " + answer.Message
		return &unknown
	}
	return err
}

func (c *Client) ask(ctx context.Context, base, method, path string, header http.Header, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{URL: base, Cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{URL: base, MaybeSent: !refused(err), Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &UnreachableError{URL: base, MaybeSent: true, Cause: err}
	}
	if response.StatusCode == http.StatusOK {
		return decodeAnswer(base, data, answer)
	}
	failure := &ErrorResponse{}
	if err := decodeAnswer(base, data, failure); err != nil {
		return err
	}
	return failure
}

// refused reports whether no connection was made, so that nothing was sent.
func refused(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func decodeAnswer(base string, data []byte, answer any) error {
	if err := json.Unmarshal(data, answer); err != nil {
		return &UnreachableError{URL: base, MaybeSent: true, Cause: err}
	}
	return nil
}

func recordPath(id record.ID) string {
	return fmt.Sprintf("/v1/records/%s/%s", id.Kind, url.PathEscape(id.Name))
}

func precondition(expect store.Revision) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {etag(expect)}}
}
