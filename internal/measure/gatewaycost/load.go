package gatewaycost

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyUs is the maximum latency recorded, in microseconds.
	maxLatencyUs = 60_000_000
	digits       = 3
)

// load is a number of callers on one path, each with its own connection.
type load struct {
	callers []*caller
	failed  atomic.Int64
	elapsed time.Duration
	cpu     time.Duration
	mallocs uint64
	bytes   uint64
}

type caller struct {
	transport *http.Transport
	url       string
	upload    []byte
	latency   *hdrhistogram.Histogram
}

func newLoad(callers int, addresses []string, path string, upload int) *load {
	l := &load{}
	body := make([]byte, upload)
	for i := range callers {
		l.callers = append(l.callers, &caller{
			transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
			url:       "http://" + addresses[i%len(addresses)] + path,
			upload:    body,
			latency:   hdrhistogram.New(1, maxLatencyUs, digits),
		})
	}
	return l
}

func (l *load) close() {
	for _, c := range l.callers {
		c.transport.CloseIdleConnections()
	}
}

func (l *load) reset() {
	for _, c := range l.callers {
		c.latency.Reset()
	}
	l.failed.Store(0)
	l.elapsed, l.cpu, l.mallocs, l.bytes = 0, 0, 0, 0
}

// runFor makes every caller send requests for a duration.
func (l *load) runFor(duration time.Duration) error {
	return l.measure(func(c *caller, began time.Time) bool { return time.Since(began) < duration })
}

// runCount makes every caller send requests until it has sent n.
func (l *load) runCount(n int64) error {
	return l.measure(func(c *caller, _ time.Time) bool { return c.latency.TotalCount() < n })
}

func (l *load) measure(more func(c *caller, began time.Time) bool) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore, err := processCPU()
	if err != nil {
		return err
	}
	began := time.Now()
	var wait sync.WaitGroup
	for _, c := range l.callers {
		wait.Go(func() {
			for more(c, began) {
				l.call(c)
			}
		})
	}
	wait.Wait()
	l.elapsed += time.Since(began)
	cpuAfter, err := processCPU()
	if err != nil {
		return err
	}
	l.cpu += cpuAfter - cpuBefore
	runtime.ReadMemStats(&after)
	l.mallocs += after.Mallocs - before.Mallocs
	l.bytes += after.TotalAlloc - before.TotalAlloc
	return nil
}

func (l *load) call(c *caller) {
	began := time.Now()
	if !c.send() {
		l.failed.Add(1)
	}
	// The value is capped to the range of the histogram, so there is no error. A run
	// with latencies above a minute is invalid anyway.
	_ = c.latency.RecordValue(max(1, min(time.Since(began).Microseconds(), maxLatencyUs)))
}

func (c *caller) send() bool {
	method, body := http.MethodGet, io.Reader(nil)
	if len(c.upload) > 0 {
		method, body = http.MethodPost, bytes.NewReader(c.upload)
	}
	request, err := http.NewRequest(method, c.url, body)
	if err != nil {
		return false
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// result returns the result since the last reset.
func (l *load) result() Path {
	all := hdrhistogram.New(1, maxLatencyUs, digits)
	for _, c := range l.callers {
		all.Merge(c.latency)
	}
	requests := all.TotalCount()
	if requests == 0 {
		return Path{}
	}
	each := func(total float64) float64 { return total / float64(requests) }
	return Path{
		Requests: requests, Failed: l.failed.Load(),
		PerSecond: float64(requests) / l.elapsed.Seconds(),
		P50Us:     float64(all.ValueAtQuantile(50)), P99Us: float64(all.ValueAtQuantile(99)),
		CPUUs:       each(float64(l.cpu.Microseconds())),
		Allocations: each(float64(l.mallocs)), AllocBytes: each(float64(l.bytes)),
	}
}

// processCPU returns the user and system CPU time of this process.
func processCPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
