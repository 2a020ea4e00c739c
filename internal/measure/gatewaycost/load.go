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
	// longestUs is the longest latency recorded, in microseconds.
	longestUs = 60_000_000
	digits    = 3
)

// load is a number of callers on one path, each with a connection of its own.
type load struct {
	callers []*caller
	failed  atomic.Int64
	spent   time.Duration
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
			latency:   hdrhistogram.New(1, longestUs, digits),
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
	l.spent, l.cpu, l.mallocs, l.bytes = 0, 0, 0, 0
}

// run lets every caller call for a time.
func (l *load) run(long time.Duration) error {
	return l.measure(func(c *caller, began time.Time) bool { return time.Since(began) < long })
}

// times lets every caller call n times.
func (l *load) times(n int64) error {
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
	l.spent += time.Since(began)
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
	if !c.one() {
		l.failed.Add(1)
	}
	// A value past the longest is a minute's wait: the run is broken then.
	_ = c.latency.RecordValue(max(1, min(time.Since(began).Microseconds(), longestUs)))
}

func (c *caller) one() bool {
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

// path sums up what the load has seen since the last reset.
func (l *load) path() Path {
	all := hdrhistogram.New(1, longestUs, digits)
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
		PerSecond: float64(requests) / l.spent.Seconds(),
		P50Us:     float64(all.ValueAtQuantile(50)), P99Us: float64(all.ValueAtQuantile(99)),
		CPUUs:       each(float64(l.cpu.Microseconds())),
		Allocations: each(float64(l.mallocs)), AllocBytes: each(float64(l.bytes)),
	}
}

// processCPU is the user and system time of this process so far.
func processCPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
