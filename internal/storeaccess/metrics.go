package storeaccess

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of an entry host's access to the store.
type Metrics struct {
	following prometheus.Gauge
	calls     *prometheus.CounterVec
	served    *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with registerer, unless that is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		following: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_store_following", Help: "1 if this entry host follows another one for what all watch, 0 if it watches the store.",
		}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_store_relayed_calls_total", Help: "Calls refused by the store that were made through another entry host, by whether the store served that one.",
		}, []string{"result"}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_store_served_calls_total", Help: "Calls that this entry host answered in place of the store or passed on to it for others, by kind.",
		}, []string{"kind"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.following, m.calls, m.served)
	}
	return m
}

func (m *Metrics) follows(source string) {
	following := 1.0
	if source == directSource {
		following = 0
	}
	m.following.Set(following)
}

func (m *Metrics) relayed(served bool) {
	result := "refused"
	if served {
		result = "served"
	}
	m.calls.WithLabelValues(result).Inc()
}

// servedKind is a kind of call that an entry host answers for others.
type servedKind string

const (
	servedList  servedKind = "list"
	servedWatch servedKind = "watch"
	servedCall  servedKind = "call"
)

func (m *Metrics) serves(kind servedKind) { m.served.WithLabelValues(string(kind)).Inc() }
