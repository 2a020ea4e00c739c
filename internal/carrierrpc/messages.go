package carrierrpc

import (
	"time"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/carrierrpc/carrierpb"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

var outcomes = map[worker.Outcome]carrierpb.Outcome{
	worker.Unknown: carrierpb.Outcome_OUTCOME_UNKNOWN, worker.Accepted: carrierpb.Outcome_OUTCOME_ACCEPTED,
	worker.Fenced: carrierpb.Outcome_OUTCOME_DEPOSED, worker.StaleRun: carrierpb.Outcome_OUTCOME_OUTDATED,
	worker.TooLate: carrierpb.Outcome_OUTCOME_TOO_LATE, worker.NoRoom: carrierpb.Outcome_OUTCOME_NO_ROOM,
	worker.NoTicket: carrierpb.Outcome_OUTCOME_NO_TICKET, worker.Gone: carrierpb.Outcome_OUTCOME_GONE,
	worker.Unhealthy: carrierpb.Outcome_OUTCOME_UNWELL, worker.Malformed: carrierpb.Outcome_OUTCOME_MALFORMED,
	worker.NotSent: carrierpb.Outcome_OUTCOME_NOT_SENT, worker.Expired: carrierpb.Outcome_OUTCOME_EXPIRED,
}

// workerOutcomes is the inverse of outcomes. An outcome that only a later version
// defines decodes to Unknown, which is valid for every outcome.
var workerOutcomes = func() map[carrierpb.Outcome]worker.Outcome {
	inverse := make(map[carrierpb.Outcome]worker.Outcome, len(outcomes))
	for outcome, wire := range outcomes {
		inverse[wire] = outcome
	}
	return inverse
}()

func encodeTask(t work.TaskName) *carrierpb.Task {
	return &carrierpb.Task{Job: t.Job, Time: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index)}
}

func decodeTask(t *carrierpb.Task) work.TaskName {
	return work.TaskName{Job: t.GetJob(), Occurrence: int(t.GetTime()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func encodeCall(c *carrier.Call) *carrierpb.Call {
	call := &carrierpb.Call{Id: c.ID, Host: c.Target.ID, Address: c.Target.Address, WithinMs: c.Timeout.Milliseconds(), SendByMs: c.SendBy.At.Milliseconds()}
	switch {
	case c.Start != nil:
		o := c.Start
		call.Fence, call.Task, call.Run = o.Fence, encodeTask(o.Task), int64(o.Run)
		call.Order = &carrierpb.Call_Start{Start: &carrierpb.Start{Text: o.Payload, DeadlineMs: o.DeadlineMs, Saved: o.Checkpoint, Ticket: o.Ticket}}
	case c.Stop != nil:
		o := c.Stop
		call.Fence, call.Task, call.Run = o.Fence, encodeTask(o.Task), int64(o.Run)
		call.Order = &carrierpb.Call_Stop{Stop: &carrierpb.Stop{}}
	case c.Throttle != nil:
		o := c.Throttle
		call.Fence, call.Task, call.Run = o.Fence, encodeTask(o.Task), int64(o.Run)
		call.Order = &carrierpb.Call_Pace{Pace: &carrierpb.Pace{Percent: int64(o.Percent)}}
	case c.Heartbeat != nil:
		o := c.Heartbeat
		call.Fence = o.Fence
		call.Order = &carrierpb.Call_Hold{Hold: &carrierpb.Hold{Seen: o.AckedEnd, DeadlineMs: o.DeadlineMs, WaitMs: o.Wait.Milliseconds(), Brief: o.OmitRunning}}
	}
	return call
}

// decodeCall decodes a call that is dated by a carrier's clock. An order type that only a
// later version defines results in a call without an order.
func decodeCall(c *carrierpb.Call, clock carrier.ClockID) carrier.Call {
	call := carrier.Call{
		ID: c.Id, Target: worker.Target{ID: c.Host, Address: c.Address}, Timeout: time.Duration(c.WithinMs) * time.Millisecond,
		SendBy: carrier.Moment{Clock: clock, At: time.Duration(c.SendByMs) * time.Millisecond},
	}
	task, run := decodeTask(c.Task), int(c.Run)
	switch o := c.Order.(type) {
	case *carrierpb.Call_Start:
		call.Start = &worker.Start{
			Task: task, Run: run, Fence: c.Fence, Payload: o.Start.Text, DeadlineMs: o.Start.DeadlineMs, Checkpoint: o.Start.Saved, Ticket: o.Start.Ticket,
		}
	case *carrierpb.Call_Stop:
		call.Stop = &worker.Stop{Task: task, Run: run, Fence: c.Fence}
	case *carrierpb.Call_Pace:
		call.Throttle = &worker.Throttle{Task: task, Run: run, Fence: c.Fence, Percent: int(o.Pace.Percent)}
	case *carrierpb.Call_Hold:
		call.Heartbeat = &worker.Heartbeat{
			Fence: c.Fence, AckedEnd: o.Hold.Seen, DeadlineMs: o.Hold.DeadlineMs, Wait: time.Duration(o.Hold.WaitMs) * time.Millisecond,
			OmitRunning: o.Hold.Brief,
		}
	}
	return call
}

func encodeReply(r *carrier.Reply) *carrierpb.Reply {
	reply := &carrierpb.Reply{Id: r.ID, Outcome: outcomes[r.Outcome], ClockMs: r.Heartbeat.ClockMs, Born: r.Heartbeat.Born, Brief: r.Heartbeat.RunningOmitted}
	reply.Clock, reply.NowMs = uint32(r.Now.Clock), r.Now.At.Milliseconds()
	for _, run := range r.Heartbeat.Running {
		reply.Running = append(reply.Running, &carrierpb.Report{
			Job: run.Task.Job, Time: int64(run.Task.Occurrence), Step: int64(run.Task.Step), Index: int64(run.Task.Index),
			Run: int64(run.Run), Saved: run.Checkpoint, Percent: int64(run.Percent), Load: int64(run.Load),
		})
	}
	for _, end := range r.Heartbeat.Ended {
		reply.Ended = append(reply.Ended, &carrierpb.End{
			Number: end.Seq, Job: end.Task.Job, Time: int64(end.Task.Occurrence), Step: int64(end.Task.Step), Index: int64(end.Task.Index),
			Run: int64(end.Run), How: string(end.Reason), Saved: end.Checkpoint,
		})
	}
	return reply
}

func decodeReply(r *carrierpb.Reply) carrier.Reply {
	reply := carrier.Reply{ID: r.Id, Outcome: workerOutcomes[r.Outcome], Heartbeat: worker.HeartbeatReply{Born: r.Born, ClockMs: r.ClockMs, RunningOmitted: r.Brief}}
	reply.Now = carrier.Moment{Clock: carrier.ClockID(r.Clock), At: time.Duration(r.NowMs) * time.Millisecond}
	if len(r.Running) > 0 {
		reply.Heartbeat.Running = make([]worker.Report, 0, len(r.Running))
	}
	for _, run := range r.Running {
		reply.Heartbeat.Running = append(reply.Heartbeat.Running, worker.Report{
			Task: work.TaskName{Job: run.Job, Occurrence: int(run.Time), Step: int(run.Step), Index: int(run.Index)},
			Run:  int(run.Run), Checkpoint: run.Saved, Percent: int(run.Percent), Load: int(run.Load),
		})
	}
	for _, end := range r.Ended {
		reply.Heartbeat.Ended = append(reply.Heartbeat.Ended, worker.RunEnd{
			Seq: end.Number, Task: work.TaskName{Job: end.Job, Occurrence: int(end.Time), Step: int(end.Step), Index: int(end.Index)},
			Run: int(end.Run), Reason: work.EndReason(end.How), Checkpoint: end.Saved,
		})
	}
	return reply
}
