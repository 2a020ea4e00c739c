package soak

import (
	"context"
	"fmt"
	"io"
	"time"

	"auburnglade.example/glade/examples"
	"auburnglade.example/glade/internal/devrun"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
)

// Options shape a run.
type Options struct {
	Deployment  string
	Instance    int
	Gateways    int
	Controllers int
	Callers     int
	Seed        uint64
	Length      time.Duration
}

// Report is the run's result, counted by the stand-ins.
type Report struct {
	Seed          uint64  `json:"seed"`
	LengthSeconds float64 `json:"length_seconds"`
	// Faults counts the schedule's entries by verb.
	FaultsInjected map[FaultKind]int `json:"faults_driven"`
	Waves          int               `json:"waves_ended"`
	devrun.Report
}

// BeginLine is printed once the deployment serves: the script's clock starts.
const BeginLine = "BEGIN"

// maxFailedHosts lets a wave go on however many hosts fail by themselves.
const maxFailedHosts = 1000

// Targets returns what a run's schedule may hit.
func (o Options) Targets() Targets {
	run, err := devrun.New(o.devrun())
	if err != nil {
		return Targets{}
	}
	var fleet Targets
	for i := range o.Gateways {
		fleet.Gateways = append(fleet.Gateways, run.GatewaySettings(i).Process.ID)
	}
	for i := range o.Controllers {
		fleet.Controllers = append(fleet.Controllers, run.ControllerSettings(i).Process.ID)
	}
	shape := run.FleetSpec()
	fleet.Zones = shape.Zones
	for _, host := range shape.HostList() {
		fleet.Hosts = append(fleet.Hosts, host.Name)
	}
	return fleet
}

// Plan returns the run's schedule.
func (o Options) Plan() []Fault { return Plan(o.Seed, o.Length, o.Targets()) }

func (o Options) devrun() devrun.Options {
	return devrun.Options{
		Deployment: o.Deployment, Instance: o.Instance, Gateways: o.Gateways,
		Controllers: o.Controllers, Callers: o.Callers, LogLevel: "info", External: true,
	}
}

// Run is the stand-in side of a soak: it brings the platform up, waits for the
// daemons, writes BeginLine to out, drives the platform's faults and callers'
// load for the run's length, and judges. The error is only for a run that
// could not be held at all.
func Run(ctx context.Context, options Options, out io.Writer) (Report, error) {
	report := Report{Seed: options.Seed, LengthSeconds: options.Length.Seconds(), FaultsInjected: make(map[FaultKind]int)}
	report.Deployment, report.Failures = options.Deployment, []string{}
	run, err := devrun.Start(ctx, options.devrun())
	if err != nil {
		return report, err
	}
	defer func() { _ = run.Stop() }()
	groups, err := run.HostPools(ctx)
	if err != nil {
		return report, err
	}
	fmt.Fprintln(out, BeginLine)
	d := &driver{run: run, options: options, report: &report, began: time.Now()}
	callers := run.Callers()
	d.hold(ctx, func(ctx context.Context) { callers.Run(ctx, options.Callers) })
	run.Verify(&report.Report, callers, groups)
	if report.Waves == 0 {
		report.Failures = append(report.Failures, "no wave ended")
	}
	return report, nil
}

type driver struct {
	run     *devrun.Deployment
	options Options
	report  *Report
	began   time.Time
}

// hold runs load, changes, waves and faults side by side until the run's
// length is over and the last wave has ended.
func (d *driver) hold(ctx context.Context, load func(context.Context)) {
	ctx, cancel := context.WithDeadline(ctx, d.began.Add(d.options.Length))
	defer cancel()
	parts := []func(context.Context){
		load,
		func(ctx context.Context) { d.run.MeasurePropagation(ctx, &d.report.Report) },
		d.faults,
		d.waves,
	}
	ended := make(chan struct{})
	for _, part := range parts {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	for range parts {
		<-ended
	}
}

// lastWave is how long before the end the last wave may start: longer than a
// wave takes with a fault or two in it.
const lastWave = 35 * time.Second

// waves starts one wave after another as long as there is time for one more.
func (d *driver) waves(ctx context.Context) {
	sample, err := examples.Wave(d.options.Deployment)
	if err != nil {
		d.fault(err.Error())
		return
	}
	for number := 1; ctx.Err() == nil && d.left() > lastWave; number++ {
		envelope := sample
		envelope.Name = fmt.Sprintf("%s-%d", sample.Name, number)
		if envelope.Spec, err = tolerant(sample); err != nil {
			d.fault(err.Error())
			return
		}
		if err := d.run.RunWave(ctx, envelope, &d.report.Report); err != nil {
			d.fault(err.Error())
			return
		}
		d.report.Waves++
	}
}

func tolerant(sample record.Envelope) ([]byte, error) {
	spec, err := record.Decode(sample)
	if err != nil {
		return nil, err
	}
	wave := spec.(*record.Wave)
	wave.MaxFailedHosts = maxFailedHosts
	return record.Patch(sample.Spec, wave)
}

func (d *driver) left() time.Duration { return d.options.Length - time.Since(d.began) }

func (d *driver) fault(text string) { d.report.Failures = append(d.report.Failures, text) }

// faults drives the schedule's platform faults and counts all of them.
func (d *driver) faults(ctx context.Context) {
	for _, fault := range d.options.Plan() {
		pause.For(ctx, fault.At-time.Since(d.began))
		if ctx.Err() != nil {
			return
		}
		d.report.FaultsInjected[fault.Kind]++
		d.drive(fault)
	}
}

const (
	lostShare = 0.3
	lostSeed  = 1
)

// drive starts a platform fault and ends it by itself later.
func (d *driver) drive(fault Fault) {
	platform := d.run.Platform
	var undo func()
	switch fault.Kind {
	case StoreDown:
		platform.Store.SetDown(true)
		undo = func() { platform.Store.SetDown(false) }
	case StoreThrottled:
		platform.Store.SetThrottled(true)
		undo = func() { platform.Store.SetThrottled(false) }
	case LoseResponses:
		platform.Store.SetResponseLossRate(lostShare, lostSeed)
		undo = func() { platform.Store.SetResponseLossRate(0, lostSeed) }
	case HostDown:
		platform.Fleet.Crash(fault.Target, fault.Duration)
		return
	case ZoneDown:
		d.zoneDown(fault)
		return
	default:
		return
	}
	time.AfterFunc(fault.Duration, undo)
}

func (d *driver) zoneDown(fault Fault) {
	for _, host := range d.run.FleetSpec().HostList() {
		if host.Zone == fault.Target {
			d.run.Platform.Fleet.Crash(host.Name, fault.Duration)
		}
	}
}
