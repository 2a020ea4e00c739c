package record

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxSlots       = 1024
	maxConnections = 16_384
	maxSeconds     = 7 * 24 * 3600
	maxPoolSize    = 100_000
	maxTasks       = 10_000
	maxWeight      = 100
	maxPort        = 65_535
	windowLayout   = "15:04"
)

var weekdays = []string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}

// Validate implements Spec.
func (s *Service) Validate() FieldErrors {
	var c checker
	c.pathPrefix("spec.pathPrefix", s.PathPrefix)
	c.inRange("spec.port", s.Port, 1, maxPort)
	c.inRange("spec.slotsPerEndpoint", s.SlotsPerEndpoint, 0, maxSlots)
	c.inRange("spec.connectionsPerEndpoint", s.ConnectionsPerEndpoint, 0, maxConnections)
	c.inRange("spec.timeoutSeconds", s.TimeoutSeconds, 0, maxSeconds)
	if s.Connections() < s.Slots() {
		c.fault("spec.connectionsPerEndpoint", strconv.Itoa(s.Connections()), "at least slotsPerEndpoint")
	}
	for i, pattern := range s.NonIdempotent {
		path := fmt.Sprintf("spec.nonIdempotent[%d]", i)
		c.pathPrefix(path+".pathPrefix", pattern.PathPrefix)
		if pattern.Method != strings.ToUpper(pattern.Method) {
			c.fault(path+".method", pattern.Method, "an upper-case HTTP method or nothing")
		}
	}
	return c.faults
}

// Validate implements Spec.
func (p *Pool) Validate() FieldErrors {
	var c checker
	c.inRange("spec.size", p.Size, 0, maxPoolSize)
	c.inRange("spec.maxPerRack", p.MaxPerRack, 0, maxPoolSize)
	c.names("spec.services", p.Services)
	c.names("spec.zones", p.Zones)
	return c.faults
}

// Validate implements Spec.
func (b *Budget) Validate() FieldErrors {
	var c checker
	c.name("spec.service", b.Service)
	c.inRange("spec.minAvailable", b.MinAvailable, 0, maxPoolSize)
	margins := []FailureMargin{"", MarginNone, MarginHost, MarginRack, MarginZone}
	if !slices.Contains(margins, b.Margin) {
		c.fault("spec.margin", string(b.Margin), "one of none, host, rack, zone")
	}
	return c.faults
}

// Validate implements Spec.
func (w *Wave) Validate() FieldErrors {
	var c checker
	if len(w.Pools) == 0 {
		c.fault("spec.pools", "", "at least one pool")
	}
	c.names("spec.pools", w.Pools)
	c.names("spec.hosts", w.Hosts)
	c.inRange("spec.maxParallel", w.MaxParallel, 0, maxPoolSize)
	c.inRange("spec.drainSeconds", w.DrainSeconds, 0, maxSeconds)
	c.inRange("spec.rebootSeconds", w.RebootSeconds, 0, maxSeconds)
	c.inRange("spec.proofSeconds", w.MinHealthySeconds, 0, maxSeconds)
	c.inRange("spec.maxFailedHosts", w.MaxFailedHosts, 0, maxPoolSize)
	c.inRange("spec.resumeGeneration", w.ResumeGeneration, 0, maxPoolSize)
	for i, window := range w.Windows {
		c.window(fmt.Sprintf("spec.windows[%d]", i), window)
	}
	return c.faults
}

// Validate implements Spec.
func (j *Job) Validate() FieldErrors {
	var c checker
	c.name("spec.pool", j.Pool)
	c.name("spec.team", j.Team)
	c.inRange("spec.tasks", j.Tasks, 0, maxTasks)
	c.inRange("spec.expectedSeconds", j.ExpectedSeconds, 0, maxSeconds)
	c.inRange("spec.deadlineSeconds", j.DeadlineSeconds, 0, maxSeconds)
	c.resources("spec.resources", j.Resources)
	priorities := []Priority{"", PriorityUrgent, PriorityNormal, PriorityLow}
	if !slices.Contains(priorities, j.Priority) {
		c.fault("spec.priority", string(j.Priority), "one of urgent, normal, low")
	}
	return c.faults
}

// Validate implements Spec.
func (q *Quota) Validate() FieldErrors {
	var c checker
	c.name("spec.team", q.Team)
	c.resources("spec.resources", q.Resources)
	return c.faults
}

// Validate implements Spec.
func (p *Policy) Validate() FieldErrors {
	var c checker
	c.inRange("spec.bufferWeight", p.BufferWeight, 0, maxWeight)
	c.inRange("spec.rolloutWeight", p.RolloutWeight, 0, maxWeight)
	c.inRange("spec.movesWeight", p.MovesWeight, 0, maxWeight)
	c.inRange("spec.moveHoldSeconds", p.MoveStabilizationSeconds, 0, maxSeconds)
	return c.faults
}

type checker struct{ faults FieldErrors }

func (c *checker) fault(field, got, want string) {
	c.faults = append(c.faults, FieldError{Field: field, Got: got, Want: want})
}

func (c *checker) inRange(field string, value, low, high int) {
	if value < low || value > high {
		c.fault(field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) name(field, value string) {
	c.faults = append(c.faults, checkName(field, value)...)
}

func (c *checker) names(field string, values []string) {
	for i, value := range values {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.name(path, value)
		if slices.Contains(values[:i], value) {
			c.fault(path, value, "each name once")
		}
	}
}

func (c *checker) pathPrefix(field, value string) {
	if !strings.HasPrefix(value, "/") || !strings.HasSuffix(value, "/") {
		c.fault(field, value, "a path that starts and ends with /")
	}
}

func (c *checker) resources(field string, r Resources) {
	c.inRange(field+".milliCpu", r.MilliCPU, 0, 1<<30)
	c.inRange(field+".memoryMb", r.MemoryMB, 0, 1<<30)
	c.inRange(field+".accelerators", r.Accelerators, 0, 1<<20)
}

func (c *checker) window(field string, w Window) {
	if _, err := time.Parse(windowLayout, w.From); err != nil {
		c.fault(field+".from", w.From, "HH:MM")
	}
	if _, err := time.Parse(windowLayout, w.To); err != nil {
		c.fault(field+".to", w.To, "HH:MM")
	}
	for i, day := range w.Days {
		if !slices.Contains(weekdays, day) {
			c.fault(fmt.Sprintf("%s.days[%d]", field, i), day, "one of "+strings.Join(weekdays, ", "))
		}
	}
}

func checkName(field, value string) FieldErrors {
	if len(value) <= maxNameLength && namePattern.MatchString(value) {
		return nil
	}
	want := fmt.Sprintf("1 to %d of a-z, 0-9, '-' and '.', starting and ending with a letter or digit", maxNameLength)
	return FieldErrors{{Field: field, Got: value, Want: want}}
}

func atoi(text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return value
}
