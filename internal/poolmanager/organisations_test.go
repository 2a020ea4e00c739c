package poolmanager

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/work"
)

// Guards against a series for each of thousands of organisations: those beyond the bound
// are counted together, and each keeps its label.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	labels := newOrganisationLabels()
	for i := range 10 * maxOrganisationLabels {
		labels.label(fmt.Sprint("o", i))
	}
	must.EqOp(t, "o3", labels.label("o3"))
	must.EqOp(t, otherOrganisations, labels.label("o500"))
	must.EqOp(t, noOrganisation, labels.label(""))
}

// The figures of organisations without a label of their own must be summed, and only
// organisations with tasks have a share by weight.
func TestSharesAreSummedByLabel(t *testing.T) {
	labels := newOrganisationLabels()
	labels.label("a")
	for i := range maxOrganisationLabels - 1 {
		labels.label(fmt.Sprint("x", i))
	}
	got := sharesByLabel([]sched.OrganisationStats{
		{Name: "a", Weight: 3, Waiting: 4, Starts: 2},
		{Name: "b", Weight: 5, RunningMilliCPU: 700, Starts: 1},
		{Name: "c", Weight: 7, Starts: 9},
	}, labels)
	must.Eq(t, map[string]shares{"a": {waiting: 4, starts: 2, weight: 3}, otherOrganisations: {running: 700, starts: 10, weight: 5}}, got)
}

// A pool that is not held here any more must leave no gauges behind, which would tell old
// shares for ever.
func TestGaugesOfALostPoolAreRemoved(t *testing.T) {
	metrics := NewMetrics(prometheus.NewRegistry())
	for _, pool := range []string{"lost", "kept"} {
		metrics.organisations.due.WithLabelValues(pool, "a").Set(0.5)
	}
	(&Manager{Config: Config{Pool: "lost", Metrics: metrics}}).dropOrganisations()
	must.EqOp(t, 1, testutil.CollectAndCount(metrics.organisations.due))
}

func TestJobResult(t *testing.T) {
	must.EqOp(t, "in time", jobResult(work.Done, sched.Summary{Age: 1, Goal: 1}))
	must.EqOp(t, "late", jobResult(work.Done, sched.Summary{Age: 2, Goal: 1}))
	must.EqOp(t, "failed", jobResult(work.Failed, sched.Summary{Age: 1, Goal: 1}))
}
