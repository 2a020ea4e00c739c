package daemon

import (
	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/telemetry"
)

// newAudit returns the book of changes that this controller accepts.
func (c *Controller) newAudit() *audit.Book {
	return audit.NewBook(audit.Config{
		Store: c.store, Member: c.self.ID, KeepDays: c.settings.Audit.KeepDays, Sweeps: c.shards.Shard(auditShard).Held,
		Log: telemetry.Part(c.log, "audit"), Registerer: c.registry,
	})
}

// newRecorder returns the part that samples what waves do to availability.
func (c *Controller) newRecorder() *report.Recorder {
	return report.NewRecorder(report.Config{
		Store: c.store, Feed: c.feed, Hosts: c.hosts, Shard: c.shards.Shard(reportShard), Log: telemetry.Part(c.log, "report"),
		Sample: c.settings.Report.Sample, Write: c.settings.Report.Write,
	})
}

// newAPI returns the operators' API of this controller.
func (c *Controller) newAPI() *operatorapi.Server {
	return operatorapi.New(operatorapi.Config{
		Store:      c.store,
		Feed:       c.feed,
		Confirmer:  drainer.Live{Confirmer: c.confirm},
		Hosts:      c.hosts,
		Prober:     &operatorapi.PeerProber{Client: c.asker},
		Invariant:  c.invariant,
		Journal:    c.journal,
		Audit:      c.audit,
		Registerer: c.registry,
		Operators:  c.trust.operators(),
		Log:        telemetry.Part(c.log, "api"),
	})
}
