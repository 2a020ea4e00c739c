package sharemanager

import (
	"context"
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
)

// ConnectionRefusedError reports that a member's address refuses connections.
type ConnectionRefusedError struct {
	Member string
	Cause  error
}

func (e *ConnectionRefusedError) Error() string {
	return fmt.Sprintf("connection refused at the address of %s: %v", e.Member, e.Cause)
}

func (e *ConnectionRefusedError) Unwrap() error { return e.Cause }

// PeerProber probes over the peer interface.
type PeerProber struct{ Client *peer.Client }

// Probe implements Prober.
func (p *PeerProber) Probe(ctx context.Context, m share.Member) (ProbeResult, error) {
	presence, err := p.Client.Exchange(ctx, m.PeerAddress)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ProbeResult{}, &ConnectionRefusedError{Member: m.ID, Cause: err}
	}
	if err != nil {
		return ProbeResult{}, err
	}
	return ProbeResult{Member: presence.Member, Revision: store.Revision(presence.ShareRevision)}, nil
}

type metrics struct {
	revision prometheus.Gauge
	slots    prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_share_agreement_revision",
			Help: "Store revision of the agreement on shares in force in this process.",
		}),
		slots: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glade_share_slots",
			Help: "Endpoint slots that this gateway may use, over all endpoints.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.revision, m.slots)
	}
	return m
}
