// Package devrun runs a whole small deployment in one process: a stand-in
// platform, endpoints, controllers, gateways and callers over real loopback
// TCP. It is the newcomer's first command and the story that CI tells.
package devrun

import (
	"context"
	"fmt"
	"io"
	"time"

	"auburnglade.example/glade/examples"
	"auburnglade.example/glade/internal/daemon"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/standin"
)

// Options shape a run.
type Options struct {
	Deployment  string
	Gateways    int
	Controllers int
	// Callers call at once.
	Callers int
	// Instance, 0 to MaxInstance, picks the loopback addresses, so that several
	// deployments run side by side.
	Instance int
	// External says that the daemons are processes of their own, started by
	// someone else with the settings that GatewaySettings and
	// ControllerSettings return.
	External bool
	// TLS makes a CA of the run's own and speaks TLS with operators, among
	// members and on the admin interfaces.
	TLS bool
	// LogLevel is that of the daemons' logs.
	LogLevel string
	Logs     io.Writer
}

// Shape of the stand-ins: fast enough that a run takes well under a minute.
const (
	listLag    = time.Second
	rebootTime = 400 * time.Millisecond
	workTime   = 4 * time.Millisecond
	// Tasks of jobs, their reports and their leases.
	taskTime       = 1500 * time.Millisecond
	reportLag      = 400 * time.Millisecond
	checkpointTime = 100 * time.Millisecond
	leaseTTL       = 5 * time.Second
	reportInterval = 300 * time.Millisecond
	thinkTime      = 20 * time.Millisecond
	roundInterval  = 100 * time.Millisecond
	holdTTL        = 2 * time.Second
	stopNotice     = time.Second
	stopGrace      = 15 * time.Second
	readyTimeout   = 30 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// SetupError says which part of a run could not be set up.
type SetupError struct {
	Part  string
	Cause error
}

func (e *SetupError) Error() string { return fmt.Sprintf("set-up of %s: %v", e.Part, e.Cause) }

func (e *SetupError) Unwrap() error { return e.Cause }

// Deployment is one deployment that is up.
type Deployment struct {
	Options  Options
	Platform *standin.Platform
	Balancer *standin.Balancer
	// Client reaches whichever controller answers.
	Client  *operatorapi.Client
	records []record.Envelope
	keys    *keyStore
	daemons []runningDaemon
	stop    context.CancelFunc
}

type runner interface {
	Run(ctx context.Context) error
	Violations() []invariant.Violation
}

type runningDaemon struct {
	name   string
	daemon runner
	stop   context.CancelFunc
	ended  chan error
}

// New returns a deployment that isn't up yet.
func New(options Options) (*Deployment, error) {
	records, err := examples.Records(options.Deployment)
	if err != nil {
		return nil, &SetupError{Part: "records", Cause: err}
	}
	run := &Deployment{Options: options, records: records}
	if options.TLS {
		if run.keys, err = newKeyStore(); err != nil {
			return nil, &SetupError{Part: "keys", Cause: err}
		}
	}
	return run, nil
}

// Start brings a deployment up and puts its sample records in force.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	run, err := New(options)
	if err != nil {
		return nil, err
	}
	return run, run.Start(ctx)
}

// Start brings the deployment up and puts its sample records in force.
func (r *Deployment) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	if err := r.startPlatform(); err != nil {
		return err
	}
	if err := r.startDaemons(ctx); err != nil {
		return err
	}
	if err := r.connect(); err != nil {
		return err
	}
	if err := r.applyAll(ctx, r.records); err != nil {
		return err
	}
	return r.awaitReady(ctx)
}

func (r *Deployment) startPlatform() error {
	r.Platform = standin.NewPlatform(r.FleetSpec(), servicePorts(r.records), standin.Options{
		ListLag: listLag, RebootTime: rebootTime, WorkTime: workTime,
		ReportLag: reportLag, CheckpointTime: checkpointTime, TaskTime: taskTime,
	})
	if err := r.Platform.Start(r.PlatformAddress()); err != nil {
		return &SetupError{Part: "platform", Cause: err}
	}
	return nil
}

// FleetSpec returns the deployment's shape at this instance's addresses.
func (r *Deployment) FleetSpec() standin.FleetSpec {
	shape := standin.FleetSpecs[r.Options.Deployment]
	shape.AddressBlock = hostBlock + r.Options.Instance
	return shape
}

func (r *Deployment) startDaemons(ctx context.Context) error {
	if err := r.launchControllers(ctx); err != nil {
		return err
	}
	targets, err := r.launchGateways(ctx)
	if err != nil {
		return err
	}
	r.Balancer = standin.NewBalancer(targets)
	r.Balancer.SpeakTLS(r.keys.probe())
	go func() {
		// Ends with ctx.
		_ = r.Balancer.Serve(ctx)
	}()
	return nil
}

func (r *Deployment) launchControllers(ctx context.Context) error {
	if r.Options.External {
		return nil
	}
	for i := range r.Options.Controllers {
		settings := r.ControllerSettings(i)
		controller, err := daemon.NewController(ctx, settings, r.Options.Logs)
		if err != nil {
			return &SetupError{Part: settings.Process.ID, Cause: err}
		}
		r.launch(settings.Process.ID, controller)
	}
	return nil
}

func (r *Deployment) launchGateways(ctx context.Context) ([]standin.Target, error) {
	var targets []standin.Target
	for i := range r.Options.Gateways {
		settings := r.GatewaySettings(i)
		targets = append(targets, standin.Target{Callers: settings.Listen.Callers.String(), Admin: settings.Listen.Admin.String()})
		if r.Options.External {
			continue
		}
		gateway, err := daemon.NewGateway(ctx, settings, r.Options.Logs)
		if err != nil {
			return nil, &SetupError{Part: settings.Process.ID, Cause: err}
		}
		r.launch(settings.Process.ID, gateway)
	}
	return targets, nil
}

func (r *Deployment) launch(name string, d runner) {
	ctx, cancel := context.WithCancel(context.Background())
	running := runningDaemon{name: name, daemon: d, stop: cancel, ended: make(chan error, 1)}
	go func() { running.ended <- d.Run(ctx) }()
	r.daemons = append(r.daemons, running)
}

// awaitReady waits until every gateway takes callers and every pool is filled.
func (r *Deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		summary, err := r.Client.Fleet(ctx)
		if err == nil && r.Balancer.ReadyCount() == r.Options.Gateways && assigned(summary) == r.FleetSpec().Hosts {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return &SetupError{Part: "deployment", Cause: context.DeadlineExceeded}
}

func assigned(summary operatorapi.FleetSummary) int {
	total := 0
	for _, phases := range summary.Pools {
		for _, count := range phases {
			total += count
		}
	}
	return total
}

// Stop stops every daemon as planned, and then the platform. It returns the
// first error a daemon ended with.
func (r *Deployment) Stop() error {
	for _, running := range r.daemons {
		running.stop()
	}
	var first error
	for _, running := range r.daemons {
		if err := <-running.ended; err != nil && first == nil {
			first = &SetupError{Part: running.name, Cause: err}
		}
	}
	r.stop()
	r.Platform.Stop()
	r.keys.remove()
	return first
}

// Violations returns the broken invariants of every daemon.
func (r *Deployment) Violations() []invariant.Violation {
	var all []invariant.Violation
	for _, running := range r.daemons {
		all = append(all, running.daemon.Violations()...)
	}
	return all
}

func servicePorts(records []record.Envelope) map[string]int {
	ports := make(map[string]int)
	for _, envelope := range records {
		spec, err := record.Decode(envelope)
		if service, ok := spec.(*record.Service); ok && err == nil {
			ports[envelope.Name] = service.Port
		}
	}
	return ports
}
