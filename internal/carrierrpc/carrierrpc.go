// Package carrierrpc carries exchanges between a pool's holder and its carriers.
package carrierrpc

import (
	"context"
	"errors"
	"net"
	"net/http"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/carrierrpc/carrierpb"
	"auburnglade.example/glade/internal/clientcache"
)

const (
	// connections is the most we open to one entry host: each pool held here
	// has two exchanges with it at a time.
	connections = 8
	// bufferBytes is the read and write buffer of one connection.
	bufferBytes = 8 << 10
)

// PathPrefix is where the handler has to be mounted.
const PathPrefix = carrierpb.CarriersPathPrefix

// Service is what an entry host does as a carrier.
type Service interface {
	Exchange(ctx context.Context, session string, calls []carrier.Call) []carrier.Reply
}

// NewHandler serves a Service.
func NewHandler(service Service) http.Handler {
	return carrierpb.NewCarriersServer(&server{service})
}

type server struct{ service Service }

// Exchange implements carrierpb.Carriers.
func (s *server) Exchange(ctx context.Context, r *carrierpb.ExchangeRequest) (*carrierpb.ExchangeReply, error) {
	calls := make([]carrier.Call, 0, len(r.Calls))
	for _, c := range r.Calls {
		calls = append(calls, callOf(c))
	}
	replies := s.service.Exchange(ctx, r.Session, calls)
	reply := &carrierpb.ExchangeReply{Replies: make([]*carrierpb.Reply, 0, len(replies))}
	for i := range replies {
		reply.Replies = append(reply.Replies, encodeReply(&replies[i]))
	}
	return reply, nil
}

// Client asks carriers.
type Client struct {
	peers *clientcache.Cache[carrierpb.Carriers]
}

var _ carrier.Peers = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{clientcache.New(clientcache.Config{Connections: connections, BufferBytes: bufferBytes}, func(url string, over *http.Client) carrierpb.Carriers {
		return carrierpb.NewCarriersProtobufClient(url, over)
	})}
}

// Exchange implements carrier.Peers.
func (c *Client) Exchange(ctx context.Context, address, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	request := &carrierpb.ExchangeRequest{Session: session, Calls: make([]*carrierpb.Call, 0, len(calls))}
	for i := range calls {
		request.Calls = append(request.Calls, encodeCall(&calls[i]))
	}
	reply, err := c.peers.Get(address).Exchange(ctx, request)
	if err != nil {
		if neverLeft(err) {
			return nil, &carrier.UnsentError{Address: address, Cause: err}
		}
		return nil, err
	}
	replies := make([]carrier.Reply, 0, len(reply.Replies))
	for _, r := range reply.Replies {
		replies = append(replies, replyOf(r))
	}
	return replies, nil
}

// neverLeft tells apart a connection that was never opened, over which nothing
// can have been sent.
func neverLeft(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
