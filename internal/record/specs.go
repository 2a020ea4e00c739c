package record

import (
	"slices"
	"time"
)

// Service is a request-serving service that callers reach through the entry
// hosts. Its endpoints run on the hosts of the pools that name it.
type Service struct {
	// PathPrefix routes a caller's request to this service, such as "/match/".
	PathPrefix string `json:"pathPrefix"`
	// Port is the TCP port of its endpoints.
	Port int `json:"port"`
	// SlotsPerEndpoint is how many requests one endpoint works on at once,
	// over all entry hosts. Zero means DefaultSlots.
	SlotsPerEndpoint int `json:"slotsPerEndpoint,omitempty"`
	// ConnectionsPerEndpoint is how many connections one endpoint takes, over
	// all entry hosts. Zero means DefaultConnections.
	ConnectionsPerEndpoint int `json:"connectionsPerEndpoint,omitempty"`
	// NonIdempotent lists requests that must run at most once.
	NonIdempotent []RequestPattern `json:"nonIdempotent,omitempty"`
	// TimeoutSeconds bounds one request from acceptance to the last byte.
	// Zero means DefaultTimeout.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// RequestPattern matches requests by method and path prefix. An empty method
// matches every method.
type RequestPattern struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Defaults of a Service, from the sizes of today in the users' brief.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultTimeout     = 30 * time.Second
)

// Slots returns the slots of one endpoint with the default applied.
func (s *Service) Slots() int { return orDefault(s.SlotsPerEndpoint, DefaultSlots) }

// Connections returns the connections of one endpoint with the default applied.
func (s *Service) Connections() int {
	return orDefault(s.ConnectionsPerEndpoint, DefaultConnections)
}

// Timeout returns the request timeout with the default applied.
func (s *Service) Timeout() time.Duration {
	return orDefault(time.Duration(s.TimeoutSeconds)*time.Second, DefaultTimeout)
}

// Pool is a named set of hosts that run the same services and jobs.
type Pool struct {
	// Services names the services whose endpoints run on each host.
	Services []string `json:"services,omitempty"`
	// Size is how many hosts the pool should have.
	Size int `json:"size"`
	// Zones restricts the pool to these availability zones; empty means all.
	Zones []string `json:"zones,omitempty"`
	// Jobs says whether jobs may be placed on the pool's hosts.
	Jobs bool `json:"jobs,omitempty"`
	// MaxPerRack bounds how many of its hosts share a rack; zero means no bound.
	MaxPerRack int `json:"maxPerRack,omitempty" schema:"2"`
}

// FailureMargin names the failure domain whose loss a budget must survive
// while hosts are out for maintenance.
type FailureMargin string

// The failure margins.
const (
	MarginNone FailureMargin = "none"
	MarginHost FailureMargin = "host"
	MarginRack FailureMargin = "rack"
	MarginZone FailureMargin = "zone"
)

// Budget bounds how many endpoints of one service may be unavailable.
type Budget struct {
	Service string `json:"service"`
	// MinAvailable is how many endpoints must stay available.
	MinAvailable int `json:"minAvailable"`
	// Margin is the failure domain that may be lost on top of our own
	// disruptions with MinAvailable still met. Empty means MarginNone.
	Margin FailureMargin `json:"margin,omitempty"`
}

// Wave takes every host of its pools out once: drain, reboot, proof, return.
type Wave struct {
	// Pools names the pools whose hosts are maintained.
	Pools []string `json:"pools"`
	// MaxParallel bounds the hosts out at once; zero leaves it to the budgets.
	MaxParallel int `json:"maxParallel,omitempty"`
	// DrainSeconds is how long in-flight work may take to end.
	DrainSeconds int `json:"drainSeconds,omitempty"`
	// RebootSeconds is how long a host may stay away before it counts as failed.
	RebootSeconds int `json:"rebootSeconds,omitempty"`
	// MinHealthySeconds is how long a returned host must stay healthy.
	MinHealthySeconds int `json:"proofSeconds,omitempty"`
	// MaxFailedHosts stops the wave when more hosts than this have failed.
	MaxFailedHosts int `json:"maxFailedHosts,omitempty"`
	// Paused starts no further host; hosts already out are finished.
	Paused bool `json:"paused,omitempty"`
	// Cancelled ends the wave once the hosts already out are back.
	Cancelled bool `json:"cancelled,omitempty"`
	// ResumeGeneration, when raised, lets a stopped wave go on.
	ResumeGeneration int `json:"resumeGeneration,omitempty"`
	// Windows restricts when hosts may be taken out; empty means always.
	Windows []Window `json:"windows,omitempty" schema:"2"`
	// Hosts restricts the wave to these hosts of its pools; empty means all.
	Hosts []string `json:"hosts,omitempty" schema:"2"`
}

// Covers reports whether the wave maintains a host of its pools.
func (w *Wave) Covers(host string) bool {
	return len(w.Hosts) == 0 || slices.Contains(w.Hosts, host)
}

// Window is a daily span of time, in UTC, in which hosts may be taken out.
type Window struct {
	// From and To are "HH:MM"; a To before From runs over midnight.
	From string `json:"from"`
	To   string `json:"to"`
	// Days are three-letter English weekdays; empty means every day.
	Days []string `json:"days,omitempty"`
}

// Defaults of a Wave.
const (
	DefaultDrainTimeout   = 30 * time.Second
	DefaultRebootTimeout  = 10 * time.Minute
	DefaultMinHealthyTime = 5 * time.Second
)

// DrainTimeout returns the drain deadline with the default applied.
func (w *Wave) DrainTimeout() time.Duration { return seconds(w.DrainSeconds, DefaultDrainTimeout) }

// RebootTimeout returns the reboot deadline with the default applied.
func (w *Wave) RebootTimeout() time.Duration { return seconds(w.RebootSeconds, DefaultRebootTimeout) }

// MinHealthyTime returns the health proof's length with the default applied.
func (w *Wave) MinHealthyTime() time.Duration {
	return seconds(w.MinHealthySeconds, DefaultMinHealthyTime)
}

// Priority orders jobs.
type Priority string

// The priorities, urgent first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Job asks for tasks to be placed on the hosts of a pool.
type Job struct {
	Pool string `json:"pool"`
	Team string `json:"team"`
	// Tasks is how many tasks the job has; zero means one.
	Tasks int `json:"tasks,omitempty"`
	// Resources is what one task is declared to need.
	Resources Resources `json:"resources"`
	// ExpectedSeconds is the declared run time of one task.
	ExpectedSeconds int      `json:"expectedSeconds,omitempty"`
	Priority        Priority `json:"priority,omitempty"`
	// DeadlineSeconds is how long after its acceptance the job must be done;
	// zero means no deadline.
	DeadlineSeconds int `json:"deadlineSeconds,omitempty"`
	// Command is handed to the worker as it is.
	Command   []string `json:"command,omitempty"`
	Cancelled bool     `json:"cancelled,omitempty"`
}

// Resources is an amount of what workers have.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"milliCpu"`
	MemoryMB     int `json:"memoryMb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Quota bounds what one team's running tasks may hold together.
type Quota struct {
	Team      string    `json:"team"`
	Resources Resources `json:"resources"`
}

// Policy weighs the measures against each other for the whole deployment.
// There is one, named PolicyName.
type Policy struct {
	// BufferWeight, RolloutWeight and MovesWeight are relative, 0 to 100.
	BufferWeight  int `json:"bufferWeight"`
	RolloutWeight int `json:"rolloutWeight"`
	MovesWeight   int `json:"movesWeight"`
	// MoveStabilizationSeconds is how long a reason to move a host must last.
	MoveStabilizationSeconds int `json:"moveHoldSeconds,omitempty"`
}

// PolicyName is the name of the one Policy record in force.
const PolicyName = "default"

// Kind implements Spec.
func (*Service) Kind() Kind { return KindService }

// Kind implements Spec.
func (*Pool) Kind() Kind { return KindPool }

// Kind implements Spec.
func (*Budget) Kind() Kind { return KindBudget }

// Kind implements Spec.
func (*Wave) Kind() Kind { return KindWave }

// Kind implements Spec.
func (*Job) Kind() Kind { return KindJob }

// Kind implements Spec.
func (*Quota) Kind() Kind { return KindQuota }

// Kind implements Spec.
func (*Policy) Kind() Kind { return KindPolicy }

func orDefault[T ~int | ~int64](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func seconds(value int, fallback time.Duration) time.Duration {
	return orDefault(time.Duration(value)*time.Second, fallback)
}
