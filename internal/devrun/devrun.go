// Package devrun runs a whole small deployment in one process: a stand-in
// platform, endpoints, controllers, gateways and callers over real loopback
// TCP. It is the newcomer's first command and the story that CI tells.
package devrun

import (
	"context"
	"fmt"
	"io"
	"net/netip"
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
	// LogLevel is that of the daemons' logs.
	LogLevel string
	Logs     io.Writer
}

// Shape of the stand-ins: fast enough that a run takes well under a minute.
const (
	listLag       = time.Second
	rebootTime    = 400 * time.Millisecond
	workTime      = 4 * time.Millisecond
	thinkTime     = 20 * time.Millisecond
	roundInterval = 100 * time.Millisecond
	holdTTL       = 2 * time.Second
	stopNotice    = time.Second
	stopGrace     = 15 * time.Second
	readyTimeout  = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// MaxInstance is the highest instance number.
const MaxInstance = 49

// Blocks of loopback addresses, by the second number: instance i has its hosts
// in 127.(hostBlock+i), its nth gateway at 127.(gatewayBlock+i).0.n, and so on.
const (
	hostBlock       = 10
	gatewayBlock    = 60
	controllerBlock = 110
	platformBlock   = 160
)

// Ports of the loopback addresses.
const (
	platformPort = 7400
	callerPort   = 7100
	peerPort     = 7200
	operatorPort = 7300
	adminPort    = 7500
)

// SetupError says which part of a run could not be set up.
type SetupError struct {
	Part  string
	Cause error
}

func (e *SetupError) Error() string { return fmt.Sprintf("set-up of %s: %v", e.Part, e.Cause) }

func (e *SetupError) Unwrap() error { return e.Cause }

// Run is one deployment that is up.
type Run struct {
	Options  Options
	Platform *standin.Platform
	Balancer *standin.Balancer
	Client   *operatorapi.Client
	records  []record.Envelope
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

// Start brings a deployment up and puts its sample records in force.
func Start(ctx context.Context, options Options) (*Run, error) {
	records, err := examples.Records(options.Deployment)
	if err != nil {
		return nil, &SetupError{Part: "records", Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &Run{Options: options, records: records, stop: cancel}
	run.Platform = standin.NewPlatform(run.shape(), servicePorts(records), standin.Options{
		ListLag: listLag, RebootTime: rebootTime, WorkTime: workTime,
	})
	if err := run.Platform.Start(run.loopback(platformBlock, 0, platformPort).String()); err != nil {
		return nil, &SetupError{Part: "platform", Cause: err}
	}
	if err := run.startDaemons(ctx); err != nil {
		return nil, err
	}
	run.Client = operatorapi.NewClient("http://" + run.OperatorAddress())
	if err := run.applyAll(ctx, records); err != nil {
		return nil, err
	}
	return run, run.awaitReady(ctx)
}

// shape is the deployment's shape at this instance's addresses.
func (r *Run) shape() standin.Shape {
	shape := standin.Shapes[r.Options.Deployment]
	shape.AddressBlock = hostBlock + r.Options.Instance
	return shape
}

func (r *Run) startDaemons(ctx context.Context) error {
	zones := r.shape().Zones
	for i := range r.Options.Controllers {
		settings := r.controllerSettings(i, zones[i%len(zones)])
		controller, err := daemon.NewController(ctx, settings, r.Options.Logs)
		if err != nil {
			return &SetupError{Part: settings.Process.ID, Cause: err}
		}
		r.launch(settings.Process.ID, controller)
	}
	var targets []standin.Target
	for i := range r.Options.Gateways {
		settings := r.gatewaySettings(i, zones[i%len(zones)])
		gateway, err := daemon.NewGateway(ctx, settings, r.Options.Logs)
		if err != nil {
			return &SetupError{Part: settings.Process.ID, Cause: err}
		}
		r.launch(settings.Process.ID, gateway)
		targets = append(targets, standin.Target{Callers: settings.Listen.Callers.String(), Admin: settings.Listen.Admin.String()})
	}
	r.Balancer = standin.NewBalancer(targets)
	go func() {
		// Ends with ctx.
		_ = r.Balancer.Serve(ctx)
	}()
	return nil
}

func (r *Run) launch(name string, d runner) {
	ctx, cancel := context.WithCancel(context.Background())
	running := runningDaemon{name: name, daemon: d, stop: cancel, ended: make(chan error, 1)}
	go func() { running.ended <- d.Run(ctx) }()
	r.daemons = append(r.daemons, running)
}

func (r *Run) gatewaySettings(index int, zone string) *daemon.GatewaySettings {
	s := daemon.DefaultGatewaySettings()
	s.Process = daemon.ProcessSettings{ID: fmt.Sprintf("gateway-%d", index+1), Zone: zone}
	s.Platform.URL = r.Platform.URL()
	s.Listen = daemon.GatewayListen{
		Callers: r.loopback(gatewayBlock, index, callerPort),
		Peers:   r.loopback(gatewayBlock, index, peerPort),
		Admin:   r.loopback(gatewayBlock, index, adminPort),
	}
	s.Peers.Addresses = r.peerAddresses()
	s.Stop = daemon.StopSettings{Notice: stopNotice, Grace: stopGrace}
	s.Log.Level = r.Options.LogLevel
	return s
}

func (r *Run) controllerSettings(index int, zone string) *daemon.ControllerSettings {
	s := daemon.DefaultControllerSettings()
	s.Process = daemon.ProcessSettings{ID: fmt.Sprintf("controller-%d", index+1), Zone: zone}
	s.Platform.URL = r.Platform.URL()
	s.Listen = daemon.ControllerListen{
		Operators: r.loopback(controllerBlock, index, operatorPort),
		Peers:     r.loopback(controllerBlock, index, peerPort),
		Admin:     r.loopback(controllerBlock, index, adminPort),
	}
	s.Peers.Addresses = r.peerAddresses()
	s.Decide = daemon.DecideSettings{Interval: roundInterval, HoldTTL: holdTTL}
	s.Stop = daemon.StopSettings{Notice: stopNotice, Grace: stopGrace}
	s.Log.Level = r.Options.LogLevel
	return s
}

func (r *Run) peerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range r.Options.Controllers {
		addresses = append(addresses, r.loopback(controllerBlock, i, peerPort))
	}
	for i := range r.Options.Gateways {
		addresses = append(addresses, r.loopback(gatewayBlock, i, peerPort))
	}
	return addresses
}

// OperatorAddress is where gladectl reaches the first controller.
func (r *Run) OperatorAddress() string { return r.loopback(controllerBlock, 0, operatorPort).String() }

// CallerAddress is where callers reach the first gateway.
func (r *Run) CallerAddress() string { return r.loopback(gatewayBlock, 0, callerPort).String() }

func (r *Run) loopback(block, index, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(block + r.Options.Instance), 0, byte(index + 1)}), uint16(port))
}

func (r *Run) applyAll(ctx context.Context, records []record.Envelope) error {
	for _, envelope := range records {
		if err := r.apply(ctx, envelope); err != nil {
			return &SetupError{Part: envelope.ID().String(), Cause: err}
		}
	}
	return nil
}

// apply tries again while the controller is starting or still behind the
// record just written before.
func (r *Run) apply(ctx context.Context, envelope record.Envelope) error {
	var err error
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if _, err = r.Client.Put(ctx, envelope, 0, false); err == nil {
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return err
}

// awaitReady waits until every gateway takes callers and every pool is filled.
func (r *Run) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		summary, err := r.Client.Fleet(ctx)
		if err == nil && r.Balancer.Ready() == r.Options.Gateways && assigned(summary) == r.shape().Hosts {
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
func (r *Run) Stop() error {
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
	return first
}

// Violations returns the broken invariants of every daemon.
func (r *Run) Violations() []invariant.Violation {
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
