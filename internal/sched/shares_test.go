package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// shareDay is a pool of one host whose jobs belong to organisations, in virtual time.
type shareDay struct {
	*Pool
	now    time.Time
	host   string
	fence  int64
	jobs   int
	record map[string]*work.JobRecord
	runs   map[work.TaskName]Order
	began  map[work.TaskName]time.Time
	length map[string]time.Duration
	ended  []worker.RunEnd
	number int64
	// doneIn is the time that each job took.
	doneIn map[string]time.Duration
	// stored is the progress of the jobs in the store.
	stored map[string]*work.Progress
}

const (
	shareCores   = 8
	shareRuntime = 400 * time.Millisecond
	shareStep    = 10 * time.Millisecond
	shareSlack   = 900 * time.Millisecond
)

func newShareDay(weights map[string]int) *shareDay {
	d := &shareDay{
		now: time.Unix(1_700_000_000, 0), host: "h", record: make(map[string]*work.JobRecord), runs: make(map[work.TaskName]Order),
		began: make(map[work.TaskName]time.Time), length: make(map[string]time.Duration), doneIn: make(map[string]time.Duration), stored: make(map[string]*work.Progress),
	}
	d.takeOver(weights)
	return d
}

// takeOver replaces the holder by one that knows what is stored and what the host runs.
func (d *shareDay) takeOver(weights map[string]int) {
	d.fence++
	roster := Roster{}
	if d.fence > 1 {
		roster.InUse = []string{d.host}
	}
	d.Pool = New(Config{Fence: d.fence, LeaseTTL: time.Hour, PriorLeaseTTL: time.Hour, StopGrace: 200 * time.Millisecond, StatusRetention: time.Hour}, roster, d.now)
	d.SetShares(weights)
	for i := range d.jobs {
		id := jobID(i)
		if d.doneIn[id] == 0 {
			d.Restore(d.record[id], d.stored[id], d.now, d.now)
		}
	}
	d.SetHosts([]worker.Host{{ID: d.host, Address: d.host, Capacity: work.Resources{MilliCPU: shareCores * milli, MemMB: 64_000}}}, d.now)
	d.RosterStored(Roster{InUse: []string{d.host}})
	d.beat()
}

func jobID(i int) string { return fmt.Sprintf("%016x", i) }

// submit submits a job with tasks of one core each that take length.
func (d *shareDay) submit(organisation string, tasks int, length time.Duration) string {
	id := jobID(d.jobs)
	d.jobs++
	d.length[id] = length
	d.record[id] = &work.JobRecord{
		ID: id, Organisation: organisation, ArrivedMs: d.now.UnixMilli(), Queue: work.Queue{Name: "q", MaxAttempts: 3, Stretch: 1.5, Slack: shareSlack},
		Spec: work.Spec{Steps: []work.Step{{Count: tasks, Resources: work.Resources{MilliCPU: milli, MemMB: 100}, Estimate: length}}},
	}
	d.Accept(d.record[id], d.now, d.now)
	return id
}

// beat exchanges a heartbeat with the host.
func (d *shareDay) beat() {
	heartbeat, ok := d.NextHeartbeat(d.host, 0, d.now)
	if !ok {
		return
	}
	reply := worker.HeartbeatReply{ClockMs: d.now.UnixMilli()}
	for name, order := range d.runs {
		reply.Running = append(reply.Running, worker.Report{Task: name, Run: order.Run, Percent: 50})
	}
	kept := d.ended[:0]
	for _, e := range d.ended {
		if e.Seq > heartbeat.AckedEnd {
			kept = append(kept, e)
		}
	}
	d.ended = kept
	reply.Ended = append(reply.Ended, kept...)
	d.ApplyHeartbeat(d.host, d.now, reply, d.now, d.now)
}

// step advances the time and returns the starts of one plan, by organisation.
func (d *shareDay) step() map[string]int {
	d.now = d.now.Add(shareStep)
	for name, order := range d.runs {
		if d.now.Sub(d.began[name]) >= d.length[name.Job] {
			d.number++
			delete(d.runs, name)
			d.ended = append(d.ended, worker.RunEnd{Seq: d.number, Task: name, Run: order.Run, Reason: work.EndDone})
		}
	}
	d.beat()
	d.store()
	d.Tick(d.now, d.now)
	starts := make(map[string]int)
	for _, order := range d.Plan(d.now, d.now).Orders {
		if order.Verb != Start {
			continue
		}
		starts[d.record[order.Task.Job].Organisation]++
		d.runs[order.Task], d.began[order.Task] = order, d.now
		d.StartOutcome(worker.Target{ID: d.host}, order.Task, order.Run, worker.Accepted, d.now, d.now)
	}
	return starts
}

func (d *shareDay) store() {
	changes := d.Changes(1000, nil)
	for _, c := range changes {
		d.stored[c.Job] = c.Progress
		if c.Progress.State == work.Done && d.doneIn[c.Job] == 0 {
			d.doneIn[c.Job] = d.now.Sub(time.UnixMilli(d.record[c.Job].ArrivedMs))
		}
	}
	d.ChangesStored(changes)
}

// goal is the time within which a job should be done.
func (d *shareDay) goal(id string) time.Duration {
	return time.Duration(1.5*float64(d.length[id])) + shareSlack
}

// inTime returns the part of an organisation's jobs that were done in time.
func (d *shareDay) inTime(organisation string) float64 {
	count, all := 0, 0
	for id, record := range d.record {
		if record.Organisation != organisation {
			continue
		}
		all++
		if took := d.doneIn[id]; took > 0 && took <= d.goal(id) {
			count++
		}
	}
	return float64(count) / float64(max(1, all))
}

// finish plays on until all jobs are done, and fails the test if some never are.
func (d *shareDay) finish(t must.T) {
	for range 100_000 {
		if len(d.doneIn) == d.jobs {
			return
		}
		d.step()
	}
	t.Fatalf("%d of %d jobs are never done", d.jobs-len(d.doneIn), d.jobs)
}

// play submits jobs of one task at the given rates a second and steps for a time.
func (d *shareDay) play(length time.Duration, rates map[string]int) {
	each := int(time.Second / shareStep)
	for i := range int(length / shareStep) {
		for _, name := range []string{"a", "b", "c"} {
			if rate := rates[name]; (i+1)*rate/each > i*rate/each {
				for range (i+1)*rate/each - i*rate/each {
					d.submit(name, 1, shareRuntime)
				}
			}
		}
		d.step()
	}
}

// One organisation sends four times what the hosts can do. The others, which are within
// their shares, must be served in time.
func TestLoudOrganisationDoesNotMakeOthersLate(t *testing.T) {
	d := newShareDay(map[string]int{"a": 4, "b": 4, "c": 4})
	d.play(8*time.Second, map[string]int{"a": 80, "b": 4, "c": 5})
	d.finish(t)
	must.Greater(t, 0.95, d.inTime("b"))
	must.Greater(t, 0.95, d.inTime("c"))
}

// Two organisations are loud one after the other. The third must be served in time, and
// the one that is no longer loud must be served again.
func TestTwoLoudInTurn(t *testing.T) {
	d := newShareDay(map[string]int{"a": 4, "b": 4, "c": 4})
	d.play(4*time.Second, map[string]int{"a": 60, "b": 4, "c": 4})
	d.play(4*time.Second, map[string]int{"a": 4, "b": 60, "c": 4})
	d.finish(t)
	must.Greater(t, 0.95, d.inTime("c"))
}

// All send more than their share. What is served in time must follow the weights.
func TestServedJobsFollowWeights(t *testing.T) {
	d := newShareDay(map[string]int{"a": 3, "b": 1})
	d.play(12*time.Second, map[string]int{"a": 40, "b": 40})
	d.finish(t)
	must.Greater(t, 2*d.inTime("b"), d.inTime("a"))
	must.Greater(t, 0, d.inTime("b"))
}

// A small organisation has one large job beside many small ones of another. Neither must
// make the other wait until it is late.
func TestOneLargeJobBesideManySmallOnes(t *testing.T) {
	d := newShareDay(map[string]int{"a": 4, "b": 1})
	large := d.submit("b", shareCores/2, time.Second)
	for range 20 {
		d.submit("a", 1, shareRuntime)
	}
	d.finish(t)
	must.LessEq(t, d.goal(large), d.doneIn[large])
	must.Greater(t, 0.7, d.inTime("a"))
}

// Weights change in every plan while one is loud. No job may be lost or wait for ever.
func TestStormOfWeightChanges(t *testing.T) {
	d := newShareDay(map[string]int{"a": 1, "b": 1})
	for i := range 300 {
		d.SetShares([]map[string]int{{"a": 1, "b": 100}, nil, {"a": 0, "b": 0}, {"b": 3}, {"a": 50, "b": 1}}[i%5])
		d.submit("a", 1, shareRuntime)
		if i%10 == 0 {
			d.submit("b", 1, shareRuntime)
		}
		d.step()
	}
	d.finish(t)
}

// The holder is replaced while one organisation is loud. Its successor must order by the
// same shares from its first plan on.
func TestSharesHoldAfterATakeover(t *testing.T) {
	weights := map[string]int{"a": 4, "b": 4, "c": 4}
	d := newShareDay(weights)
	d.play(3*time.Second, map[string]int{"a": 80, "b": 4, "c": 4})
	d.takeOver(weights)
	d.play(3*time.Second, map[string]int{"a": 80, "b": 4, "c": 4})
	d.finish(t)
	must.Greater(t, 0.9, d.inTime("b"))
	must.Greater(t, 0.9, d.inTime("c"))
}

// An organisation with a backlog leaves the configuration. Its jobs must still be done, and
// not before those of organisations that are within their shares.
func TestBacklogOfAnOrganisationThatLeft(t *testing.T) {
	d := newShareDay(map[string]int{"a": 8, "b": 2})
	d.play(2*time.Second, map[string]int{"a": 60, "b": 2})
	d.SetShares(map[string]int{"b": 2})
	d.play(3*time.Second, map[string]int{"b": 4})
	d.finish(t)
	must.Greater(t, 0.9, d.inTime("b"))
}

// Without a weight above zero, jobs of organisations must be ordered as if all were of one.
func TestWithoutWeightsTheOrderIsAsBefore(t *testing.T) {
	for _, weights := range []map[string]int{nil, {}, {"a": 0, "b": 0}} {
		rapid.Check(t, func(rt *rapid.T) {
			with, without := newShareDay(weights), newShareDay(nil)
			for range rapid.IntRange(20, 60).Draw(rt, "steps") {
				for range rapid.IntRange(0, 3).Draw(rt, "jobs") {
					name := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "name")
					tasks, length := rapid.IntRange(1, 6).Draw(rt, "tasks"), time.Duration(rapid.IntRange(5, 90).Draw(rt, "length"))*shareStep
					with.submit(name, tasks, length)
					without.submit("", tasks, length)
				}
				with.step()
				without.step()
				must.EqOp(rt, len(without.runs), len(with.runs))
				for task := range without.runs {
					must.MapContainsKey(rt, with.runs, task)
				}
			}
		})
	}
}

// lowestWaitingTag returns the lowest start tag of a job with waiting tasks.
func (d *shareDay) lowestWaitingTag() float64 {
	lowest := math.Inf(1)
	for _, j := range d.active {
		for _, o := range j.occurrences {
			if o.tagged && o.steps[0].waiting > 0 {
				lowest = min(lowest, o.startTag)
			}
		}
	}
	return lowest
}

// While not all jobs can be in time, no job may start whose organisation already has more
// admitted work before it, by weight, than one whose job waits; and none may start that is
// beyond its organisation's share.
func TestNoneWaitsWhileOneFurtherBeyondItsShareStarts(t *testing.T) {
	checked := 0
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		weights := make(map[string]int)
		for _, name := range names {
			weights[name] = rapid.IntRange(1, 20).Draw(rt, "weight")
		}
		d := newShareDay(weights)
		for range rapid.IntRange(40, 120).Draw(rt, "steps") {
			for range rapid.IntRange(0, 3).Draw(rt, "jobs") {
				d.submit(rapid.SampledFrom(names).Draw(rt, "name"), rapid.IntRange(1, 3).Draw(rt, "tasks"), time.Duration(rapid.IntRange(20, 60).Draw(rt, "length"))*shareStep)
			}
			d.step()
			lowest := d.lowestWaitingTag()
			if math.IsInf(lowest, 1) {
				continue
			}
			for name, began := range d.began {
				if o := d.occurrenceOf(name.Job); began.Equal(d.now) && o != nil {
					checked++
					must.True(rt, o.tagged)
					must.LessEq(rt, lowest, o.startTag)
				}
			}
		}
	})
	must.Positive(t, checked)
}

// occurrenceOf returns the only occurrence of a job, nil once it is done.
func (d *shareDay) occurrenceOf(id string) *occurrence {
	j := d.Pool.jobs[id]
	if j == nil || len(j.occurrences) == 0 {
		return nil
	}
	return j.occurrences[0]
}

// Whatever organisations send and whatever their weights: no job waits while there is room,
// and every job ends.
func TestSharesAreWorkConserving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		weights := make(map[string]int)
		for _, name := range names {
			weights[name] = rapid.IntRange(0, 20).Draw(rt, "weight")
		}
		d := newShareDay(weights)
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			for range rapid.IntRange(0, 4).Draw(rt, "jobs") {
				d.submit(rapid.SampledFrom(names).Draw(rt, "name"), rapid.IntRange(1, 4).Draw(rt, "tasks"), time.Duration(rapid.IntRange(5, 60).Draw(rt, "length"))*shareStep)
			}
			d.step()
			if waiting := d.Load(d.now).Waiting; waiting > 0 {
				must.EqOp(rt, shareCores, len(d.runs))
			}
		}
		d.finish(rt)
	})
}

// One organisation sends more than twice what the hosts can do, in jobs of one to six tasks,
// beside two that send less than their shares. Of their jobs the largest tenth must be in
// time no less than half as often as all.
func TestLargestJobsAreServedWhileAnotherIsLoud(t *testing.T) {
	d := newShareDay(map[string]int{"a": 4, "b": 2, "c": 1})
	const largest = 6
	sizes := []int{1, 2, 1, 1, 3, 1, 2, 1, 1, largest}
	quiet := make(map[string]int)
	for i := range 4000 {
		switch {
		case i%40 == 0:
			size := sizes[i/40%len(sizes)]
			quiet[d.submit([]string{"b", "c"}[i/40%3%2], size, shareRuntime)] = size
		case i%4 == 0:
			d.submit("a", sizes[i/4%len(sizes)], shareRuntime)
		}
		d.step()
	}
	d.finish(t)
	all, allLarge, inTime, largeInTime := 0, 0, 0, 0
	for id, size := range quiet {
		in := 0
		if d.doneIn[id] <= d.goal(id) {
			in = 1
		}
		all, inTime = all+1, inTime+in
		if size == largest {
			allLarge, largeInTime = allLarge+1, largeInTime+in
		}
	}
	must.Less(t, 0.7, d.inTime("a"))
	must.Greater(t, all*8/10, inTime)
	must.Greater(t, float64(inTime)/float64(all)/2, float64(largeInTime)/float64(allLarge))
}
