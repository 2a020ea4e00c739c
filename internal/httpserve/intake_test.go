package httpserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// opened returns an intake with connections that hold so many bytes more than an open one.
func opened(t *testing.T, limits Limits, held ...int64) (*intake, []*account) {
	t.Helper()
	i := newIntake(limits)
	var accounts []*account
	for n, bytes := range held {
		a := i.open(addressedConn{fmt.Sprintf("10.0.0.%d", n+1)})
		must.NotNil(t, a)
		a.since = time.Unix(int64(n), 0)
		must.NoError(t, i.hold(a, bytes))
		accounts = append(accounts, a)
	}
	return i, accounts
}

func mustBeClosed(t *testing.T, err error) {
	t.Helper()
	var closed *ConnectionClosedError
	must.True(t, errors.As(err, &closed))
}

// Guards against a few clients that keep all memory and shut the others out: the connection
// that holds most gives way, not the one that asks next.
func TestCostliestConnectionGivesWay(t *testing.T) {
	var closed []Closing
	limits := Limits{MaxBytes: 3*connectionBytes + 1000, OnClosed: func(c Closing) { closed = append(closed, c) }}
	i, accounts := opened(t, limits, 300, 500, 100)
	must.NoError(t, i.hold(accounts[2], 150))
	must.EqOp(t, 1, len(closed))
	must.EqOp(t, "10.0.0.2", closed[0].Client)
	must.EqOp(t, ClosingForMemory, closed[0].Reason)
	mustBeClosed(t, i.hold(accounts[1], 1))
	must.EqOp(t, int64(2*connectionBytes+550), i.bytes)
}

// Guards against a client that takes the place of all others with one large request.
func TestCostliestConnectionIsRefusedItself(t *testing.T) {
	i, accounts := opened(t, Limits{MaxBytes: 2*connectionBytes + 1000}, 300, 500)
	var noMemory *NoMemoryError
	must.True(t, errors.As(i.hold(accounts[1], 300), &noMemory))
	must.EqOp(t, int64(300), noMemory.Bytes)
	must.NoError(t, i.hold(accounts[0], 100))
	must.EqOp(t, int64(2*connectionBytes+900), i.bytes)
}

// Guards against a submission whose connection is closed while it is under way: the client
// would take it for one that nobody has.
func TestWholeRequestKeepsItsConnection(t *testing.T) {
	i, accounts := opened(t, Limits{MaxBytes: 2*connectionBytes + 1000}, 600, 300)
	must.NoError(t, i.settle(accounts[0]))
	var noMemory *NoMemoryError
	must.True(t, errors.As(i.hold(accounts[1], 200), &noMemory))
	must.NoError(t, i.hold(accounts[0], 400))
	mustBeClosed(t, i.settle(accounts[1]))
}

// Guards against clients that read no answers and keep their connections for good.
func TestAnsweredRequestGivesWay(t *testing.T) {
	i, accounts := opened(t, Limits{MaxConnections: 1}, 600)
	must.NoError(t, i.settle(accounts[0]))
	must.Nil(t, i.open(addressedConn{"10.0.1.1"}))
	i.answering(accounts[0])
	must.NotNil(t, i.open(addressedConn{"10.0.1.1"}))
	must.True(t, accounts[0].gone)
}

// Guards against whole large requests, one after the other, that leave no memory for ordinary
// ones: none of them may be closed.
func TestLargeRequestsLeaveMemoryToOrdinaryOnes(t *testing.T) {
	const limit = 4 << 20
	i, accounts := opened(t, Limits{MaxBytes: limit}, 1<<20, 1<<20, 500_000, 0)
	for _, a := range accounts[:3] {
		must.NoError(t, i.settle(a))
	}
	var noMemory *NoMemoryError
	must.True(t, errors.As(i.hold(accounts[2], 800_000), &noMemory))
	must.NoError(t, i.settle(accounts[3]))
	must.NoError(t, i.hold(accounts[3], ordinaryBytes-connectionBytes))
	must.LessEq(t, int64(limit), i.bytes)
}

// Of connections that hold the same, the one that has been there longest without a request
// gives way.
func TestOldestOfEqualConnectionsGivesWay(t *testing.T) {
	i, accounts := opened(t, Limits{MaxConnections: 3}, 0, 0, 0)
	i.next(accounts[0])
	must.NotNil(t, i.open(addressedConn{"10.0.1.1"}))
	must.False(t, accounts[0].gone)
	must.True(t, accounts[1].gone)
}

// What a request held is free again once it is answered or its connection closed.
func TestAnsweredRequestHoldsNothing(t *testing.T) {
	i, accounts := opened(t, Limits{MaxBytes: 1 << 20}, 600, 300)
	i.next(accounts[0])
	must.EqOp(t, int64(2*connectionBytes+300), i.bytes)
	i.close(accounts[1])
	i.close(accounts[1])
	must.EqOp(t, int64(connectionBytes), i.bytes)
}

// The estimates of what a connection and a header hold are not below what they do hold.
func TestEstimatesCoverWhatHeadersHold(t *testing.T) {
	const count, lines = 100, 3000
	entered, leave := make(chan struct{}), make(chan struct{})
	defer close(leave)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
		runtime.KeepAlive(r)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	limited := newLimitedListener(listener, Limits{MaxBytes: 1 << 40})
	server := &http.Server{Handler: countRequests(handler), ConnContext: withClient, ConnState: onState}
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	var header strings.Builder
	for n := range lines {
		fmt.Fprintf(&header, "%x:\r\n", n)
	}
	before := liveBytes()
	for range count {
		conn := dial(t, listener.Addr().String())
		go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+header.String()+"\r\n") }()
		<-entered
	}
	limited.intake.mu.Lock()
	counted := limited.intake.bytes
	limited.intake.mu.Unlock()
	must.LessEq(t, counted, liveBytes()-before)
}

// liveBytes returns the bytes that live on the heap and on stacks.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against an empty line before the first request that is taken for a malformed one.
func TestEmptyLinesBeforeTheFirstRequestAreDropped(t *testing.T) {
	conn := dial(t, startLimited(t, Limits{}))
	for _, part := range []string{"\r\n", "\r\n\nGET / HTTP/1.1\r\n", "Host: x\r\n", "\r\n"} {
		_, err := io.WriteString(conn, part)
		must.NoError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusNoContent, response.StatusCode)
	must.NoError(t, response.Body.Close())
}

// Guards against a limit of headers that the operator lowers and that is not followed, and
// against one that cuts off requests that were read ahead.
func TestCurrentLimitOfHeadersIsFollowed(t *testing.T) {
	limit := 1 << 10
	conn := dial(t, startLimited(t, Limits{CurrentMaxHeaderBytes: func() int { return limit }}))
	request := "GET / HTTP/1.1\r\nHost: x\r\nFill: " + strings.Repeat("x", 900) + "\r\n\r\n"
	const pipelined = 20
	_, err := io.WriteString(conn, strings.Repeat(request, pipelined))
	must.NoError(t, err)
	answers := bufio.NewReader(conn)
	for range pipelined {
		response, err := http.ReadResponse(answers, nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusNoContent, response.StatusCode)
		must.NoError(t, response.Body.Close())
	}
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nFill: "+strings.Repeat("x", 6<<10)+"\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(answers, nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	must.NoError(t, response.Body.Close())
}

// Guards against a body that stops short of its end and keeps what it has sent for good.
func TestBodyThatStopsIsEnded(t *testing.T) {
	read := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
		w.WriteHeader(http.StatusRequestTimeout)
	})
	conn := dial(t, startHandler(t, handler, Limits{RequestTimeout: 100 * time.Millisecond}))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123456789")
	must.NoError(t, err)
	must.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusRequestTimeout, response.StatusCode)
	must.NoError(t, response.Body.Close())
}

// Guards against a client that reads no response and keeps its request at work for good.
func TestUnreadResponseEndsItsConnection(t *testing.T) {
	ended := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for part := make([]byte, 1<<20); ; {
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
	})
	conn := dial(t, startHandler(t, handler, Limits{WriteTimeout: 100 * time.Millisecond}))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	must.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
}

// Guards against an answer that its client loses, since the connection is reset behind it:
// the server ends its side first and lets the client read.
func TestRefusedBodyEndsTheAnswerBeforeTheConnection(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10))
		var tooLarge *http.MaxBytesError
		must.True(t, errors.As(err, &tooLarge))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	conn := dial(t, startHandler(t, handler, Limits{}))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 60_000))
	must.NoError(t, err)
	answers, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrContains(t, string(answers), "413")
}
