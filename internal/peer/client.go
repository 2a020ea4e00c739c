package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
)

const (
	// callTimeout bounds a call that doesn't wait for news, and what one that
	// does may take on top of its wait.
	callTimeout = time.Second
	// wholeTimeout bounds one page of a snapshot: two megabytes between busy
	// hosts take longer than an answer that there is nothing new.
	wholeTimeout = 5 * time.Second
	// maxPages bounds the pages of one snapshot: far more than the store holds.
	maxPages        = 256
	maxIdlePerPeer  = 2
	idleConnTimeout = 30 * time.Second
)

// Dial returns the peer at an address, IP number and port.
type Dial func(address string) peerpb.Peer

// Client asks peers. What it says of itself with each call, and who hears the
// answers, is a Server's matter.
type Client struct {
	dial   Dial
	server *Server
}

// ClientOption shapes a client.
type ClientOption func(*Client)

// WithServer makes every call carry what server says of its process, and
// tells server what peers say of theirs.
func WithServer(server *Server) ClientOption {
	return func(c *Client) { c.server = server }
}

// WithDial replaces twirp over HTTP.
func WithDial(dial Dial) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithTLSDialer makes the client reach peers over TLS connections that dial makes.
func WithTLSDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) {
		caller := newCaller(&http.Transport{
			DialTLSContext: dial, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout,
		})
		c.dial = func(address string) peerpb.Peer {
			return peerpb.NewPeerProtobufClient("https://"+address, caller)
		}
	}
}

func newCaller(transport *http.Transport) *http.Client {
	return &http.Client{Transport: &boundedTransport{next: transport}}
}

// NewClient returns a client with its own connections.
func NewClient(options ...ClientOption) *Client {
	caller := newCaller(&http.Transport{MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleConnTimeout})
	c := &Client{dial: func(address string) peerpb.Peer {
		return peerpb.NewPeerProtobufClient("http://"+address, caller)
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Exchange asks the process at address which revision it serves. It returns
// twirp's error when the peer can't be asked.
func (c *Client) Exchange(ctx context.Context, address string) (*peerpb.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	presence, err := c.dial(address).Exchange(ctx, c.self())
	c.hear(presence)
	return presence, err
}

// Confirmed asks the process at address which members it knows to serve a
// revision or a later one.
func (c *Client) Confirmed(ctx context.Context, address string, revision store.Revision) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.ConfirmedRequest{From: c.self(), Revision: int64(revision)}
	response, err := c.dial(address).Confirmed(ctx, request)
	if err != nil {
		return nil, err
	}
	c.hear(response.From)
	return response.Members, nil
}

// FetchResult is a peer's answer to Fetch.
type FetchResult struct {
	From *peerpb.Presence
	// Delta is empty, with revision zero, when the peer has nothing newer.
	Delta configstate.Delta
}

// Fetch asks the process at address for what came after a revision and waits
// up to wait for it. A snapshot in several pages is put together. It returns
// twirp's error, or *PagingError.
func (c *Client) Fetch(ctx context.Context, address string, after store.Revision, wait time.Duration) (FetchResult, error) {
	peer := c.dial(address)
	request := &peerpb.FetchRequest{From: c.self(), AfterRevision: int64(after), WaitMs: int32(wait.Milliseconds())}
	response, err := c.fetchOnce(ctx, peer, request, wait)
	if err != nil {
		return FetchResult{}, err
	}
	news := FetchResult{From: response.From}
	if store.Revision(response.Revision) <= after && !response.Whole {
		return news, nil
	}
	news.Delta = decodeDelta(response)
	for pages := 1; response.More; pages++ {
		if pages == maxPages {
			return news, &PagingError{Address: address, Pages: pages}
		}
		request.PageRevision = response.Revision
		request.PageAfterKey = response.Entries[len(response.Entries)-1].Key
		if response, err = c.fetchOnce(ctx, peer, request, 0); err != nil {
			return news, err
		}
		news.Delta = joinPage(news.Delta, decodeDelta(response))
	}
	return news, nil
}

func (c *Client) fetchOnce(ctx context.Context, peer peerpb.Peer, request *peerpb.FetchRequest, wait time.Duration) (*peerpb.FetchResponse, error) {
	timeout := wait + callTimeout
	if wait == 0 {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := peer.Fetch(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.More && len(response.Entries) == 0 {
		return nil, &PagingError{}
	}
	if c.server != nil {
		// The answer itself brings what is newer: no second question is due.
		c.server.learn(response.From)
	}
	return response, nil
}

// joinPage starts again when the peer has moved on to a newer snapshot.
func joinPage(had, page configstate.Delta) configstate.Delta {
	if page.Revision != had.Revision {
		return page
	}
	had.Changes = append(had.Changes, page.Changes...)
	return had
}

func (c *Client) self() *peerpb.Presence {
	if c.server == nil {
		return &peerpb.Presence{}
	}
	return c.server.Presence()
}

func (c *Client) hear(from *peerpb.Presence) {
	if c.server != nil {
		c.server.HandlePresence(from)
	}
}

// PagingError says that a peer's snapshot never came to an end.
type PagingError struct {
	Address string
	Pages   int
}

func (e *PagingError) Error() string { return "peer " + e.Address + ": snapshot without an end" }

// boundedTransport bounds what is read of one answer, so that no peer fills
// this process's memory.
type boundedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err == nil {
		response.Body = boundedBody{io.LimitReader(response.Body, maxResponseBytes), response.Body}
	}
	return response, err
}

type boundedBody struct {
	io.Reader
	io.Closer
}
