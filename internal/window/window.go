// Package window computes when maintenance windows are open. It has no clock: the
// time is an argument. Windows are the only place where the wall clock decides,
// since an operator's "from 22:00" refers to it; a clock that is off by a minute
// shifts the window by a minute.
package window

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/record"
)

// Span is a period in which a window is open, from From up to but not including
// To.
type Span struct{ From, To time.Time }

// Length returns the duration of the span.
func (s Span) Length() time.Duration { return s.To.Sub(s.From) }

// horizonDays is how many days ahead spans are computed: eight days contain each
// weekday at least once in full.
const horizonDays = 8

const (
	day         = 24 * time.Hour
	clockLayout = "15:04"
)

// SpanAt returns the span that contains now, or false if every window is closed.
// Windows that overlap or touch form one span. Without any windows it returns the
// zero Span and true: always open.
func SpanAt(windows []record.Window, now time.Time) (Span, bool) {
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

// Fits reports whether work that takes duration can start now and end before its
// window closes.
func Fits(windows []record.Window, now time.Time, duration time.Duration) bool {
	span, open := SpanAt(windows, now)
	if !open {
		return false
	}
	return span.To.IsZero() || now.Add(duration).Compare(span.To) <= 0
}

// Next returns the earliest time, now or later, at which work that takes duration
// can start, or false if no window of the coming week is long enough.
func Next(windows []record.Window, now time.Time, duration time.Duration) (time.Time, bool) {
	if Fits(windows, now, duration) {
		return now, true
	}
	for _, span := range spans(windows, now.UTC()) {
		if span.From.After(now) && span.Length() >= duration {
			return span.From, true
		}
	}
	return time.Time{}, false
}

// spans returns the merged spans in order, starting with those of the day before
// now. The horizon may truncate the spans of the last day.
func spans(windows []record.Window, now time.Time) []Span {
	midnight := now.Truncate(day)
	var all []Span
	for i := -1; i <= horizonDays; i++ {
		date := midnight.Add(time.Duration(i) * day)
		for _, w := range windows {
			if span, ok := spanOn(w, date); ok {
				all = append(all, span)
			}
		}
	}
	slices.SortFunc(all, func(a, b Span) int { return a.From.Compare(b.From) })
	return merge(all)
}

// spanOn returns the span of a window that begins on date, which is midnight UTC.
// A To at or before From is on the next day.
func spanOn(w record.Window, date time.Time) (Span, bool) {
	if len(w.Days) > 0 && !slices.Contains(w.Days, date.Format("Mon")) {
		return Span{}, false
	}
	from, errFrom := time.Parse(clockLayout, w.From)
	to, errTo := time.Parse(clockLayout, w.To)
	if errFrom != nil || errTo != nil {
		// Validation rejects such a window; it opens no span.
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
