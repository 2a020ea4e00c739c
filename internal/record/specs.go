package record

import (
	"slices"
	"time"
)

// Service is a request-serving service that callers reach through the entry
// hosts. Its endpoints run on the hosts of the pools that list it.
type Service struct {
	// PathPrefix routes a caller's request to this service, such as "/match/".
	PathPrefix string `json:"pathPrefix"`
	// Port is the TCP port of its endpoints.
	Port int `json:"port"`
	// SlotsPerEndpoint is the maximum number of concurrent requests of one
	// endpoint across all entry hosts. Zero means DefaultSlots.
	SlotsPerEndpoint int `json:"slotsPerEndpoint,omitempty"`
	// ConnectionsPerEndpoint is the maximum number of connections to one
	// endpoint across all entry hosts. Zero means DefaultConnections.
	ConnectionsPerEndpoint int `json:"connectionsPerEndpoint,omitempty"`
	// NonIdempotent lists requests that must run at most once.
	NonIdempotent []RequestPattern `json:"nonIdempotent,omitempty"`
	// TimeoutSeconds limits one request from acceptance to the last byte, in
	// seconds. Zero means DefaultTimeout.
	TimeoutSeconds int `json:"timeoutSeconds,omitempty"`
}

// RequestPattern matches requests by method and path prefix. An empty method
// matches every method.
type RequestPattern struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Defaults of a Service. They are the size of an endpoint in the first
// deployments.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultTimeout     = 30 * time.Second
)

// Slots returns the slots of one endpoint, or the default.
func (s *Service) Slots() int { return orDefault(s.SlotsPerEndpoint, DefaultSlots) }

// Connections returns the connections of one endpoint, or the default.
func (s *Service) Connections() int {
	return orDefault(s.ConnectionsPerEndpoint, DefaultConnections)
}

// Timeout returns the request timeout, or the default.
func (s *Service) Timeout() time.Duration {
	return orDefault(time.Duration(s.TimeoutSeconds)*time.Second, DefaultTimeout)
}

// Pool is a named set of hosts that run the same services and jobs.
type Pool struct {
	// Services lists the services whose endpoints run on each host.
	Services []string `json:"services,omitempty"`
	// Size is the desired number of hosts.
	Size int `json:"size"`
	// Zones restricts the pool to these availability zones; empty means all.
	Zones []string `json:"zones,omitempty"`
	// Jobs allows jobs to be placed on the pool's hosts.
	Jobs bool `json:"jobs,omitempty"`
	// MaxPerRack is the maximum number of its hosts in one rack; zero means no
	// limit.
	MaxPerRack int `json:"maxPerRack,omitempty" schema:"2"`
}

// FailureMargin is the failure domain whose loss a budget must tolerate while
// hosts are out for maintenance.
type FailureMargin string

// The failure margins.
const (
	MarginNone FailureMargin = "none"
	MarginHost FailureMargin = "host"
	MarginRack FailureMargin = "rack"
	MarginZone FailureMargin = "zone"
)

// Budget limits how many endpoints of one service may be unavailable.
type Budget struct {
	Service string `json:"service"`
	// MinAvailable is the number of endpoints that must stay available.
	MinAvailable int `json:"minAvailable"`
	// Margin is the failure domain that may be lost in addition to planned
	// disruptions with MinAvailable still met. Empty means MarginNone.
	Margin FailureMargin `json:"margin,omitempty"`
}

// Wave maintains every host of its pools once: drain, reboot, health check,
// return to service.
type Wave struct {
	// Pools lists the pools whose hosts are maintained.
	Pools []string `json:"pools"`
	// MaxParallel is the maximum number of hosts out at once; zero means that
	// only the budgets limit it.
	MaxParallel int `json:"maxParallel,omitempty"`
	// DrainSeconds is the time limit for in-flight work to end, in seconds.
	DrainSeconds int `json:"drainSeconds,omitempty"`
	// RebootSeconds is how long a rebooting host may be unreachable before it
	// counts as failed, in seconds.
	RebootSeconds int `json:"rebootSeconds,omitempty"`
	// MinHealthySeconds is how long a returned host must stay healthy, in
	// seconds.
	MinHealthySeconds int `json:"proofSeconds,omitempty"`
	// MaxFailedHosts stops the wave when more hosts than this have failed.
	MaxFailedHosts int `json:"maxFailedHosts,omitempty"`
	// Paused stops the wave from taking out further hosts; hosts already out
	// are completed.
	Paused bool `json:"paused,omitempty"`
	// Cancelled ends the wave once the hosts already out are back.
	Cancelled bool `json:"cancelled,omitempty"`
	// ResumeGeneration resumes a stopped wave when it is increased.
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

// Window is a daily time window, in UTC, in which hosts may be taken out.
type Window struct {
	// From and To are "HH:MM"; a To before From extends past midnight.
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

// DrainTimeout returns the drain time limit, or the default.
func (w *Wave) DrainTimeout() time.Duration { return seconds(w.DrainSeconds, DefaultDrainTimeout) }

// RebootTimeout returns the reboot time limit, or the default.
func (w *Wave) RebootTimeout() time.Duration { return seconds(w.RebootSeconds, DefaultRebootTimeout) }

// MinHealthyTime returns the length of the health check, or the default.
func (w *Wave) MinHealthyTime() time.Duration {
	return seconds(w.MinHealthySeconds, DefaultMinHealthyTime)
}

// Priority is the scheduling priority of a job.
type Priority string

// The priorities, highest first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Job requests tasks to be placed on the hosts of a pool.
type Job struct {
	Pool string `json:"pool"`
	Team string `json:"team"`
	// Tasks is the number of tasks; zero means one.
	Tasks int `json:"tasks,omitempty"`
	// Resources is the declared resource need of one task.
	Resources Resources `json:"resources"`
	// ExpectedSeconds is the declared run time of one task, in seconds.
	ExpectedSeconds int      `json:"expectedSeconds,omitempty"`
	Priority        Priority `json:"priority,omitempty"`
	// DeadlineSeconds is how long after its acceptance the job must be done, in
	// seconds; zero means no deadline.
	DeadlineSeconds int `json:"deadlineSeconds,omitempty"`
	// Command is passed to the worker unchanged.
	Command   []string `json:"command,omitempty"`
	Cancelled bool     `json:"cancelled,omitempty"`
}

// Resources is an amount of host resources.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"milliCpu"`
	MemoryMB     int `json:"memoryMb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Quota limits the total resources of one team's running tasks.
type Quota struct {
	Team      string    `json:"team"`
	Resources Resources `json:"resources"`
}

// Policy weighs the objectives of the planner against each other for the whole
// deployment. There is one record, named PolicyName.
type Policy struct {
	// BufferWeight, RolloutWeight and MovesWeight are relative, 0 to 100.
	BufferWeight  int `json:"bufferWeight"`
	RolloutWeight int `json:"rolloutWeight"`
	MovesWeight   int `json:"movesWeight"`
	// MoveStabilizationSeconds is how long a reason to move a host must persist
	// before the host is moved, in seconds.
	MoveStabilizationSeconds int `json:"moveHoldSeconds,omitempty"`
}

// PolicyName is the name of the one active Policy record.
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
