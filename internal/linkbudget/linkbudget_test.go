package linkbudget_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"auburnglade.example/glade/internal/linkbudget"
)

// Half of a link of 2 Mbit/s carries 125 bytes a millisecond.
func TestBudgetRefillsWithTime(t *testing.T) {
	now := time.Now()
	b := linkbudget.New(2, 0.5)
	must.EqOp(t, 12_500, b.Available(now))
	b.Spend(20_000, now)
	must.EqOp(t, -7_500, b.Available(now))
	must.False(t, b.TrySpend(1, now))
	now = now.Add(61 * time.Millisecond)
	must.True(t, b.TrySpend(1_000, now))
	must.False(t, b.TrySpend(1, now))
	must.EqOp(t, 12_500, b.Available(now.Add(time.Hour)), must.Sprint("unused shares add up without bound"))
}

// Without a known bandwidth nothing is limited.
func TestUnknownLinkIsUnlimited(t *testing.T) {
	b := linkbudget.New(0, 0.5)
	b.Spend(math.MaxInt, time.Now())
	must.EqOp(t, math.MaxInt, b.Available(time.Now()))
	must.True(t, b.TrySpend(1, time.Now()))
}

// Whoever spends only while something is available never sends more than the share
// of the link, one burst and one message.
func TestSpentBytesStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, largest = 125_000.0, 12_500.0, 5_000
		began := time.Now()
		now, sent := began, 0
		b := linkbudget.New(2, 0.5)
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause ms")) * time.Millisecond)
			size := rapid.IntRange(1, largest).Draw(t, "bytes")
			if b.TrySpend(size, now) {
				sent += size
			}
			if limit := now.Sub(began).Seconds()*rate + burst + largest; float64(sent) > limit {
				t.Fatalf("%d bytes sent, %.0f may be", sent, limit)
			}
		}
	})
}
