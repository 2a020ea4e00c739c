package carrierrpc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/carrierrpc/carrierpb"
	"auburnglade.example/glade/internal/clientcache"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

func drawTask(t *rapid.T) work.TaskName {
	number := rapid.IntRange(0, 1<<20)
	return work.TaskName{Job: rapid.String().Draw(t, "job"), Occurrence: number.Draw(t, "time"), Step: number.Draw(t, "step"), Index: number.Draw(t, "index")}
}

func drawMoment(t *rapid.T) carrier.Moment {
	return carrier.Moment{
		Clock: carrier.ClockID(rapid.Uint32().Draw(t, "clock")), At: time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "moment")) * time.Millisecond,
	}
}

func drawCall(t *rapid.T) carrier.Call {
	number, text := rapid.Int64Range(0, 1<<40), rapid.String()
	call := carrier.Call{
		ID: rapid.Uint64().Draw(t, "id"), Target: worker.Target{ID: text.Draw(t, "host"), Address: text.Draw(t, "address")},
		Timeout: time.Duration(rapid.IntRange(0, 5000).Draw(t, "within")) * time.Millisecond,
		SendBy:  drawMoment(t),
	}
	task, run, fence := drawTask(t), rapid.IntRange(1, 1<<20).Draw(t, "run"), number.Draw(t, "fence")
	switch rapid.IntRange(0, 3).Draw(t, "order") {
	case 0:
		call.Start = &worker.Start{
			Task: task, Run: run, Fence: fence, Payload: text.Draw(t, "text"), DeadlineMs: number.Draw(t, "deadline"),
			Checkpoint: text.Draw(t, "saved"), Ticket: text.Draw(t, "ticket"),
		}
	case 1:
		call.Stop = &worker.Stop{Task: task, Run: run, Fence: fence}
	case 2:
		call.Throttle = &worker.Throttle{Task: task, Run: run, Fence: fence, Percent: rapid.IntRange(0, 100).Draw(t, "percent")}
	default:
		call.Heartbeat = &worker.Heartbeat{Fence: fence, AckedEnd: number.Draw(t, "seen"), DeadlineMs: number.Draw(t, "deadline"), Wait: time.Second, OmitRunning: rapid.Bool().Draw(t, "brief")}
	}
	return call
}

// A carrier decodes every field of a call as the holder encoded it.
func TestCallsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := drawCall(t)
		must.Eq(t, call, decodeCall(encodeCall(&call), call.SendBy.Clock))
	})
}

// A holder decodes every field of a reply as the carrier encoded it.
func TestRepliesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reply := carrier.Reply{
			ID: rapid.Uint64().Draw(t, "id"), Outcome: worker.Outcome(rapid.IntRange(int(worker.Unknown), int(worker.Expired)).Draw(t, "outcome")),
			Heartbeat: worker.HeartbeatReply{Born: rapid.Int64Range(0, 1<<42).Draw(t, "born"), ClockMs: rapid.Int64Range(0, 1<<40).Draw(t, "clock"), RunningOmitted: rapid.Bool().Draw(t, "brief")},
			Now:       drawMoment(t),
		}
		for range rapid.IntRange(0, 3).Draw(t, "runs") {
			reply.Heartbeat.Running = append(reply.Heartbeat.Running, worker.Report{
				Task: drawTask(t), Run: rapid.IntRange(1, 9).Draw(t, "run"), Checkpoint: rapid.String().Draw(t, "saved"),
				Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Load: rapid.IntRange(0, 1<<20).Draw(t, "load"),
			})
		}
		for range rapid.IntRange(0, 3).Draw(t, "ends") {
			reply.Heartbeat.Ended = append(reply.Heartbeat.Ended, worker.RunEnd{
				Seq: rapid.Int64Range(1, 1<<40).Draw(t, "number"), Task: drawTask(t), Run: 2, Reason: work.EndDone, Checkpoint: rapid.String().Draw(t, "saved"),
			})
		}
		must.Eq(t, reply, decodeReply(encodeReply(&reply)))
	})
}

// An outcome and an order type that only a later version defines: the outcome
// decodes to Unknown, and the order is not executed as one of another type.
func TestOutcomesAndOrdersOfLaterVersionAreUnknown(t *testing.T) {
	must.EqOp(t, worker.Unknown, decodeReply(&carrierpb.Reply{Outcome: 99}).Outcome)
	call := decodeCall(&carrierpb.Call{Host: "h"}, 0)
	must.True(t, call.Start == nil && call.Stop == nil && call.Throttle == nil && call.Heartbeat == nil)
}

type echo struct{}

func (echo) Exchange(_ context.Context, _ string, calls []carrier.Call) []carrier.Reply {
	var replies []carrier.Reply
	for _, c := range calls {
		replies = append(replies, carrier.Reply{ID: c.ID, Outcome: worker.Accepted})
	}
	return replies
}

// Over real connections, an exchange is answered. One with a carrier that has shut
// down returns *UnsentError, as no connection can be opened.
func TestExchangeOverHTTP(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(PathPrefix, NewHandler(echo{}))
	server := httptest.NewServer(mux)
	client, address := NewClient(clientcache.DialTCP), strings.TrimPrefix(server.URL, "http://")
	stop := worker.Stop{Task: work.TaskName{Job: "j"}, Run: 1}
	calls := []carrier.Call{{ID: 4, Stop: &stop}, {ID: 5, Stop: &stop}}
	replies, err := client.Exchange(t.Context(), address, "s", calls)
	must.NoError(t, err)
	must.Len(t, 2, replies)
	must.EqOp(t, 5, replies[1].ID)
	client.peers.CloseIdleConnections()
	server.Close()
	_, err = client.Exchange(t.Context(), address, "s", calls)
	var unsent *carrier.UnsentError
	must.True(t, errors.As(err, &unsent))
}
