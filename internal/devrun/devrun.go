// Package devrun runs a complete small deployment in one process: a simulated
// platform, endpoints, controllers, gateways and callers over loopback TCP. It is
// used by glade-dev, for a first look at the system and for CI's end-to-end
// scenario.
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

// Options configure a deployment.
type Options struct {
	Deployment  string
	Gateways    int
	Controllers int
	// Callers is the number of concurrent callers.
	Callers int
	// Instance, 0 to MaxInstance, selects the loopback addresses, so that several
	// deployments can run at the same time.
	Instance int
	// External means that the daemons run as separate processes, started by the
	// user of the package with the settings that GatewaySettings and
	// ControllerSettings return.
	External bool
	// TLS enables TLS for operators, between members and on the admin
	// interfaces, with a CA created for this run.
	TLS bool
	// LogLevel is the level of the daemons' logs.
	LogLevel string
	Logs     io.Writer
}

// Timings of the simulated platform and of the daemons. They are short enough that
// a run takes well under a minute.
const (
	listLag    = time.Second
	rebootTime = 400 * time.Millisecond
	workTime   = 4 * time.Millisecond
	// Timings of the tasks of jobs, their reports and their leases.
	taskTime          = 1500 * time.Millisecond
	reportLag         = 400 * time.Millisecond
	checkpointTime    = 100 * time.Millisecond
	leaseTTL          = 5 * time.Second
	reportInterval    = 300 * time.Millisecond
	thinkTime         = 20 * time.Millisecond
	reconcileInterval = 100 * time.Millisecond
	memberTTL         = 2 * time.Second
	drainDelay        = time.Second
	stopGrace         = 15 * time.Second
	readyTimeout      = 30 * time.Second
	pollInterval      = 50 * time.Millisecond
)

// SetupError reports which part of a run could not be set up.
type SetupError struct {
	Part  string
	Cause error
}

func (e *SetupError) Error() string { return fmt.Sprintf("setting up %s: %v", e.Part, e.Cause) }

func (e *SetupError) Unwrap() error { return e.Cause }

// Deployment is one deployment.
type Deployment struct {
	Options  Options
	Platform *standin.Platform
	Balancer *standin.Balancer
	// Client is a client of all controllers; it uses whichever responds.
	Client   *operatorapi.Client
	records  []record.Envelope
	keyStore *keyStore
	daemons  []runningDaemon
	stop     context.CancelFunc
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

// New returns a deployment that has not been started.
func New(options Options) (*Deployment, error) {
	records, err := examples.Records(options.Deployment)
	if err != nil {
		return nil, &SetupError{Part: "records", Cause: err}
	}
	run := &Deployment{Options: options, records: records}
	if options.TLS {
		if run.keyStore, err = newKeyStore(); err != nil {
			return nil, &SetupError{Part: "keys", Cause: err}
		}
	}
	return run, nil
}

// Start starts a deployment and applies its sample records.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	run, err := New(options)
	if err != nil {
		return nil, err
	}
	return run, run.Start(ctx)
}

// Start starts the deployment, applies its sample records, and returns once it is
// ready.
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

// FleetSpec returns the deployment's fleet with the addresses of this instance.
func (r *Deployment) FleetSpec() standin.FleetSpec {
	spec := standin.FleetSpecs[r.Options.Deployment]
	spec.AddressBlock = hostBlock + r.Options.Instance
	return spec
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
	r.Balancer.SpeakTLS(r.keyStore.balancerTLS())
	go func() {
		// Returns when ctx is done.
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
		targets = append(targets, standin.Target{CallerAddress: settings.Listen.Callers.String(), AdminAddress: settings.Listen.Admin.String()})
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

// awaitReady waits until every gateway is ready and every host is assigned to a
// pool.
func (r *Deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		summary, err := r.Client.Fleet(ctx)
		if err == nil && r.Balancer.ReadyCount() == r.Options.Gateways && assignedHosts(summary) == r.FleetSpec().Hosts {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return &SetupError{Part: "deployment", Cause: context.DeadlineExceeded}
}

func assignedHosts(summary operatorapi.FleetSummary) int {
	total := 0
	for _, phases := range summary.Pools {
		for _, count := range phases {
			total += count
		}
	}
	return total
}

// Stop stops all daemons gracefully and then the platform. It returns the first
// error with which a daemon ended.
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
	r.keyStore.remove()
	return first
}

// Violations returns the invariant violations of all daemons.
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
