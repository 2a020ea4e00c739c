package window

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/record"
)

func at(day int, clock string) time.Time {
	parsed, err := time.Parse(clockLayout, clock)
	if err != nil {
		panic(err)
	}
	return time.Date(2026, time.December, day, 0, 0, 0, 0, time.UTC).Add(sinceMidnight(parsed))
}

func TestFits(t *testing.T) {
	night := []record.Window{{From: "22:00", To: "04:00"}}
	weekend := []record.Window{{From: "06:00", To: "18:00", Days: []string{"Sat", "Sun"}}}
	chain := []record.Window{{From: "20:00", To: "23:00"}, {From: "23:00", To: "02:00"}}
	cases := map[string]struct {
		windows  []record.Window
		now      time.Time
		duration time.Duration
		want     bool
	}{
		"no windows: always open":      {nil, at(2, "12:00"), time.Hour, true},
		"before it opens":              {night, at(2, "21:59"), time.Minute, false},
		"as it opens":                  {night, at(2, "22:00"), time.Hour, true},
		"past midnight":                {night, at(3, "03:00"), time.Hour, true},
		"ends after the window closes": {night, at(3, "03:01"), time.Hour, false},
		"as it closes":                 {night, at(3, "04:00"), 0, false},
		"a weekday":                    {weekend, at(4, "12:00"), time.Hour, false},
		"a Saturday":                   {weekend, at(5, "12:00"), time.Hour, true},
		"windows that touch are one":   {chain, at(2, "22:30"), 2 * time.Hour, true},
		"longer than both together":    {chain, at(2, "22:30"), 4 * time.Hour, false},
		"from equals to is all day":    {[]record.Window{{From: "00:00", To: "00:00"}}, at(2, "23:00"), 5 * time.Hour, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, Fits(c.windows, c.now, c.duration)) })
	}
}

func TestNext(t *testing.T) {
	windows := []record.Window{{From: "06:00", To: "07:00"}, {From: "06:00", To: "18:00", Days: []string{"Sun"}}}
	next, ok := Next(windows, at(2, "12:00"), 30*time.Minute)
	must.True(t, ok)
	must.Eq(t, at(3, "06:00"), next)
	next, ok = Next(windows, at(2, "12:00"), 2*time.Hour)
	must.True(t, ok)
	must.Eq(t, at(6, "06:00"), next)
	_, ok = Next(windows, at(2, "12:00"), 13*time.Hour)
	must.False(t, ok)
}
