package configrelay

import "github.com/prometheus/client_golang/prometheus"

type metrics struct{ asked *prometheus.CounterVec }

func newMetrics(registerer prometheus.Registerer, age func() float64) *metrics {
	m := &metrics{asked: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_configuration_requests_total", Help: "Other entry hosts asked for their configuration, by what they answered.",
	}, []string{"answer"})}
	if registerer != nil {
		registerer.MustRegister(m.asked, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "glade_configuration_age_seconds", Help: "Time since the configuration in force was known to be the newest.",
		}, age))
	}
	return m
}
