package configrelay

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	asked, fetched *prometheus.CounterVec
	fetchSeconds   prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer, age func() float64) *metrics {
	m := &metrics{
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_configuration_requests_total", Help: "Other entry hosts asked for their newest revision of the configuration, by what they answered.",
		}, []string{"answer"}),
		fetched: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_configuration_fetches_total", Help: "Versions of the configuration read from other entry hosts, by whether they arrived.",
		}, []string{"result"}),
		fetchSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_configuration_fetch_seconds", Help: "Time to read a version of the configuration from another entry host.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 10),
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.asked, m.fetched, m.fetchSeconds, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "glade_configuration_age_seconds", Help: "Time since the configuration in force was known to be the newest.",
		}, age))
	}
	return m
}
