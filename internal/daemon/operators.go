package daemon

import (
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/telemetry"
)

// newAPI returns the operators' API of this controller.
func (c *Controller) newAPI() *operatorapi.Server {
	return operatorapi.New(operatorapi.Config{
		Store:     c.store,
		Feed:      c.feed,
		Confirmer: drainer.Live{Confirmer: c.confirm},
		Hosts:     c.platform,
		Prober:    &operatorapi.PeerProber{Client: c.asker},
		Invariant: c.invariant,
		Journal:   c.journal,
		Operators: c.trust.operators(),
		Log:       telemetry.Part(c.log, "api"),
	})
}
