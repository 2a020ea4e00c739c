package daemon

import (
	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/telemetry"
)

// newAudit returns the recorder of the changes that this controller accepts.
func (c *Controller) newAudit() *audit.Recorder {
	return audit.NewRecorder(audit.Config{
		Store: c.store, Member: c.self.ID, RetentionDays: c.settings.Audit.KeepDays, ShouldSweep: c.shards.Shard(auditShard).Owned,
		Log: telemetry.PartLogger(c.log, "audit"), Registerer: c.registry,
	})
}

// newRecorder returns the part that samples availability during waves.
func (c *Controller) newRecorder() *report.Recorder {
	return report.NewRecorder(report.Config{
		Store: c.store, Feed: c.feed, Hosts: c.hosts, Shard: c.shards.Shard(reportShard), Log: telemetry.PartLogger(c.log, "report"),
		SampleInterval: c.settings.Report.Sample, WriteInterval: c.settings.Report.Write,
	})
}

// newAPI returns this controller's API for operators.
func (c *Controller) newAPI() *operatorapi.Server {
	return operatorapi.New(operatorapi.Config{
		Store:         c.store,
		Feed:          c.feed,
		Confirmer:     drainer.AllMembersConfirmer{Confirmer: c.confirm},
		Hosts:         c.hosts,
		Prober:        &operatorapi.PeerProber{Client: c.peerClient},
		Invariant:     c.invariant,
		Deletions:     c.deletions,
		Audit:         c.audit,
		Registerer:    c.registry,
		Authenticator: c.trust.operatorAuthenticator(),
		Log:           telemetry.PartLogger(c.log, "api"),
	})
}
