package poolmanager

import (
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/work"
)

const (
	// maxOrganisationLabels bounds the organisations that have series of their own; all
	// others are counted together.
	maxOrganisationLabels = 64
	// otherOrganisations is the label of those others, noOrganisation that of jobs
	// without an organisation.
	otherOrganisations = "(others)"
	noOrganisation     = "(none)"
)

// organisationMetrics tells who uses the room of the pools held here.
type organisationMetrics struct {
	jobs, starts       *prometheus.CounterVec
	waiting, due, used *prometheus.GaugeVec
	labels             organisationLabels
}

func newOrganisationMetrics() organisationMetrics {
	labels := []string{"pool", "organisation"}
	return organisationMetrics{
		labels: newOrganisationLabels(),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_organisation_jobs_total", Help: "Jobs that have ended, by pool, organisation and result: in time, late, or their state.",
		}, append(labels, "result")),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_organisation_starts_total", Help: "Starts of tasks ordered, by pool and organisation.",
		}, labels),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_organisation_waiting_tasks", Help: "Tasks that wait for room, by pool and organisation.",
		}, labels),
		due: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_organisation_share_due", Help: "Share of a pool's cores by weight, among the organisations that have tasks there.",
		}, labels),
		used: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_organisation_share_used", Help: "Share of the cores in use in a pool, by organisation.",
		}, labels),
	}
}

func (m organisationMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.jobs, m.starts, m.waiting, m.due, m.used}
}

// jobResult returns the result of an ended job.
func jobResult(state work.State, s sched.Summary) string {
	switch {
	case state != work.Done:
		return string(state)
	case s.Age <= s.Goal:
		return "in time"
	}
	return "late"
}

// organisationLabels gives each organisation its label.
type organisationLabels struct{ *boundedLabels }

func newOrganisationLabels() organisationLabels {
	return organisationLabels{newBoundedLabels(maxOrganisationLabels, otherOrganisations)}
}

func (l organisationLabels) label(organisation string) string {
	if organisation == "" {
		return noOrganisation
	}
	return l.boundedLabels.label(organisation)
}

// shares are the figures of one label.
type shares struct {
	waiting, running, starts int
	weight                   float64
}

// sharesByLabel sums the statistics by label.
func sharesByLabel(list []sched.OrganisationStats, labels organisationLabels) map[string]shares {
	byLabel := make(map[string]shares)
	for _, o := range list {
		label := labels.label(o.Name)
		sum := byLabel[label]
		sum.waiting += o.Waiting
		sum.running += o.RunningMilliCPU
		sum.starts += o.Starts
		if o.Waiting > 0 || o.RunningMilliCPU > 0 {
			sum.weight += o.Weight
		}
		byLabel[label] = sum
	}
	return byLabel
}

// reportOrganisations updates the metrics of the pool's organisations.
func (m *Manager) reportOrganisations() {
	byLabel := sharesByLabel(m.pool.Organisations(), m.Metrics.organisations.labels)
	running, weight := 0, 0.0
	for _, s := range byLabel {
		running += s.running
		weight += s.weight
	}
	metrics := m.Metrics.organisations
	for label, s := range byLabel {
		metrics.starts.WithLabelValues(m.Pool, label).Add(float64(s.starts - m.reportedStarts[label]))
		m.reportedStarts[label] = s.starts
		metrics.waiting.WithLabelValues(m.Pool, label).Set(float64(s.waiting))
		metrics.due.WithLabelValues(m.Pool, label).Set(fraction(s.weight, weight))
		metrics.used.WithLabelValues(m.Pool, label).Set(fraction(float64(s.running), float64(running)))
	}
}

// dropOrganisations removes the gauges of a pool that isn't held here any more.
func (m *Manager) dropOrganisations() {
	pool := prometheus.Labels{"pool": m.Pool}
	for _, gauge := range []*prometheus.GaugeVec{m.Metrics.organisations.waiting, m.Metrics.organisations.due, m.Metrics.organisations.used} {
		gauge.DeletePartialMatch(pool)
	}
}

// fraction returns of/whole, zero of nothing.
func fraction(of, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return of / whole
}
