package capacity

import (
	"sort"
	"time"
)

func timed(work func()) float64 {
	began := time.Now()
	work()
	return microseconds(time.Since(began))
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func median(repeats int, measure func() float64) float64 {
	values := make([]float64, repeats)
	for i := range values {
		values[i] = measure()
	}
	sort.Float64s(values)
	return values[repeats/2]
}
