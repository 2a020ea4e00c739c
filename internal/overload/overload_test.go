package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/sched"
)

var epoch = time.Unix(1_700_000_000, 0)

// hopeless is the forecast of a job that a pool of 100 cores can't do in time.
func hopeless() sched.Forecast {
	return sched.Forecast{Known: true, Own: 50, Ahead: 3000, Cores: 100, RoomIn: 2 * time.Second, TotalWork: 3000}
}

// Guards against clients that are refused together and all come back at the same moment.
func TestRefusedClientsAreToldDifferentTimes(t *testing.T) {
	var r Refuser
	last := time.Duration(0)
	for i := range 10 {
		d := r.Decide(fmt.Sprint(i), hopeless(), 0, epoch)
		must.EqOp(t, NoRoom, d.Reason)
		must.Greater(t, last, d.RetryAfter)
		last = d.RetryAfter
	}
	must.EqOp(t, 2*time.Second+9*500*time.Millisecond, last)
}

// Guards against times to come back that go on growing after the pool got through the
// work of those who were told to come back.
func TestTimeToComeBackFallsAsRoomIsMade(t *testing.T) {
	var r Refuser
	for i := range 10 {
		r.Decide(fmt.Sprint(i), hopeless(), 0, epoch)
	}
	must.EqOp(t, 2*time.Second, r.Decide("later", hopeless(), 0, epoch.Add(5*time.Second)).RetryAfter)
}

// Guards against telling a quiet caller that it sends too much while a loud one fills the
// pool, and the loud one that everybody has to wait.
func TestOnlyCallerOverItsShareIsToldSo(t *testing.T) {
	loud, quiet := hopeless(), hopeless()
	loud.OrganisationWork, quiet.OrganisationWork = 2500, 100
	var r Refuser
	must.EqOp(t, OverShare, r.Decide("a", loud, 0.25, epoch).Reason)
	must.EqOp(t, NoRoom, r.Decide("b", quiet, 0.25, epoch).Reason)
}

// Guards against a refused client that comes back as told and queues behind newer ones.
func TestReturningClientKeepsItsFirstAttempt(t *testing.T) {
	var r Refuser
	must.EqOp(t, epoch, r.FirstAttempt("a", epoch))
	r.Decide("a", hopeless(), 0, epoch)
	later := epoch.Add(3 * time.Second)
	must.EqOp(t, epoch, r.FirstAttempt("a", later))
	must.EqOp(t, later, r.FirstAttempt("b", later))
	r.Decide("a", sched.Forecast{Known: true, Worthwhile: true, Cores: 100}, 0, later)
	must.EqOp(t, later, r.FirstAttempt("a", later))
}

// Guards against the memory of a process that is sent new IDs without end.
func TestAttemptsAreBounded(t *testing.T) {
	var r Refuser
	for i := range 3 * maxAttempts {
		r.Decide(fmt.Sprint(i), hopeless(), 0, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	must.LessEq(t, maxAttempts, len(r.first))
}

// A job that can be done while it is worth something, or of which too little is known, is
// never refused; the time to come back is always within its bounds.
func TestRefusalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Refuser
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			f := sched.Forecast{
				Known: rapid.Bool().Draw(t, "known"), Worthwhile: rapid.Bool().Draw(t, "worthwhile"),
				Own: rapid.Float64Range(0, 5000).Draw(t, "own"), Cores: rapid.Float64Range(0, 5000).Draw(t, "cores"),
				RoomIn: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "room")) * time.Millisecond,
			}
			d := r.Decide(rapid.StringMatching(`[a-d]`).Draw(t, "id"), f, rapid.Float64Range(0, 1).Draw(t, "share"), now)
			must.EqOp(t, f.Known && !f.Worthwhile && f.Cores > 0, d.Refused())
			if d.Refused() {
				must.Between(t, minRetryAfter, d.RetryAfter, maxRetryAfter)
			}
		}
	})
}

func TestShareIsRelativeToAllWeights(t *testing.T) {
	weights := map[string]int{"a": 1, "b": 3}
	must.EqOp(t, 0.75, Share("b", weights))
	must.EqOp(t, 0, Share("c", weights))
	must.EqOp(t, 0, Share("a", nil))
}

// Guards against times to come back that stay at the longest for minutes after a short
// flood, when nobody can still be about to come back.
func TestFloodIsForgottenOnceItsClientsAreBack(t *testing.T) {
	var r Refuser
	for i := range 1000 {
		r.Decide(fmt.Sprint(i), hopeless(), 0, epoch)
	}
	after := epoch.Add(maxRetryAfter)
	must.EqOp(t, 2*time.Second, r.Decide("later", hopeless(), 0, after).RetryAfter)
}

// Guards against a flood of clients that are refused at once and come back at once, when
// they are too many for all to have room within the longest time.
func TestFloodComesBackSpread(t *testing.T) {
	const clients = 1000
	for _, roomIn := range []time.Duration{time.Second, 10 * time.Second, time.Minute} {
		var r Refuser
		bySecond := make(map[int]int)
		flood := hopeless()
		flood.RoomIn = roomIn
		for i := range clients {
			bySecond[int(r.Decide(fmt.Sprint(i), flood, 0, epoch).RetryAfter.Seconds())]++
		}
		for second, count := range bySecond {
			must.LessEq(t, clients/6, count, must.Sprint(roomIn, second))
		}
	}
}

// Guards against a job with the ID of one that was refused long ago, which never gets the
// place of its first attempt.
func TestOldAttemptGivesWayToNewOne(t *testing.T) {
	var r Refuser
	r.Decide("a", hopeless(), 0, epoch)
	again := epoch.Add(2 * attemptRetention)
	r.Decide("a", hopeless(), 0, again)
	must.EqOp(t, again, r.FirstAttempt("a", again.Add(time.Second)))
}

// Guards against a search through all kept attempts with each refusal, in a flood of new
// IDs that fills the memory for them.
func TestFullAttemptsAreSearchedOnceInAWhile(t *testing.T) {
	var r Refuser
	for i := range maxAttempts + 1 {
		r.Decide(fmt.Sprint(i), hopeless(), 0, epoch)
	}
	searched := r.searchedAt
	r.Decide("more", hopeless(), 0, epoch.Add(searchInterval/2))
	must.EqOp(t, searched, r.searchedAt)
	r.Decide("later", hopeless(), 0, epoch.Add(2*attemptRetention))
	must.MapLen(t, 1, r.first)
}
