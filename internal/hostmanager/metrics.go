package hostmanager

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of the host manager. Only the process that holds the claim
// updates them.
type Metrics struct {
	wanted, incoming *prometheus.GaugeVec
	moves            *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with registerer, unless that is
// nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		wanted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_pool_hosts_wanted", Help: "Hosts that a pool lacks for what it needs, without those on their way to it.",
		}, []string{"pool"}),
		incoming: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "glade_pool_hosts_incoming", Help: "Hosts that are drained for a pool or on their way to it.",
		}, []string{"pool"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_pool_hosts_given_total", Help: "Hosts that a pool was decided to get, by reason and by whether they were idle or busy.",
		}, []string{"pool", "reason", "state"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.wanted, m.incoming, m.moves)
	}
	return m
}

// observe updates the metrics from the input and the result of a plan.
func (m *Metrics) observe(views []PoolView, decisions []Decision) {
	if m == nil {
		return
	}
	mean := meanHostCPU(views)
	for i := range views {
		v := &views[i]
		m.incoming.WithLabelValues(v.Name).Set(float64(v.Incoming))
		m.wanted.WithLabelValues(v.Name).Set(v.hostsWanted(mean))
	}
	for _, d := range decisions {
		m.moves.WithLabelValues(d.To, string(d.Reason), "idle").Add(float64(d.IdleHosts))
		m.moves.WithLabelValues(d.To, string(d.Reason), "busy").Add(float64(d.BusyHosts))
	}
}

// hostsWanted is how many hosts the pool lacks for its need.
func (p *PoolView) hostsWanted(mean float64) float64 {
	size := p.hostCPU(mean)
	if !p.Known || p.Spare || size <= 0 {
		return 0
	}
	return max(0, (p.need()-p.expectedCapacity(mean))/size)
}
