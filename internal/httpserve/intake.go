package httpserve

import (
	"fmt"
	"math"
	"net"
	"sync"
	"time"
)

// intake counts what the connections of a server's clients make the process hold, and keeps
// it within limits: it closes the connection that costs most, of equals the oldest one, as
// long as its request is not whole. A limit that turned away the next one instead would shut
// all others out for as long as a few clients stay.
type intake struct {
	maxConnections int
	// maxBytes bounds the estimated memory of all connections, zero for no limit.
	maxBytes int64
	onClosed func(Closing)

	mu       sync.Mutex
	bytes    int64
	accounts map[*account]struct{}
}

// account is what one connection makes the process hold.
type account struct {
	conn  net.Conn
	bytes int64
	// since is when the connection was opened or its last request was answered.
	since time.Time
	// whole is set from when the request has arrived as a whole until it is answered.
	whole bool
	// gone is set when the connection was closed to make room for others.
	gone bool
}

// ClosingReason is why a client's connection was closed or its request refused.
type ClosingReason string

// The reasons.
const (
	// ClosingForMemory and ClosingForConnection: room was needed for another connection.
	ClosingForMemory     ClosingReason = "memory"
	ClosingForConnection ClosingReason = "connections"
	// ClosingForHeader: the header was over its limit.
	ClosingForHeader ClosingReason = "header too large"
	// RefusedForMemory: no connection could be closed to make room for a request.
	RefusedForMemory ClosingReason = "no memory"
)

// Closing describes a connection that was closed, or a request refused, for what it would
// have made the process hold.
type Closing struct {
	Reason ClosingReason
	Client string
	// Bytes is what the connection held by estimate, Total what all of them did, and Open
	// how many there were.
	Bytes, Total int64
	Open         int
	// Age is the time since the connection was opened or its last request answered.
	Age time.Duration
}

// NoMemoryError reports a request that is refused because the process has no memory for it.
// Nothing of it was done.
type NoMemoryError struct{ Bytes int64 }

func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for a request: %d bytes more are needed", e.Bytes)
}

// ConnectionClosedError reports a request whose connection was closed to make room for others.
type ConnectionClosedError struct{ Client string }

func (e *ConnectionClosedError) Error() string {
	return "the connection of " + e.Client + " was closed to make room for others"
}

func newIntake(limits Limits) *intake {
	return &intake{maxConnections: limits.MaxConnections, maxBytes: limits.MaxBytes, onClosed: limits.OnClosed, accounts: make(map[*account]struct{})}
}

// open counts a connection and returns its account, or nil if there is no room for it.
func (i *intake) open(conn net.Conn) *account {
	a := &account{conn: conn, since: time.Now()}
	closed, fits := i.place(a)
	i.report(closed)
	if !fits {
		return nil
	}
	return a
}

// place adds an account, closing others as far as it is needed, and reports whether there is
// room for it.
func (i *intake) place(a *account) (closed []Closing, fits bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.maxConnections > 0 && len(i.accounts) >= i.maxConnections {
		costliest := i.costliest()
		if costliest == nil {
			return nil, false
		}
		closed = i.closeAccount(costliest, ClosingForConnection, nil)
	}
	i.accounts[a] = struct{}{}
	closed, fits = i.add(a, connectionBytes, closed)
	if !fits {
		i.remove(a)
	}
	return closed, fits
}

// hold counts bytes more of a connection. It returns *NoMemoryError if there is no room for
// them, and *ConnectionClosedError if the connection was closed meanwhile.
func (i *intake) hold(a *account, bytes int64) error {
	closed, err := i.tryHold(a, bytes)
	i.report(closed)
	return err
}

func (i *intake) tryHold(a *account, bytes int64) ([]Closing, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.gone {
		return nil, &ConnectionClosedError{clientAddress(a.conn)}
	}
	closed, fits := i.add(a, bytes, nil)
	if !fits {
		return append(closed, i.describe(a, RefusedForMemory)), &NoMemoryError{bytes}
	}
	return closed, nil
}

// settle records that the request of a connection has arrived as a whole: the connection is
// not closed before the request is answered. It returns *ConnectionClosedError if it was closed
// before.
func (i *intake) settle(a *account) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.gone {
		return &ConnectionClosedError{clientAddress(a.conn)}
	}
	a.whole = true
	return nil
}

// answering records that an answer is being written: the connection may be closed again, so
// that clients that read no answers do not shut others out.
func (i *intake) answering(a *account) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.whole = false
}

// next releases what a connection's answered request held.
func (i *intake) next(a *account) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.gone {
		return
	}
	i.bytes -= a.bytes - connectionBytes
	a.bytes, a.whole, a.since = connectionBytes, false, time.Now()
}

// close releases everything that a connection held.
func (i *intake) close(a *account) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(a)
}

// add counts bytes more for a, closing others as far as it is needed. It reports false, and
// counts nothing, if a itself is the costliest or closing all others would not be enough; then
// it closes none.
func (i *intake) add(a *account, bytes int64, closed []Closing) (all []Closing, fits bool) {
	limit := i.limitFor(a.bytes + bytes)
	if i.bytes+bytes > limit && i.bytes+bytes-i.unfinished(a) > limit {
		return closed, false
	}
	a.bytes += bytes
	i.bytes += bytes
	for i.bytes > limit {
		costliest := i.costliest()
		if costliest == nil || costliest == a {
			a.bytes -= bytes
			i.bytes -= bytes
			return closed, false
		}
		closed = i.closeAccount(costliest, ClosingForMemory, closed)
	}
	return closed, true
}

// limitFor returns the limit of all connections for one that takes so many bytes. Large ones
// leave a share to the others: requests that are whole are not closed, and a few large ones
// after the other would shut out everyone.
func (i *intake) limitFor(bytes int64) int64 {
	switch {
	case i.maxBytes <= 0:
		return math.MaxInt64
	case bytes > ordinaryBytes:
		return i.maxBytes - i.maxBytes/reservedShare
	}
	return i.maxBytes
}

// unfinished returns what the connections but a hold whose requests are not whole.
func (i *intake) unfinished(a *account) (bytes int64) {
	for other := range i.accounts {
		if other != a && !other.whole {
			bytes += other.bytes
		}
	}
	return bytes
}

// costliest returns the connection that holds most among those whose request is not whole,
// of equals the oldest one, nil without any.
func (i *intake) costliest() *account {
	var costliest *account
	for a := range i.accounts {
		switch {
		case a.whole:
		case costliest == nil, a.bytes > costliest.bytes, a.bytes == costliest.bytes && a.since.Before(costliest.since):
			costliest = a
		}
	}
	return costliest
}

func (i *intake) closeAccount(a *account, reason ClosingReason, closed []Closing) []Closing {
	closed = append(closed, i.describe(a, reason))
	i.remove(a)
	a.gone = true
	// The client is not there any more if closing fails.
	_ = a.conn.Close()
	return closed
}

func (i *intake) remove(a *account) {
	if _, ok := i.accounts[a]; ok {
		i.bytes -= a.bytes
		delete(i.accounts, a)
	}
}

func (i *intake) describe(a *account, reason ClosingReason) Closing {
	return Closing{Reason: reason, Client: clientAddress(a.conn), Bytes: a.bytes, Total: i.bytes, Open: len(i.accounts), Age: time.Since(a.since)}
}

func (i *intake) report(closed []Closing) {
	if i.onClosed == nil {
		return
	}
	for _, c := range closed {
		i.onClosed(c)
	}
}

// reportHeader reports a header over its limit.
func (i *intake) reportHeader(a *account) {
	i.report([]Closing{i.described(a, ClosingForHeader)})
}

func (i *intake) described(a *account, reason ClosingReason) Closing {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.describe(a, reason)
}
