package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/outcome"
	"auburnglade.example/glade/internal/store/memstore"
)

func TestForwardsBodiesOfEverySize(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Known") != "" {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		_, _ = w.Write(body)
	})
	g := startGateway(t, address)
	for _, size := range []int{0, 1, smallBody - 1, smallBody, smallBody + 1, largeBuffer - 1, largeBuffer, largeBuffer + 1, 3 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, lengthKnown := range []bool{true, false} {
			var source io.Reader = bytes.NewReader(body)
			if !lengthKnown {
				source = io.MultiReader(source)
			}
			request, err := http.NewRequest(http.MethodPost, g.server.URL+"/offers/echo", source)
			must.NoError(t, err)
			if lengthKnown {
				request.Header.Set("X-Known", "1")
			}
			response, err := g.client.Do(request)
			must.NoError(t, err)
			got, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			wantOutcome(t, response, outcome.Answered, "")
			must.True(t, bytes.Equal(body, got), must.Sprintf("size %d, known length %t", size, lengthKnown))
		}
	}
}

func TestTrailersAreForwardedBothWays(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "whole")
		w.(http.Flusher).Flush()
		w.Header().Set("X-Sum", r.Trailer.Get("X-Request-Sum"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "late")
	})
	g := startGateway(t, address)
	request, err := http.NewRequest(http.MethodPost, g.server.URL+"/offers/sum", io.MultiReader(strings.NewReader("body")))
	must.NoError(t, err)
	request.Trailer = http.Header{"X-Request-Sum": {"42"}}
	response, err := g.client.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	must.EqOp(t, "whole", readAll(t, response))
	must.EqOp(t, "42", response.Trailer.Get("X-Sum"))
	must.EqOp(t, "late", response.Trailer.Get("X-Late"))
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var seen http.Header
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Connection", "X-Private-Answer")
		w.Header().Set("X-Private-Answer", "1")
		w.Header().Set(outcome.ReasonHeader, "forged")
		w.Header().Set(outcome.Header, string(outcome.Unknown))
	})
	g := startGateway(t, address)
	request, err := http.NewRequest(http.MethodGet, g.server.URL+"/offers/x", nil)
	must.NoError(t, err)
	for name, value := range map[string]string{
		"Connection": "X-Private, Glade-Request-Id", "X-Private": "1", "Te": "trailers", "Keep-Alive": "1",
		"Upgrade": "websocket", "Proxy-Authorization": "secret", "Glade-Outcome": "not-run", "Glade-Leaving": "1",
		"Glade-Request-Id": "mine", "X-End": "kept", "User-Agent": "",
	} {
		request.Header.Set(name, value)
	}
	response, err := g.client.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	for _, name := range []string{"Connection", "X-Private", "Te", "Keep-Alive", "Upgrade", "Proxy-Authorization", "Glade-Outcome", "Glade-Leaving", "User-Agent"} {
		must.EqOp(t, "", seen.Get(name), must.Sprint(name))
	}
	must.EqOp(t, "kept", seen.Get("X-End"))
	must.EqOp(t, "mine", seen.Get(outcome.RequestIDHeader))
	must.EqOp(t, "mine", response.Header.Get(outcome.RequestIDHeader))
	must.EqOp(t, "", response.Header.Get("X-Private-Answer"))
	wantOutcome(t, response, outcome.Answered, "")
}

func TestResponsesWithoutBody(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(r.URL.Query().Get("status"))
		if status == http.StatusOK || status == http.StatusNotModified {
			w.Header().Set("Content-Length", "7")
		}
		w.Header().Set("Etag", `"v1"`)
		w.WriteHeader(status)
	})
	g := startGateway(t, address)
	for _, c := range []struct {
		method string
		status int
		length int64
	}{{http.MethodHead, 200, 7}, {http.MethodGet, 204, 0}, {http.MethodGet, 304, 0}, {http.MethodHead, 304, 0}} {
		response := g.do(t, c.method, "/offers/x?status="+strconv.Itoa(c.status), nil)
		must.EqOp(t, c.status, response.StatusCode)
		must.EqOp(t, "", readAll(t, response))
		must.EqOp(t, `"v1"`, response.Header.Get("Etag"))
		if c.status == http.StatusOK {
			must.EqOp(t, c.length, response.ContentLength)
		}
		wantOutcome(t, response, outcome.Answered, "")
	}
}

// A response without a length may be a stream of events. Each event must reach the
// caller before the endpoint sends the next one.
func TestStreamIsForwardedImmediately(t *testing.T) {
	next := make(chan struct{})
	address := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, "event\n")
			w.(http.Flusher).Flush()
			<-next
		}
	})
	response := startGateway(t, address).get(t, "/offers/events")
	buffer := make([]byte, len("event\n"))
	for range 3 {
		_, err := io.ReadFull(response.Body, buffer)
		must.NoError(t, err)
		next <- struct{}{}
	}
	must.EqOp(t, "", readAll(t, response))
}

func TestInformationalResponsesAreForwarded(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "page")
	})
	g := startGateway(t, address)
	conn := dialGateway(t, g)
	writeString(t, conn, "GET /offers/page HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	all, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrHasPrefix(t, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n", string(all))
	must.StrContains(t, string(all), "\r\n\r\nHTTP/1.1 200 OK\r\n")
	must.EqOp(t, 1, strings.Count(string(all), "Link:"))
}

// The caller disconnects while the endpoint is processing its request. The attempt
// must be cancelled at once, so that it does not occupy the endpoint's slot.
func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	began, cancelled := make(chan struct{}), make(chan struct{})
	address := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the client disconnects only after reading the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(cancelled)
	})
	g := startGateway(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/offers/issue/1", strings.NewReader("x"))
	must.NoError(t, err)
	go func() {
		<-began
		cancel()
	}()
	_, err = g.client.Do(request)
	must.ErrorIs(t, err, context.Canceled)
	<-cancelled
}

// The caller's deadline is shorter than the service's timeout. The endpoint must
// receive the remaining time, and the caller must get "unknown" at its own
// deadline.
func TestCallerDeadlineIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newPipeNetwork()
		deadlineHeader := make(chan string, 1)
		g := pipeGateway(t, network, func(string) http.HandlerFunc {
			return func(_ http.ResponseWriter, r *http.Request) {
				deadlineHeader <- r.Header.Get(outcome.DeadlineHeader)
				<-r.Context().Done()
			}
		})
		request := httptest.NewRequest(http.MethodPost, "/offers/issue/1", nil)
		request.Header.Set(outcome.DeadlineHeader, "200")
		recorder := httptest.NewRecorder()
		began := time.Now()
		g.ServeHTTP(recorder, request)
		must.EqOp(t, 200*time.Millisecond, time.Since(began))
		must.EqOp(t, outcome.StatusUnknown, recorder.Code)
		wantOutcome(t, recorder.Result(), outcome.Unknown, outcome.TimedOut)
		left, err := strconv.Atoi(<-deadlineHeader)
		must.NoError(t, err)
		must.Between(t, 199, left, 200)
		g.CloseIdle()
		network.close()
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	address := startEndpoint(t, func(http.ResponseWriter, *http.Request) { t.Error("the endpoint must not see it") })
	g := startGateway(t, address)
	g.MaxBodyBytes = 100 << 10
	post := func(change func(r *http.Request)) *http.Response {
		request, err := http.NewRequest(http.MethodPost, g.server.URL+"/offers/issue/1", nil)
		must.NoError(t, err)
		change(request)
		response, err := g.client.Do(request)
		must.NoError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	for _, c := range []struct {
		change    func(r *http.Request)
		status    int
		reason    outcome.Reason
		retryable bool
	}{
		{func(r *http.Request) { r.Header.Set(outcome.DeadlineHeader, "soon") }, 400, outcome.BadRequest, false},
		{func(r *http.Request) { r.Header.Set(outcome.DeadlineHeader, "0") }, 503, outcome.TimedOut, true},
		{func(r *http.Request) { r.Header.Set(outcome.DeadlineHeader, "-9223372036854775808") }, 503, outcome.TimedOut, true},
		{func(r *http.Request) { setBody(r, 101<<10) }, 413, outcome.TooLarge, false},
		{func(r *http.Request) { r.URL.Path = "/nowhere" }, 503, outcome.NoRoute, true},
	} {
		response := post(c.change)
		must.EqOp(t, c.status, response.StatusCode)
		wantOutcome(t, response, outcome.NotRun, c.reason)
		must.EqOp(t, c.retryable, response.Header.Get("Retry-After") != "")
	}
}

func setBody(r *http.Request, size int) {
	r.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
	r.ContentLength = int64(size)
}

// A body of unknown length exceeds the limit while it is being streamed. The
// endpoint has received part of it, so the outcome is "unknown", and the endpoint
// must not see the body end as if it were complete.
func TestStreamedBodyOverTheLimitNeverLooksComplete(t *testing.T) {
	ended := make(chan error, 1)
	address := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	g := startGateway(t, address)
	g.MaxBodyBytes = 200 << 10
	response := g.do(t, http.MethodPost, "/offers/issue/1", io.MultiReader(bytes.NewReader(make([]byte, 300<<10))))
	wantOutcome(t, response, outcome.Unknown, outcome.TooLarge)
	must.Error(t, <-ended)
}

// Bodies use pooled buffers. With concurrent callers and an endpoint that sometimes
// responds before reading the body, no caller may get bytes of another's body.
func TestPooledBodiesAreNotShared(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("early") != "" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || len(bytes.Trim(body, r.URL.Query().Get("letter"))) > 0 {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = w.Write(body)
	})
	g := startGateway(t, address)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			letter := string(rune('a' + i))
			for n := range 30 {
				path := "/offers/mix?letter=" + letter
				if n%3 == 0 {
					path += "&early=1"
				}
				request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(strings.Repeat(letter, 40<<10+n*100)))
				recorder := httptest.NewRecorder()
				g.ServeHTTP(recorder, request)
				answered := recorder.Code == http.StatusOK && strings.Trim(recorder.Body.String(), letter) == ""
				if n%3 != 0 && !answered {
					t.Errorf("status %d, outcome %s", recorder.Code, recorder.Header().Get(outcome.Header))
				}
			}
		})
	}
	wait.Wait()
}

// A caller sends its header and no body. It must be refused with "not run" without
// having held an endpoint's slot, also if an idempotency key makes the gateway read
// the body before claiming the key.
func TestSlowCallerHoldsNoSlot(t *testing.T) {
	g := startGateway(t, startEndpoint(t, func(http.ResponseWriter, *http.Request) { t.Error("nothing may reach the endpoint") }))
	deduplicator := atmostonce.New(atmostonce.Config{ClaimStore: atmostonce.NewPerKeyStore(memstore.New(), 0), Log: zerolog.Nop()})
	for _, idempotency := range []*atmostonce.Deduplicator{nil, deduplicator} {
		g.Idempotency = idempotency
		body, writer := io.Pipe()
		request := httptest.NewRequest(http.MethodPost, "/offers/issue/1", body)
		request.ContentLength = 10
		request.Header.Set(outcome.IdempotencyKeyHeader, "offer-1")
		recorder := &stallingRecorder{ResponseRecorder: httptest.NewRecorder(), writer: writer}
		g.ServeHTTP(recorder, request)
		must.EqOp(t, http.StatusRequestTimeout, recorder.Code)
		must.EqOp(t, string(outcome.NotRun), recorder.Header().Get(outcome.Header))
		must.EqOp(t, string(outcome.SlowCaller), recorder.Header().Get(outcome.ReasonHeader))
	}
}

// stallingRecorder makes a read deadline expire at once.
type stallingRecorder struct {
	*httptest.ResponseRecorder
	writer *io.PipeWriter
}

func (r *stallingRecorder) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		go r.writer.CloseWithError(os.ErrDeadlineExceeded)
	}
	return nil
}
