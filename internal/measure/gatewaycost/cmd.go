// Package gatewaycost measures the overhead of a gateway per request (throughput, CPU
// time, latency, memory and allocations) against the direct path in the same run.
// Callers, gateway and endpoints run in one process and communicate over loopback TCP,
// so every figure includes the work of all three. The paths alternate in short rounds,
// so that other load on the machine affects both equally.
package gatewaycost

import (
	"os"
	"runtime/pprof"
	"sync"
	"time"
)

// Cmd is the subcommand that measures the overhead of a gateway.
type Cmd struct {
	Callers   []int         `help:"Numbers of concurrent callers." default:"1,8,64,512"`
	Round     time.Duration `help:"Length of one round on one path." default:"500ms"`
	Rounds    int           `help:"Rounds on each path for each number of callers." default:"4"`
	Endpoints int           `help:"Endpoints behind the gateway." default:"16"`
	BodyBytes int           `help:"Bytes in each answer." default:"1024"`
	Idle      int           `help:"Idle connections opened to measure memory per connection." default:"2000"`
	Profile   string        `help:"File to write a CPU profile of the levels to."`
}

// Result is the result of the measurement.
type Result struct {
	Endpoints int     `json:"endpoints"`
	BodyBytes int     `json:"body_bytes"`
	Levels    []Level `json:"levels"`
	// RatioThroughput is the lowest ratio over the levels.
	RatioThroughput float64 `json:"ratio_throughput_lowest"`
	// MemoryPerConnectionBytes is the heap and stack in use per idle connection,
	// including the caller's end.
	MemoryPerConnectionBytes float64 `json:"memory_per_connection_bytes"`
	// Sizes are the allocations by body size.
	Sizes []SizeCost `json:"sizes"`
}

// Level is the result for one number of callers. Latencies are in microseconds.
type Level struct {
	Callers int  `json:"callers"`
	Direct  Path `json:"direct"`
	Gateway Path `json:"gateway"`
	// Plain is a bare proxy on net/http without routing, limits, load balancing or
	// outcomes: the minimum cost of any gateway built on net/http.
	Plain           Path    `json:"plain"`
	RatioThroughput float64 `json:"ratio_throughput"`
	RatioCPU        float64 `json:"ratio_cpu"`
	// RatioPlain is the throughput of the plain proxy divided by that of the direct
	// path.
	RatioPlain float64 `json:"ratio_plain"`
	AddedP50Us float64 `json:"added_p50_us"`
	AddedP99Us float64 `json:"added_p99_us"`
	// AddedCPUUs and AddedAllocations are per request, gateway minus direct path.
	AddedCPUUs       float64 `json:"added_cpu_us"`
	AddedAllocations float64 `json:"added_allocations"`
}

// Path is the result of one path. CPU time and allocations are per request and over
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

// SizeCost is the allocations of a request of one body size through the gateway,
// minus those on the direct path.
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
	// Measured first, while the heap is small: garbage of the levels would hide the
	// memory of connections.
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
	if r.Sizes, err = measureSizes(bench); err != nil {
		return err
	}
	*result = r
	return nil
}

// startProfile starts a CPU profile that is written to file, if not empty. stop may
// be called twice.
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
		// The profile is optional, and a truncated one is noticed when it is read.
		_ = out.Close()
	}), pprof.StartCPUProfile(out)
}

func (c *Cmd) level(bench *bench, callers int) (Level, error) {
	direct := newLoad(callers, bench.endpoints, workPath(c.BodyBytes), 0)
	defer direct.close()
	viaGateway := newLoad(callers, []string{bench.gateway}, workPath(c.BodyBytes), 0)
	defer viaGateway.close()
	plain := newLoad(callers, []string{bench.plain}, workPath(c.BodyBytes), 0)
	defer plain.close()
	// The first round opens the connections and isn't counted.
	for round := range c.Rounds + 1 {
		for _, load := range []*load{direct, viaGateway, plain} {
			if err := load.runFor(c.Round); err != nil {
				return Level{}, err
			}
			if round == 0 {
				load.reset()
			}
		}
	}
	return compare(callers, direct.result(), viaGateway.result(), plain.result()), nil
}

func compare(callers int, direct, viaGateway, plain Path) Level {
	return Level{
		Callers: callers, Direct: direct, Gateway: viaGateway, Plain: plain,
		RatioThroughput:  viaGateway.PerSecond / direct.PerSecond,
		RatioPlain:       plain.PerSecond / direct.PerSecond,
		RatioCPU:         viaGateway.CPUUs / direct.CPUUs,
		AddedP50Us:       viaGateway.P50Us - direct.P50Us,
		AddedP99Us:       viaGateway.P99Us - direct.P99Us,
		AddedCPUUs:       viaGateway.CPUUs - direct.CPUUs,
		AddedAllocations: viaGateway.Allocations - direct.Allocations,
	}
}
