package emulate

import (
	"context"
	"net"
	"sync"
	"time"

	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

// chunkBytes is how much of a connection's data takes its turn on a link at once.
const chunkBytes = 4 << 10

// dialTimeout bounds opening a connection over a link that is cut.
const dialTimeout = 300 * time.Millisecond

// Link is the network link of an entry host. All of its connections share it.
type Link struct {
	up, down lane

	mu sync.Mutex
	// healed is closed when the link is whole again, nil while it is.
	healed chan struct{}
}

// Cut holds up all that is sent to other entry hosts and by them, until it is healed.
// Connections are silent meanwhile.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

// Heal ends a cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// awaitWhole waits until the link isn't cut or given is closed. It returns false for the
// latter.
func (l *Link) awaitWhole(given <-chan struct{}) bool {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-given:
			return false
		}
	}
}

// lane is one direction of a link.
type lane struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when all data that has been taken on is through, bytes how much that was.
	free  time.Time
	bytes int64
}

// reserve takes data on and returns when it is through.
func (l *lane) reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.bytes += int64(bytes)
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.free
}

// Received returns how many bytes the entry host has received.
func (l *Link) Received() int64 {
	l.down.mu.Lock()
	defer l.down.mu.Unlock()
	return l.down.bytes
}

// Links connects entry hosts over links of limited bandwidth in virtual time, for tests
// of what is sent between processes as it is encoded.
type Links struct {
	mu        sync.Mutex
	links     map[string]*Link
	listeners map[string]*linkListener
}

// NewLinks returns links without entry hosts.
func NewLinks() *Links {
	return &Links{links: make(map[string]*Link), listeners: make(map[string]*linkListener)}
}

// Add adds the link of an entry host with a bandwidth in Mbit/s.
func (l *Links) Add(address string, mbps float64) *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytesPerSecond := mbps * 1e6 / 8
	link := &Link{up: lane{bytesPerSecond: bytesPerSecond}, down: lane{bytesPerSecond: bytesPerSecond}}
	l.links[address] = link
	return link
}

// Link returns the link of an entry host.
func (l *Links) Link(address string) *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[address]
}

// Listen returns a listener for connections to an entry host.
func (l *Links) Listen(address string) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener := &linkListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	l.listeners[address] = listener
	return listener
}

// Dialer returns the function with which an entry host opens connections to others.
func (l *Links) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = host
		}
		l.mu.Lock()
		listener, caller, callee := l.listeners[address], l.links[from], l.links[address]
		l.mu.Unlock()
		if listener == nil {
			return nil, &net.OpError{Op: "dial", Err: UnreachableError{address}}
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if !caller.awaitWhole(ctx.Done()) || !callee.awaitWhole(ctx.Done()) {
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		near, far := net.Pipe()
		select {
		case listener.accepted <- newLinkConn(far, callee, caller):
			return newLinkConn(near, caller, callee), nil
		case <-listener.closed:
			return nil, &net.OpError{Op: "dial", Err: UnreachableError{address}}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	}
}

// linkListener accepts connections to one entry host.
type linkListener struct {
	accepted chan net.Conn
	closing  sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *linkListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *linkListener) Addr() net.Addr { return &net.TCPAddr{} }

// linkConn is one end of a connection.
type linkConn struct {
	net.Conn
	near, far *Link
	closing   sync.Once
	closed    chan struct{}
}

func newLinkConn(conn net.Conn, near, far *Link) *linkConn {
	return &linkConn{Conn: conn, near: near, far: far, closed: make(chan struct{})}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		if !c.near.awaitWhole(c.closed) || !c.far.awaitWhole(c.closed) {
			return written, net.ErrClosed
		}
		chunk := p[:min(len(p), chunkBytes)]
		up, down := c.near.up.reserve(len(chunk)), c.far.down.reserve(len(chunk))
		time.Sleep(max(time.Until(up), time.Until(down)))
		var n int
		n, err = c.Conn.Write(chunk)
		written += n
		p = p[n:]
	}
	return written, err
}

// LinkedStore is a store whose answers arrive over an entry host's link.
type LinkedStore struct {
	store.Transactor
	Link *Link
}

// List implements store.Store.
func (s LinkedStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	listing, err := s.Transactor.List(ctx, prefix)
	for _, entry := range listing.Entries {
		s.receive(ctx, entry)
	}
	return listing, err
}

// Watch implements store.Store.
func (s LinkedStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	batch, err := s.Transactor.Watch(ctx, prefix, after)
	for _, event := range batch.Events {
		s.receive(ctx, event.Entry)
	}
	return batch, err
}

// receive waits until an entry has arrived. The store encodes values in base64.
func (s LinkedStore) receive(ctx context.Context, entry store.Entry) {
	for left := len(entry.Key) + len(entry.Value)*4/3; left > 0; left -= chunkBytes {
		time.Sleep(time.Until(s.Link.down.reserve(min(left, chunkBytes))))
		progress.Made(ctx)
	}
}
