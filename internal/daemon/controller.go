package daemon

import (
	"context"
	"io"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/httpserve"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/sharding"
	"auburnglade.example/glade/internal/storelimit"
	"auburnglade.example/glade/internal/telemetry"
)

// The names of the shards other than those of waves.
const (
	movesShard  = "moves"
	jobsShard   = "jobs"
	auditShard  = "audit"
	reportShard = "report"
)

// moverIntervalFactor is the ratio of the mover's reconcile interval to that of the
// other parts. A reason for a move must persist for minutes before it takes effect,
// and planning over the whole fleet at each reconcile would be most of the load of
// an idle controller.
const moverIntervalFactor = 5

// Controller is one glade-controller.
type Controller struct {
	*common
	settings  *ControllerSettings
	confirm   *drainer.PeerConfirmer
	status    *storelimit.StatusWriter
	shards    *sharding.Ownership
	drainer   *drainer.Drainer
	mover     *mover.Mover
	jobs      *jobs.Manager
	api       *operatorapi.Server
	deletions *operatorapi.DeletionLog
	audit     *audit.Recorder
}

// NewController returns a controller that writes its log to logs. Nothing runs
// until Run is called.
func NewController(ctx context.Context, settings *ControllerSettings, logs io.Writer) (*Controller, error) {
	base, err := newCommon(ctx, commonOptions{
		binary: "glade-controller", role: member.RoleController, process: settings.Process,
		platform: settings.Platform, store: settings.Store, log: settings.Log, trace: settings.Trace,
		peerAddress: settings.Listen.Peers, peers: settings.Peers, auth: settings.Auth, memberTTL: settings.Reconcile.MemberTTL, logs: logs,
	})
	if err != nil {
		return nil, err
	}
	c := &Controller{common: base, settings: settings}
	c.confirm = drainer.NewPeerConfirmer(base.feed, base.peers, base.peerClient)
	c.shards = sharding.New(base.self.ID, base.feed, base.registrar)
	c.status = storelimit.NewStatusWriter(base.store, telemetry.PartLogger(base.log, "status"))
	c.drainer = drainer.New(drainer.Config{
		Member: base.self.ID, Store: base.store, Status: c.status, Feed: base.feed, Hosts: base.hosts, HostControl: base.platform,
		Confirmer: c.confirm, Shards: c.shards, Grants: budget.NewGrantStore(base.store), Invariant: base.invariant,
		Registry: base.registry, Log: telemetry.PartLogger(base.log, "drainer"), Interval: settings.Reconcile.Interval,
	})
	c.mover = mover.New(mover.Config{
		Member: base.self.ID, Store: base.store, Feed: base.feed, Hosts: base.hosts, HostControl: base.platform,
		Confirmer: c.confirm, Grants: budget.NewGrantStore(base.store), Shard: c.shards.Shard(movesShard), Invariant: base.invariant,
		Log: telemetry.PartLogger(base.log, "mover"), Interval: moverIntervalFactor * settings.Reconcile.Interval,
	})
	c.jobs = jobs.New(jobs.Config{
		Member: base.self.ID, Store: base.store, Feed: base.feed, Hosts: base.hosts, HostControl: base.platform,
		Workers: base.platform, Shard: c.shards.Shard(jobsShard), Invariant: base.invariant, Metrics: jobs.NewMetrics(base.registry),
		Log: telemetry.PartLogger(base.log, "jobs"), Interval: settings.Reconcile.Interval,
		LeaseTTL: settings.Jobs.LeaseTTL, ReportInterval: settings.Jobs.ReportInterval,
	})
	c.deletions = operatorapi.NewDeletionLog(base.feed)
	c.audit = c.newAudit()
	c.api = c.newAPI()
	return c, nil
}

// Run reconciles and serves operators until ctx is done, then stops gracefully. It
// returns *supervise.PartFailedError if a part fails repeatedly.
func (c *Controller) Run(ctx context.Context) error {
	tree := c.newTree("parts")
	tree.Add("confirm", c.confirm)
	tree.Add("status", c.status)
	tree.Add("drainer", c.drainer)
	tree.Add("mover", c.mover)
	tree.Add("jobs", c.jobs)
	tree.Add("journal", c.deletions)
	tree.Add("audit", c.audit)
	tree.Add("report", c.newRecorder())
	operators := httpserve.New("operators", c.settings.Listen.Operators, c.api, c.settings.Stop.Grace)
	tree.Add("operators", c.trust.secure(operators, auth.AcceptOperatorCert))
	c.addCommonParts(tree, c.settings.Listen.Peers, c.settings.Listen.Admin, c.feed.Ready)
	err := tree.Run(ctx)
	if err == nil {
		c.log.Info().Msg("Planned stop done.")
	}
	return err
}
