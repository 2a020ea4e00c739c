package configfeed

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/store"
)

// Reasons for refusing a configuration.
const (
	reasonOlder  = "older"
	reasonDigest = "digest"
)

type metrics struct {
	revision    prometheus.Gauge
	seen        prometheus.Gauge
	rejected    prometheus.Gauge
	refused     *prometheus.CounterVec
	repairs     prometheus.Counter
	storeBehind prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_config_revision",
			Help: "Store revision of the configuration in force in this process.",
		}),
		seen: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_config_seen_revision",
			Help: "Highest revision this process has heard of from anyone. It is behind while this is above glade_config_revision.",
		}),
		rejected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_config_rejected_records",
			Help: "Records whose newest version is not in force because it is invalid or not understood.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_config_refused_total",
			Help: "Configurations offered and refused, by reason: older, or digest when the delta does not lead to what its sender holds.",
		}, []string{"reason"}),
		repairs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_config_repairs_total",
			Help: "Times the configuration in force had missed an event and was replaced by the store's listing.",
		}),
		storeBehind: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_config_store_behind_revisions",
			Help: "How far the store is behind the configuration in force. Above zero it was restored from a backup.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.revision, m.seen, m.rejected, m.refused, m.repairs, m.storeBehind)
	}
	return m
}

func (m *metrics) recordRefusal(err error) {
	var older *configstate.StaleRevisionError
	if errors.As(err, &older) {
		m.refused.WithLabelValues(reasonOlder).Inc()
		return
	}
	m.refused.WithLabelValues(reasonDigest).Inc()
}

func (m *metrics) setSeen(revision store.Revision) { m.seen.Set(float64(revision)) }
