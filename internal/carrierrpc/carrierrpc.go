// Package carrierrpc implements the RPC transport between a pool's holder and its
// carriers.
package carrierrpc

import (
	"context"
	"net/http"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/carrierrpc/carrierpb"
	"auburnglade.example/glade/internal/clientcache"
)

const (
	// connections bounds the connections to one entry host: each pool held here
	// has up to two concurrent exchanges with it.
	connections = 8
	// bufferBytes is the size of a connection's read buffer and of its write
	// buffer.
	bufferBytes = 8 << 10
)

// PathPrefix is the URL path prefix at which the handler must be mounted.
const PathPrefix = carrierpb.CarriersPathPrefix

// Service is the server side of an exchange; see carrier.Server.
type Service interface {
	Exchange(ctx context.Context, session string, calls []carrier.Call) []carrier.Reply
}

// NewHandler returns the HTTP handler of a Service.
func NewHandler(service Service) http.Handler {
	return carrierpb.NewCarriersServer(&server{service})
}

type server struct{ service Service }

// Exchange implements carrierpb.Carriers.
func (s *server) Exchange(ctx context.Context, r *carrierpb.ExchangeRequest) (*carrierpb.ExchangeReply, error) {
	calls := make([]carrier.Call, 0, len(r.Calls))
	for _, c := range r.Calls {
		calls = append(calls, decodeCall(c, carrier.ClockID(r.Clock)))
	}
	replies := s.service.Exchange(ctx, r.Session, calls)
	reply := &carrierpb.ExchangeReply{Replies: make([]*carrierpb.Reply, 0, len(replies))}
	for i := range replies {
		reply.Replies = append(reply.Replies, encodeReply(&replies[i]))
	}
	return reply, nil
}

// Client is the RPC client for carriers.
type Client struct {
	peers *clientcache.Cache[carrierpb.Carriers]
}

var _ carrier.Peers = (*Client)(nil)

// NewClient returns a client without connections, which it opens with dial.
func NewClient(dial clientcache.Dialer) *Client {
	return &Client{clientcache.New(clientcache.Config{Dial: dial, MaxConnections: connections, BufferBytes: bufferBytes}, func(url string, httpClient *http.Client) carrierpb.Carriers {
		return carrierpb.NewCarriersProtobufClient(url, httpClient)
	})}
}

// Exchange implements carrier.Peers.
func (c *Client) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	request := &carrierpb.ExchangeRequest{Session: session, Calls: make([]*carrierpb.Call, 0, len(calls))}
	for i := range calls {
		// All calls of an exchange are dated by one clock.
		request.Clock = uint32(calls[i].SendBy.Clock)
		request.Calls = append(request.Calls, encodeCall(&calls[i]))
	}
	reply, err := c.peers.Get(address).Exchange(ctx, request)
	if err != nil {
		if clientcache.NotSent(err) {
			return nil, &carrier.UnsentError{Address: address, Cause: err}
		}
		return nil, err
	}
	replies := make([]carrier.Reply, 0, len(reply.Replies))
	for _, r := range reply.Replies {
		replies = append(replies, decodeReply(r))
	}
	return replies, nil
}
