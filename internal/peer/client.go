package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

const (
	// callTimeout limits a call that does not wait for a change, and what a waiting call
	// may take in addition to its wait until the first of its response, and for more.
	callTimeout = time.Second
	// pageTimeout limits each wait for more of a page of a snapshot, which takes a busy
	// host longer to prepare than a response without changes.
	pageTimeout = 5 * time.Second
	// maxPages limits the pages of one snapshot, far above what the store can
	// hold.
	maxPages        = 256
	maxIdlePerPeer  = 2
	idleConnTimeout = 30 * time.Second
)

// Dial returns the peer at an address, an IP address with a port.
type Dial func(address string) peerpb.Peer

// Client calls peers. With a Server, each call carries the state of this
// process, and the server receives the presence in each response.
type Client struct {
	dial   Dial
	server *Server
}

// ClientOption configures a client.
type ClientOption func(*Client)

// WithServer makes every call carry server's presence, and passes the peers'
// presence to server.
func WithServer(server *Server) ClientOption {
	return func(c *Client) { c.server = server }
}

// WithDial replaces twirp over HTTP.
func WithDial(dial Dial) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithTLSDialer makes the client connect to peers over TLS connections opened
// by dial.
func WithTLSDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) {
		httpClient := newHTTPClient(&http.Transport{
			DialTLSContext: dial, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout,
		})
		c.dial = func(address string) peerpb.Peer {
			return peerpb.NewPeerProtobufClient("https://"+address, httpClient)
		}
	}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: &boundedTransport{next: transport}}
}

// NewClient returns a client with its own connections.
func NewClient(options ...ClientOption) *Client {
	httpClient := newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout})
	c := &Client{dial: func(address string) peerpb.Peer {
		return peerpb.NewPeerProtobufClient("http://"+address, httpClient)
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Exchange exchanges presence with the process at address. It returns twirp's
// error when the call fails.
func (c *Client) Exchange(ctx context.Context, address string) (*peerpb.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	presence, err := c.dial(address).Exchange(ctx, c.ownPresence())
	c.handlePresence(presence)
	return presence, err
}

// Confirmed returns the members that, as far as the process at address has
// recorded, serve a revision or a later one.
func (c *Client) Confirmed(ctx context.Context, address string, revision store.Revision) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.ConfirmedRequest{From: c.ownPresence(), Revision: int64(revision)}
	response, err := c.dial(address).Confirmed(ctx, request)
	if err != nil {
		return nil, err
	}
	c.handlePresence(response.From)
	return response.Members, nil
}

// FetchResult is a peer's response to Fetch.
type FetchResult struct {
	From *peerpb.Presence
	// Delta is empty, with revision zero, when the peer has nothing newer.
	Delta configstate.Delta
}

// Fetch requests the changes after a revision from the process at address and
// waits up to wait for them. It joins a snapshot that spans several pages. It
// returns twirp's error, or *PagingError.
func (c *Client) Fetch(ctx context.Context, address string, after store.Revision, wait time.Duration) (FetchResult, error) {
	peer := c.dial(address)
	request := &peerpb.FetchRequest{From: c.ownPresence(), AfterRevision: int64(after), WaitMs: int32(wait.Milliseconds())}
	response, err := c.fetchOnce(ctx, peer, request, wait)
	if err != nil {
		return FetchResult{}, err
	}
	result := FetchResult{From: response.From}
	if store.Revision(response.Revision) <= after && !response.Whole {
		return result, nil
	}
	result.Delta = decodeDelta(response)
	for pages := 1; response.More; pages++ {
		if pages == maxPages {
			return result, &PagingError{Address: address, Pages: pages}
		}
		request.PageRevision = response.Revision
		request.PageAfterKey = response.Entries[len(response.Entries)-1].Key
		if response, err = c.fetchOnce(ctx, peer, request, 0); err != nil {
			return result, err
		}
		result.Delta = joinPage(result.Delta, decodeDelta(response))
	}
	return result, nil
}

func (c *Client) fetchOnce(ctx context.Context, peer peerpb.Peer, request *peerpb.FetchRequest, wait time.Duration) (*peerpb.FetchResponse, error) {
	timeout := wait + callTimeout
	if wait == 0 {
		timeout = pageTimeout
	}
	ctx, cancel := progress.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := peer.Fetch(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.More && len(response.Entries) == 0 {
		return nil, &PagingError{}
	}
	if c.server != nil {
		// The response itself carries the newer configuration: no second fetch
		// is needed.
		c.server.recordPresence(response.From)
	}
	return response, nil
}

// joinPage appends a page, or starts again when the peer has changed to a newer
// snapshot.
func joinPage(full, page configstate.Delta) configstate.Delta {
	if page.Revision != full.Revision {
		return page
	}
	full.Changes = append(full.Changes, page.Changes...)
	return full
}

func (c *Client) ownPresence() *peerpb.Presence {
	if c.server == nil {
		return &peerpb.Presence{}
	}
	return c.server.Presence()
}

func (c *Client) handlePresence(from *peerpb.Presence) {
	if c.server != nil {
		c.server.HandlePresence(from)
	}
}

// PagingError reports that a peer's snapshot exceeded the page limit or had an
// empty page.
type PagingError struct {
	Address string
	Pages   int
}

func (e *PagingError) Error() string {
	return "peer " + e.Address + ": snapshot paging did not complete"
}

// boundedTransport limits the size of a response, so that no peer can exhaust
// this process's memory.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err == nil {
		body := &progress.Reader{Context: request.Context(), Reader: io.LimitReader(response.Body, maxResponseBytes)}
		response.Body = boundedBody{body, response.Body}
	}
	return response, err
}

type boundedBody struct {
	io.Reader
	io.Closer
}
