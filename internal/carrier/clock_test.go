package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const second = time.Second

// An estimate is never ahead of the clock, and as close as the fastest reply.
func TestEstimateRestsOnTheFastestReply(t *testing.T) {
	var e clockEstimate
	now := time.Now()
	must.EqOp(t, Moment{Clock: unknownClock}, e.moment(now))
	e.observe(Moment{7, 10 * second}, now.Add(200*time.Millisecond))
	e.observe(Moment{7, 11 * second}, now.Add(second+5*time.Millisecond))
	e.observe(Moment{7, 12 * second}, now.Add(2*second+300*time.Millisecond))
	must.EqOp(t, Moment{7, 20*second - 5*time.Millisecond}, e.moment(now.Add(10*second)))
	e.observe(Moment{}, now.Add(3*second))
	must.EqOp(t, 7, e.moment(now).Clock)
}

// Guards against old calls that count as recent after a carrier's time of day was set back.
func TestEstimateFollowsAClockThatWasSetBack(t *testing.T) {
	var e clockEstimate
	now := time.Now()
	e.observe(Moment{7, 60 * second}, now)
	now = now.Add(estimateAge + time.Millisecond)
	e.observe(Moment{7, 50 * second}, now)
	must.EqOp(t, Moment{7, 51 * second}, e.moment(now.Add(second)))
}

// A call that is dated by the clock of another process, or by none that is known, counts as
// too old; one that a holder of an earlier version has not dated never does.
func TestOnlyItsOwnClockTellsACarrierThatACallIsRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClock()
		time.Sleep(second)
		must.EqOp(t, Moment{c.id, second}, c.now())
		must.False(t, c.passed(Moment{c.id, second}))
		must.True(t, c.passed(Moment{c.id, second - time.Millisecond}))
		must.True(t, c.passed(Moment{c.id + 1, 2 * second}))
		must.True(t, c.passed(Moment{unknownClock, 2 * second}))
		must.False(t, c.passed(Moment{}))
	})
}
