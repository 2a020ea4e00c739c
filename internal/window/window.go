// Package window answers when maintenance windows are open. It is pure: the
// time comes in as an argument. Windows are the one place where the wall clock
// decides something, since an operator's "from 22:00" means nothing else; a
// clock that is off by a minute moves the window by a minute.
package window

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/record"
)

// Span is one stretch of time in which a window is open.
type Span struct{ From, To time.Time }

// Length returns how long the span lasts.
func (s Span) Length() time.Duration { return s.To.Sub(s.From) }

// horizonDays is how many days ahead spans are looked for: a week and a day
// holds every weekday at least once, whole.
const horizonDays = 8

const (
	day         = 24 * time.Hour
	clockLayout = "15:04"
)

// Open returns the span that holds now, or false when every window is shut.
// Windows that overlap or touch make one span. No windows at all means open
// without end: the zero Span and true.
func Open(windows []record.Window, now time.Time) (Span, bool) {
	if len(windows) == 0 {
		return Span{}, true
	}
	for _, span := range spans(windows, now.UTC()) {
		if !now.Before(span.From) && now.Before(span.To) {
			return span, true
		}
	}
	return Span{}, false
}

// Fits reports whether something that takes need can start now and end before
// its window closes.
func Fits(windows []record.Window, now time.Time, need time.Duration) bool {
	span, open := Open(windows, now)
	if !open {
		return false
	}
	return span.To.IsZero() || now.Add(need).Compare(span.To) <= 0
}

// Next returns the first moment after now at which something that takes need
// can start, or false when no window of the coming week is long enough.
func Next(windows []record.Window, now time.Time, need time.Duration) (time.Time, bool) {
	if Fits(windows, now, need) {
		return now, true
	}
	for _, span := range spans(windows, now.UTC()) {
		if span.From.After(now) && span.Length() >= need {
			return span.From, true
		}
	}
	return time.Time{}, false
}

// spans returns the merged spans from the day before now on, in order. The
// last day's spans may be cut short by the horizon.
func spans(windows []record.Window, now time.Time) []Span {
	midnight := now.Truncate(day)
	var all []Span
	for i := -1; i <= horizonDays; i++ {
		date := midnight.Add(time.Duration(i) * day)
		for _, w := range windows {
			if span, ok := on(w, date); ok {
				all = append(all, span)
			}
		}
	}
	slices.SortFunc(all, func(a, b Span) int { return a.From.Compare(b.From) })
	return merge(all)
}

// on returns the span of a window that begins on a date. A To at or before
// From is on the next day.
func on(w record.Window, date time.Time) (Span, bool) {
	if len(w.Days) > 0 && !slices.Contains(w.Days, date.Format("Mon")) {
		return Span{}, false
	}
	from, errFrom := time.Parse(clockLayout, w.From)
	to, errTo := time.Parse(clockLayout, w.To)
	if errFrom != nil || errTo != nil {
		// Validation keeps such a window out of force; it opens nothing.
		return Span{}, false
	}
	span := Span{From: date.Add(sinceMidnight(from)), To: date.Add(sinceMidnight(to))}
	if !span.To.After(span.From) {
		span.To = span.To.Add(day)
	}
	return span, true
}

func sinceMidnight(t time.Time) time.Duration {
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
}

func merge(sorted []Span) []Span {
	var merged []Span
	for _, span := range sorted {
		last := len(merged) - 1
		if last >= 0 && !span.From.After(merged[last].To) {
			if span.To.After(merged[last].To) {
				merged[last].To = span.To
			}
			continue
		}
		merged = append(merged, span)
	}
	return merged
}
