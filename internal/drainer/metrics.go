package drainer

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	steps    *prometheus.CounterVec
	refusals prometheus.Counter
	orphans  prometheus.Counter
	// lastReconcile is when the last reconcile ended, in seconds since the Unix
	// epoch.
	lastReconcile prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_drainer_steps_total", Help: "Steps of hosts through maintenance that this controller applied, by verb.",
		}, []string{"verb"}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_drainer_refusals_total", Help: "Hosts that a budget did not let out when asked.",
		}),
		orphans: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_drainer_orphaned_grants_total", Help: "Grants released because no host record stood for them.",
		}),
		lastReconcile: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_drainer_last_round_timestamp_seconds", Help: "When this controller last ended a look at the fleet.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.steps, m.refusals, m.orphans, m.lastReconcile)
	}
	return m
}
