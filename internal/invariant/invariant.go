// Package invariant checks invariants in the running program. A violation is
// counted and logged with its evidence; in tests it fails the test. The checks
// are always compiled in.
package invariant

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Rule names one invariant.
type Rule string

// The invariants of the system.
const (
	// BudgetRespected: disruptions caused by the system never exceed a service's
	// disruption budget.
	BudgetRespected Rule = "budget_held"
	// OnePool: a host belongs to exactly one pool.
	OnePool Rule = "one_pool"
	// RevisionMonotonic: the served revision never decreases.
	RevisionMonotonic Rule = "revision_forward"
	// SingleAttempt: a non-idempotent request is not attempted again once a byte
	// of its first attempt may have reached an endpoint.
	SingleAttempt Rule = "single_attempt"
	// NoWorkAfterDrain: an endpoint gets no new work from some seconds after it
	// began to drain.
	NoWorkAfterDrain Rule = "no_work_after_leaving"
	// ResponseMatchesRequest: a response is delivered to the request that it was
	// made for.
	ResponseMatchesRequest Rule = "answer_belongs"
	// NoInFlightAtExit: a planned stop ends with no request in flight.
	NoInFlightAtExit Rule = "empty_at_exit"
	// SharesWithinLimit: the sum of connection shares, and that of slot shares,
	// is at most the limit.
	SharesWithinLimit Rule = "shares_within_limit"
	// TaskPlacedOnce: a task of a job is assigned to one worker at a time.
	TaskPlacedOnce Rule = "task_placed_once"
	// QuotaRespected: the runs that the system starts never take a team over its
	// quota.
	QuotaRespected Rule = "quota_held"
)

// Checker counts and reports violations. It is safe for concurrent use.
type Checker struct {
	log     zerolog.Logger
	counter *prometheus.CounterVec

	mu         sync.Mutex
	violations []Violation
}

// Violation is a violated invariant with its evidence.
type Violation struct {
	Rule     Rule
	Evidence string
}

// maxStored bounds the violations that Violations returns; all are counted.
const maxStored = 100

// New returns a checker that logs to log and registers its counter with
// registerer. A nil registerer leaves the counter unregistered.
func New(log zerolog.Logger, registerer prometheus.Registerer) *Checker {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_invariant_violations_total",
		Help: "Broken invariants by rule. Any value above zero is a fault in auburnglade.",
	}, []string{"rule"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return &Checker{log: log, counter: counter}
}

// Assert records a violation of rule unless condition holds, and returns
// condition. evidence is only called on a violation.
func (c *Checker) Assert(rule Rule, condition bool, evidence func() string) bool {
	if condition {
		return true
	}
	text := evidence()
	c.counter.WithLabelValues(string(rule)).Inc()
	c.log.Error().Str("rule", string(rule)).Str("evidence", text).Msg("Invariant violated.")
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < maxStored {
		c.violations = append(c.violations, Violation{Rule: rule, Evidence: text})
	}
	return false
}

// Violations returns the recorded violations, which are the first maxStored ones.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
