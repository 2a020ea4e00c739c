package carrierrpc

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/carrierrpc/carrierpb"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// BenchmarkHeartbeat measures the holder's cost of a heartbeat to a host with the given
// number of runs, without the exchange itself: encoding the call and decoding the
// reply. It reports the encoded size of both.
func BenchmarkHeartbeat(b *testing.B) {
	for _, runs := range []int{0, 8, 32} {
		reply := carrier.Reply{ID: 1, Outcome: worker.Accepted, Heartbeat: worker.HeartbeatReply{ClockMs: 1}}
		for i := range runs {
			reply.Heartbeat.Running = append(reply.Heartbeat.Running, worker.Report{
				Task: work.TaskName{Job: "912b94a6556af82b", Step: 1, Index: i}, Run: 9, Percent: 50, Load: 8900,
			})
		}
		answer, err := proto.Marshal(&carrierpb.ExchangeReply{Replies: []*carrierpb.Reply{encodeReply(&reply)}})
		if err != nil {
			b.Fatal(err)
		}
		call := carrier.Call{
			ID: 1, Target: worker.Target{ID: "i-2f8b10a656", Address: "10.5.66.226:8266"}, Timeout: time.Second, SendBy: carrier.Moment{Clock: 1 << 20, At: time.Hour},
			Heartbeat: &worker.Heartbeat{Fence: 7, AckedEnd: 1000, DeadlineMs: 500_000, Wait: 600 * time.Millisecond},
		}
		b.Run(fmt.Sprint(runs, " runs"), func(b *testing.B) {
			sent := 0
			for b.Loop() {
				request, err := proto.Marshal(&carrierpb.ExchangeRequest{Calls: []*carrierpb.Call{encodeCall(&call)}})
				if err != nil {
					b.Fatal(err)
				}
				sent = len(request)
				var read carrierpb.ExchangeReply
				if err := proto.Unmarshal(answer, &read); err != nil {
					b.Fatal(err)
				}
				decodeReply(read.Replies[0])
			}
			b.ReportMetric(float64(sent+len(answer)), "bytes/hold")
		})
	}
}
