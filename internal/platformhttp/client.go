package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/store"
)

// maxResponseBytes bounds the size of one response, such as a listing of many
// values.
const maxResponseBytes = 256 << 20

// callTimeout bounds every call other than a watch.
const callTimeout = 5 * time.Second

// watchTimeout bounds one watch. The platform normally responds earlier.
const watchTimeout = 60 * time.Second

// Client calls the platform at one base URL. It implements store.Store,
// fleet.HostList, fleet.HostControl and fleet.Workers.
type Client struct {
	base string
	http *http.Client

	mu        sync.Mutex
	hostCache listedHosts
}

var (
	_ store.Store       = (*Client)(nil)
	_ fleet.HostList    = (*Client)(nil)
	_ fleet.HostControl = (*Client)(nil)
	_ fleet.Workers     = (*Client)(nil)
)

// NewClient returns a client of the platform at the URL base, such as
// "http://127.0.0.1:7400".
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry store.Entry
	err := c.read(ctx, pathGet, keyRequest{Key: key}, &entry)
	return entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	var listing store.Listing
	err := c.read(ctx, pathList, prefixRequest{Prefix: prefix}, &listing)
	return listing, err
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if len(write.Value) > store.MaxValueBytes {
		return 0, &store.ValueTooLargeError{Key: write.Key, Bytes: len(write.Value)}
	}
	var result revisionResponse
	err := c.write(ctx, pathSwap, write, &result)
	return result.Revision, err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	var batch store.WatchBatch
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, err := c.call(ctx, pathWatch, prefixRequest{Prefix: prefix, After: after}, &batch)
	return batch, err
}

// Grant implements store.Store. It may be repeated if its response is lost,
// because the lost lease expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	var lease store.Lease
	err := c.read(ctx, pathGrant, leaseRequest{TTL: ttl}, &lease)
	return lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	var lease store.Lease
	err := c.read(ctx, pathKeepAlive, leaseRequest{ID: id}, &lease)
	return lease, err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.write(ctx, pathRevoke, leaseRequest{ID: id}, &empty{})
}

// Condition implements fleet.HostControl.
func (c *Client) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	var condition fleet.HostCondition
	err := c.read(ctx, pathCondition, hostRequest{Host: host}, &condition)
	return condition, err
}

// Drain implements fleet.HostControl.
func (c *Client) Drain(ctx context.Context, host, operation string) error {
	return c.hostCall(ctx, pathDrain, host, hostRequest{Host: host, Operation: operation})
}

// Undrain implements fleet.HostControl.
func (c *Client) Undrain(ctx context.Context, host, operation string) error {
	return c.hostCall(ctx, pathUndrain, host, hostRequest{Host: host, Operation: operation})
}

// Reboot implements fleet.HostControl.
func (c *Client) Reboot(ctx context.Context, host, operation string) error {
	return c.hostCall(ctx, pathReboot, host, hostRequest{Host: host, Operation: operation})
}

// Start implements fleet.Workers.
func (c *Client) Start(ctx context.Context, host string, task fleet.Task) error {
	return c.hostCall(ctx, pathStart, host, taskRequest{Host: host, Task: task})
}

// Renew implements fleet.Workers.
func (c *Client) Renew(ctx context.Context, host string, taskIDs []string, ttl time.Duration) error {
	return c.hostCall(ctx, pathRenew, host, taskRequest{Host: host, IDs: taskIDs, TTL: ttl})
}

// Checkpoint implements fleet.Workers.
func (c *Client) Checkpoint(ctx context.Context, host, taskID string) error {
	return c.hostCall(ctx, pathCheckpoint, host, taskRequest{Host: host, TaskID: taskID})
}

// Throttle implements fleet.Workers.
func (c *Client) Throttle(ctx context.Context, host, taskID string, on bool) error {
	return c.hostCall(ctx, pathThrottle, host, taskRequest{Host: host, TaskID: taskID, On: on})
}

// Stop implements fleet.Workers.
func (c *Client) Stop(ctx context.Context, host, taskID string) error {
	return c.hostCall(ctx, pathStop, host, taskRequest{Host: host, TaskID: taskID})
}

// Reports implements fleet.Workers.
func (c *Client) Reports(ctx context.Context, host string) ([]fleet.TaskReport, error) {
	var reports []fleet.TaskReport
	err := c.read(ctx, pathReports, hostRequest{Host: host}, &reports)
	return reports, err
}

func (c *Client) read(ctx context.Context, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.call(ctx, path, request, result)
	return err
}

// write returns *store.UnknownOutcomeError for every failure after which the
// platform may have executed the request. Otherwise a lost response would look as
// if nothing had been written, and the caller's retry would conflict with its own
// first write.
func (c *Client) write(ctx context.Context, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, err := c.call(ctx, path, request, result)
	if err != nil && sent {
		return &store.UnknownOutcomeError{Op: path, Cause: err}
	}
	return err
}

func (c *Client) hostCall(ctx context.Context, path, host string, request any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, err := c.call(ctx, path, request, &empty{})
	if err != nil && sent {
		return &fleet.UnreachableError{Op: path, Host: host, MaybeSent: true, Cause: err}
	}
	return err
}

// call sends one request and decodes the response into result. sent reports
// whether the platform may have executed the request without its response having
// been received completely.
func (c *Client) call(ctx context.Context, path string, request, result any) (sent bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, &store.UnavailableError{Op: path, Cause: err}
	}
	// Without a connection nothing was sent. The error is then "unavailable"
	// rather than "unknown", and the caller need not read the key again.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return false, &store.UnavailableError{Op: path, Cause: err}
	}
	// Without GetBody the transport never resends the request by itself.
	httpRequest.GetBody = nil
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return connected.Load(), &store.UnavailableError{Op: path, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return true, &store.UnavailableError{Op: path, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return false, decodeError(path, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return true, &store.UnavailableError{Op: path, Cause: err}
	}
	return false, nil
}

func decodeError(path string, data []byte) error {
	var failure errorResponse
	if err := json.Unmarshal(data, &failure); err != nil {
		return &store.UnavailableError{Op: path, Cause: err}
	}
	return failure.decode(path)
}
