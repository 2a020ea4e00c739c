package jobs

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Manager.
type Metrics struct {
	plan        prometheus.Histogram
	starts      prometheus.Counter
	ended       *prometheus.CounterVec
	disruptions *prometheus.CounterVec
}

// NewMetrics returns metrics registered in registerer, or unregistered ones if it
// is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		plan: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_jobs_plan_seconds", Help: "Time to plan one pool's placements.",
			Buckets: prometheus.ExponentialBuckets(1e-5, 4, 9),
		}),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_jobs_starts_total", Help: "Tasks that a worker has taken.",
		}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_jobs_ended_total", Help: "Tasks that ended, by how.",
		}, []string{"how"}),
		disruptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_jobs_disturbed_total", Help: "Tasks told to make room or to end, by how.",
		}, []string{"how"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.plan, m.starts, m.ended, m.disruptions)
	}
	return m
}
