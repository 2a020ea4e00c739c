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

// clientTimeout limits one call. It exceeds watchTimeout, for which the server
// holds a watch open.
const clientTimeout = watchTimeout + 10*time.Second

// Client is a client of the operators' API of one or more controllers. It
// prefers the controller that responded last. It is safe for concurrent use.
type Client struct {
	baseURLs []string
	http     *http.Client
	// token, when set, is sent as a bearer token.
	token string
	// preferred is the index of the controller that is called first.
	preferred atomic.Int64
}

// NewClient returns a client of the controllers at the given base URLs, such as
// "http://10.0.0.7:7300".
func NewClient(baseURLs ...string) *Client {
	return &Client{baseURLs: baseURLs, http: &http.Client{Timeout: clientTimeout}}
}

// Credentials holds the files of an operator's credentials and of the CAs that
// the operator trusts. An empty file name means none.
type Credentials struct {
	// CA is a PEM file with the CAs of the controllers' certificates.
	CA string
	// Certificate and PrivateKey are PEM files with the operator's certificate
	// and key.
	Certificate string
	PrivateKey  string
	// TokenFile is a file with a bearer token.
	TokenFile string
}

// SetCredentials loads the credentials and uses them for all further calls. It
// returns *auth.FileError, or *PlaintextTokenError for a token that would be sent
// over plain HTTP.
func (c *Client) SetCredentials(credentials Credentials) error {
	keyring, err := auth.NewKeyring(auth.KeyFiles{
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
	for _, base := range c.baseURLs {
		if !strings.HasPrefix(base, "https://") {
			return &PlaintextTokenError{URL: base}
		}
	}
	c.token = strings.TrimSpace(string(token))
	return nil
}

// PlaintextTokenError reports that a token would be sent over plain HTTP, where
// anyone on the network path could read it.
type PlaintextTokenError struct{ URL string }

func (e *PlaintextTokenError) Error() string {
	return fmt.Sprintf("refusing to send the token to %s: the URL is not https", e.URL)
}

// UnreachableError reports that no controller responded. If MaybeSent is set,
// the change may have been accepted.
type UnreachableError struct {
	URL       string
	MaybeSent bool
	Cause     error
}

// NoAddressError reports that no controller address was given.
type NoAddressError struct{}

func (e *NoAddressError) Error() string { return "no controller address given" }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("controller at %s can't be reached: %v", e.URL, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// Error implements error, so that the client can return the response as an
// error.
func (a *ErrorResponse) Error() string { return a.Message }

// List returns the records of a kind, of every kind when kind is empty.
func (c *Client) List(ctx context.Context, kind record.Kind) (RecordList, error) {
	var response RecordList
	err := c.call(ctx, http.MethodGet, "/v1/records?kind="+url.QueryEscape(string(kind)), nil, nil, &response)
	return response, err
}

// Get returns one record, or *ErrorResponse with CodeNotFound.
func (c *Client) Get(ctx context.Context, id record.ID) (Record, error) {
	var response Record
	err := c.call(ctx, http.MethodGet, recordPath(id), nil, nil, &response)
	return response, err
}

// Put replaces the record at revision expect; zero means that the record must
// be new. It returns *ErrorResponse with CodeConflict if the record has changed
// since. The envelope gets a new write ID, so that a retry through another
// controller after a lost response doesn't conflict with the first attempt.
func (c *Client) Put(ctx context.Context, envelope record.Envelope, expect store.Revision, dryRun bool) (ChangeResponse, error) {
	query := ""
	if dryRun {
		query = "?dryRun=true"
	}
	return c.put(ctx, envelope, expect, query)
}

// PutBreakGlass is Put with the break-glass parameter. It requires the
// break-glass role, and the audit log records its use.
func (c *Client) PutBreakGlass(ctx context.Context, envelope record.Envelope, expect store.Revision) (ChangeResponse, error) {
	return c.put(ctx, envelope, expect, "?"+breakGlassParam+"=true")
}

func (c *Client) put(ctx context.Context, envelope record.Envelope, expect store.Revision, query string) (ChangeResponse, error) {
	var response ChangeResponse
	envelope.WriteID = uuid.NewString()
	envelope.Author = ""
	body, err := json.Marshal(envelope)
	if err != nil {
		return response, &record.SyntaxError{Cause: err}
	}
	err = c.call(ctx, http.MethodPut, recordPath(envelope.ID())+query, precondition(expect), body, &response)
	return response, err
}

// Plan returns what applying the records would change. It writes nothing.
func (c *Client) Plan(ctx context.Context, envelopes []record.Envelope) (PlanResponse, error) {
	var response PlanResponse
	body, err := json.Marshal(envelopes)
	if err != nil {
		return response, &record.SyntaxError{Cause: err}
	}
	err = c.call(ctx, http.MethodPost, "/v1/plan", nil, body, &response)
	return response, err
}

// Delete deletes the record at revision expect. If breakGlass is set, the check
// that no other record refers to it is skipped.
func (c *Client) Delete(ctx context.Context, id record.ID, expect store.Revision, breakGlass bool) (ChangeResponse, error) {
	var response ChangeResponse
	header := precondition(expect)
	header[WriteIDHeader] = []string{uuid.NewString()}
	path := recordPath(id)
	if breakGlass {
		path += "?" + breakGlassParam + "=true"
	}
	err := c.call(ctx, http.MethodDelete, path, header, nil, &response)
	return response, err
}

// RevisionStatus returns whether every live member serves a revision.
func (c *Client) RevisionStatus(ctx context.Context, revision store.Revision) (RevisionStatus, error) {
	var response RevisionStatus
	path := "/v1/inforce?revision=" + strconv.FormatInt(int64(revision), 10)
	err := c.call(ctx, http.MethodGet, path, nil, nil, &response)
	return response, err
}

// Watch waits for records that change after a revision. It returns empty
// Changes if none does within watchTimeout.
func (c *Client) Watch(ctx context.Context, after store.Revision) (Changes, error) {
	var response Changes
	path := "/v1/watch?after=" + strconv.FormatInt(int64(after), 10)
	err := c.call(ctx, http.MethodGet, path, nil, nil, &response)
	return response, err
}

// Audit returns the changes of one day in UTC. Empty filters match everything.
func (c *Client) Audit(ctx context.Context, day time.Time, id record.ID, author string) (AuditResponse, error) {
	var response AuditResponse
	query := url.Values{"day": {day.UTC().Format(auditDayLayout)}}
	for parameter, value := range map[string]string{"kind": string(id.Kind), "name": id.Name, "author": author} {
		if value != "" {
			query.Set(parameter, value)
		}
	}
	err := c.call(ctx, http.MethodGet, "/v1/audit?"+query.Encode(), nil, nil, &response)
	return response, err
}

// History returns the samples of service availability recorded during a wave.
func (c *Client) History(ctx context.Context, wave string) (report.History, error) {
	var response report.History
	err := c.call(ctx, http.MethodGet, "/v1/history/"+url.PathEscape(wave), nil, nil, &response)
	return response, err
}

// Fleet returns a summary of the fleet.
func (c *Client) Fleet(ctx context.Context) (FleetSummary, error) {
	var response FleetSummary
	err := c.call(ctx, http.MethodGet, "/v1/fleet", nil, nil, &response)
	return response, err
}

// Hosts returns the sorted names of the hosts that have a record.
func (c *Client) Hosts(ctx context.Context) ([]string, error) {
	var response []string
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil, &response)
	return response, err
}

// Status decodes the status of a record into response.
func (c *Client) Status(ctx context.Context, id record.ID, response any) error {
	return c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/status/%s/%s", id.Kind, url.PathEscape(id.Name)), nil, nil, response)
}

// Explain returns the reasons for the state of a record or, with the kind
// "Host", of a host.
func (c *Client) Explain(ctx context.Context, id record.ID) (Explanation, error) {
	var response Explanation
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/explain/%s/%s", id.Kind, url.PathEscape(id.Name)), nil, nil, &response)
	return response, err
}

// call tries the controllers in turn, starting with the one that responded
// last, until one responds and has access to the store.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, response any) error {
	var err error = &UnreachableError{Cause: &NoAddressError{}}
	sent := false
	preferred := int(c.preferred.Load())
	for i := range c.baseURLs {
		index := (preferred + i) % len(c.baseURLs)
		err = c.send(ctx, c.baseURLs[index], method, path, header, body, response)
		if !shouldFailOver(err) || ctx.Err() != nil {
			c.preferred.Store(int64(index))
			return markUnknownOutcome(method, sent, err)
		}
		sent = sent || maybeSent(err)
	}
	return markUnknownOutcome(method, sent, err)
}

// shouldFailOver reports whether the call should be retried on another
// controller.
func shouldFailOver(err error) bool {
	var unreachable *UnreachableError
	var response *ErrorResponse
	switch {
	case errors.As(err, &unreachable):
		return true
	case errors.As(err, &response):
		return response.Code == CodeStoreUnavailable || response.Code == CodeUnknownOutcome
	}
	return false
}

func maybeSent(err error) bool {
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable.MaybeSent
	}
	var response *ErrorResponse
	return errors.As(err, &response) && response.Code == CodeUnknownOutcome
}

// markUnknownOutcome replaces an error by CodeUnknownOutcome if an earlier
// attempt may have been accepted. In that case a conflict or a missing record
// doesn't prove that nothing was committed, because another operator may have
// changed the record since.
func markUnknownOutcome(method string, sent bool, err error) error {
	var response *ErrorResponse
	if !sent || method == http.MethodGet || !errors.As(err, &response) {
		return err
	}
	switch response.Code {
	case CodeConflict, CodeNotFound, CodeStoreUnavailable:
		unknown := *response
		unknown.Code = CodeUnknownOutcome
		unknown.Message = "an earlier attempt may have been accepted, but its response was lost; the last attempt failed: " + response.Message
		return &unknown
	}
	return err
}

func (c *Client) send(ctx context.Context, base, method, path string, header http.Header, body []byte, response any) error {
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
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return &UnreachableError{URL: base, MaybeSent: !isDialError(err), Cause: err}
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return &UnreachableError{URL: base, MaybeSent: true, Cause: err}
	}
	if httpResponse.StatusCode == http.StatusOK {
		return decodeResponse(base, data, response)
	}
	failure := &ErrorResponse{}
	if err := decodeResponse(base, data, failure); err != nil {
		return err
	}
	return failure
}

// isDialError reports whether no connection was established, so that nothing
// was sent.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func decodeResponse(base string, data []byte, response any) error {
	if err := json.Unmarshal(data, response); err != nil {
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
