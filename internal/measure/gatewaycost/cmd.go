// Package gatewaycost measures what a gateway adds to a request: throughput,
// processor time, latency, memory and allocations, against the direct path in
// the same run. Callers, gateway and endpoints share one process and talk over
// loopback TCP, so every figure holds the work of all three, and the machine's
// other load falls on both paths: they take turns in short rounds.
package gatewaycost

import (
	"os"
	"runtime/pprof"
	"sync"
	"time"
)

// Cmd is the subcommand.
type Cmd struct {
	Callers   []int         `help:"Numbers of concurrent callers." default:"1,8,64,512"`
	Round     time.Duration `help:"Length of one round on one path." default:"500ms"`
	Rounds    int           `help:"Rounds on each path for each number of callers." default:"4"`
	Endpoints int           `help:"Endpoints behind the gateway." default:"16"`
	BodyBytes int           `help:"Bytes in each answer." default:"1024"`
	Idle      int           `help:"Idle connections opened to measure memory per connection." default:"2000"`
	Profile   string        `help:"File to write a CPU profile of the levels to."`
}

// Result is everything measured.
type Result struct {
	Endpoints int     `json:"endpoints"`
	BodyBytes int     `json:"body_bytes"`
	Levels    []Level `json:"levels"`
	// RatioThroughput is the lowest over the levels.
	RatioThroughput float64 `json:"ratio_throughput_lowest"`
	// MemoryPerConnectionBytes is heap and stack in use for each idle caller's
	// connection, the caller's own end included.
	MemoryPerConnectionBytes float64 `json:"memory_per_connection_bytes"`
	// Sizes shows whether allocation grows with the size of a body.
	Sizes []SizeCost `json:"sizes"`
}

// Level is one number of callers. Latencies are in microseconds.
type Level struct {
	Callers int  `json:"callers"`
	Direct  Path `json:"direct"`
	Gateway Path `json:"gateway"`
	// Plain is a bare second hop on net/http, without routing, limits, choice
	// or outcomes: the least that any gateway built on it costs.
	Plain           Path    `json:"plain"`
	RatioThroughput float64 `json:"ratio_throughput"`
	RatioCPU        float64 `json:"ratio_cpu"`
	// RatioPlain is the plain hop's throughput over the direct path's.
	RatioPlain float64 `json:"ratio_plain"`
	AddedP50Us float64 `json:"added_p50_us"`
	AddedP99Us float64 `json:"added_p99_us"`
	// AddedCPUUs and AddedAllocations are per request, gateway less direct.
	AddedCPUUs       float64 `json:"added_cpu_us"`
	AddedAllocations float64 `json:"added_allocations"`
}

// Path is what one path did. CPU time and allocations are per request and over
// the whole process; CPU time is from getrusage.
type Path struct {
	Requests    int64   `json:"requests"`
	Failed      int64   `json:"failed"`
	PerSecond   float64 `json:"requests_per_second"`
	P50Us       float64 `json:"p50_us"`
	P99Us       float64 `json:"p99_us"`
	CPUUs       float64 `json:"cpu_us"`
	Allocations float64 `json:"allocations"`
	AllocBytes  float64 `json:"alloc_bytes"`
}

// SizeCost is what a request of one body size allocates beyond the direct path.
type SizeCost struct {
	Bytes                int     `json:"bytes"`
	AnswerAddedAllocKB   float64 `json:"answer_added_alloc_kb"`
	UploadAddedAllocKB   float64 `json:"upload_added_alloc_kb"`
	AnswerAddedAllocated float64 `json:"answer_added_allocations"`
	UploadAddedAllocated float64 `json:"upload_added_allocations"`
}

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	bench, err := newBench(c.Endpoints)
	if err != nil {
		return err
	}
	defer bench.close()
	r := Result{Endpoints: c.Endpoints, BodyBytes: c.BodyBytes, RatioThroughput: 1}
	// First, while the heap is small: later what the levels leave would hide it.
	if r.MemoryPerConnectionBytes, err = memoryPerConnection(bench, c.Idle); err != nil {
		return err
	}
	stopProfile, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	for _, callers := range c.Callers {
		level, err := c.level(bench, callers)
		if err != nil {
			return err
		}
		r.Levels = append(r.Levels, level)
		r.RatioThroughput = min(r.RatioThroughput, level.RatioThroughput)
	}
	stopProfile()
	if r.Sizes, err = sizes(bench); err != nil {
		return err
	}
	*result = r
	return nil
}

// startProfile begins a CPU profile; an empty file means none. stop may be
// called twice.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() {
		pprof.StopCPUProfile()
		// The profile is an aid; one that can't be written whole shows itself.
		_ = out.Close()
	}), pprof.StartCPUProfile(out)
}

func (c *Cmd) level(bench *bench, callers int) (Level, error) {
	direct := newLoad(callers, bench.endpoints, answerPath(c.BodyBytes), 0)
	defer direct.close()
	through := newLoad(callers, []string{bench.gateway}, answerPath(c.BodyBytes), 0)
	defer through.close()
	plain := newLoad(callers, []string{bench.plain}, answerPath(c.BodyBytes), 0)
	defer plain.close()
	// The first round opens connections and isn't counted.
	for round := range c.Rounds + 1 {
		for _, load := range []*load{direct, through, plain} {
			if err := load.run(c.Round); err != nil {
				return Level{}, err
			}
			if round == 0 {
				load.reset()
			}
		}
	}
	return compare(callers, direct.path(), through.path(), plain.path()), nil
}

func compare(callers int, direct, through, plain Path) Level {
	return Level{
		Callers: callers, Direct: direct, Gateway: through, Plain: plain,
		RatioThroughput:  through.PerSecond / direct.PerSecond,
		RatioPlain:       plain.PerSecond / direct.PerSecond,
		RatioCPU:         through.CPUUs / direct.CPUUs,
		AddedP50Us:       through.P50Us - direct.P50Us,
		AddedP99Us:       through.P99Us - direct.P99Us,
		AddedCPUUs:       through.CPUUs - direct.CPUUs,
		AddedAllocations: through.Allocations - direct.Allocations,
	}
}
