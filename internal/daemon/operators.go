package daemon

import (
	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/telemetry"
)

// newAudit returns the book of changes that this controller accepts.
func (c *Controller) newAudit() *audit.Recorder {
	return audit.NewRecorder(audit.Config{
		Store: c.store, Member: c.self.ID, RetentionDays: c.settings.Audit.KeepDays, ShouldSweep: c.shards.Shard(auditShard).Owned,
		Log: telemetry.PartLogger(c.log, "audit"), Registerer: c.registry,
	})
}

// newRecorder returns the part that samples what waves do to availability.
func (c *Controller) newRecorder() *report.Recorder {
	return report.NewRecorder(report.Config{
		Store: c.store, Feed: c.feed, Hosts: c.hosts, Shard: c.shards.Shard(reportShard), Log: telemetry.PartLogger(c.log, "report"),
		SampleInterval: c.settings.Report.Sample, WriteInterval: c.settings.Report.Write,
	})
}

// newAPI returns the operators' API of this controller.
func (c *Controller) newAPI() *operatorapi.Server {
	return operatorapi.New(operatorapi.Config{
		Store:         c.store,
		Feed:          c.feed,
		Confirmer:     drainer.AllMembersConfirmer{Confirmer: c.confirm},
		Hosts:         c.hosts,
		Prober:        &operatorapi.PeerProber{Client: c.asker},
		Invariant:     c.invariant,
		Deletions:     c.journal,
		Audit:         c.audit,
		Registerer:    c.registry,
		Authenticator: c.trust.operators(),
		Log:           telemetry.PartLogger(c.log, "api"),
	})
}
