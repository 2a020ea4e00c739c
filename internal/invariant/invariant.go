// Package invariant asserts inside the running program what must always hold.
// A violation is counted and logged with its evidence; in tests it fails the
// test. The assertions are compiled in always.
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
	// BudgetRespected: our own disruptions never exceed a service's budget.
	BudgetRespected Rule = "budget_held"
	// OnePool: a host belongs to exactly one pool.
	OnePool Rule = "one_pool"
	// RevisionMonotonic: the served revision never goes back.
	RevisionMonotonic Rule = "revision_forward"
	// SingleAttempt: no second attempt of a non-idempotent request once a byte
	// of the first may have reached an endpoint.
	SingleAttempt Rule = "single_attempt"
	// NoWorkAfterDrain: no new work to an endpoint some seconds after it
	// began to leave.
	NoWorkAfterDrain Rule = "no_work_after_leaving"
	// ResponseMatchesRequest: an answer goes to the request it was made for.
	ResponseMatchesRequest Rule = "answer_belongs"
	// NoInFlightAtExit: a planned stop ends with nothing in flight.
	NoInFlightAtExit Rule = "empty_at_exit"
	// SharesWithinLimit: connection and slot shares sum to at most the limit.
	SharesWithinLimit Rule = "shares_within_limit"
	// TaskPlacedOnce: a task of a job is given to one worker at a time.
	TaskPlacedOnce Rule = "task_placed_once"
	// QuotaRespected: what we start never takes a team over its quota.
	QuotaRespected Rule = "quota_held"
)

// Checker counts and reports violations. It is safe for concurrent use.
type Checker struct {
	log     zerolog.Logger
	counter *prometheus.CounterVec

	mu         sync.Mutex
	violations []Violation
}

// Violation is one broken invariant with its evidence.
type Violation struct {
	Rule     Rule
	Evidence string
}

// maxKept bounds the violations kept for Violations; all are counted.
const maxKept = 100

// New returns a checker that logs to log and counts in registerer. A nil
// registerer counts nowhere.
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

// Assert reports a violation of rule unless condition holds. Evidence is only
// called on a violation.
func (c *Checker) Assert(rule Rule, condition bool, evidence func() string) bool {
	if condition {
		return true
	}
	text := evidence()
	c.counter.WithLabelValues(string(rule)).Inc()
	c.log.Error().Str("rule", string(rule)).Str("evidence", text).Msg("Invariant violated.")
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < maxKept {
		c.violations = append(c.violations, Violation{Rule: rule, Evidence: text})
	}
	return false
}

// Violations returns the first violations seen.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
