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

// Options configure a run.
type Options struct {
	Deployment  string
	Instance    int
	Gateways    int
	Controllers int
	Callers     int
	Seed        uint64
	Length      time.Duration
}

// Report is the result of a run, as counted by the simulated platform and
// callers.
type Report struct {
	Seed          uint64  `json:"seed"`
	LengthSeconds float64 `json:"length_seconds"`
	// FaultsInjected counts the injected faults by kind.
	FaultsInjected map[FaultKind]int `json:"faults_driven"`
	Waves          int               `json:"waves_ended"`
	devrun.Report
}

// BeginLine is printed once the deployment serves. The script measures the times
// of its faults from then on.
const BeginLine = "BEGIN"

// maxFailedHosts is high enough that a wave continues however many hosts fail by
// themselves.
const maxFailedHosts = 1000

// Targets returns the possible targets of the run's faults, or none if the
// deployment is unknown.
func (o Options) Targets() Targets {
	run, err := devrun.New(o.devrunOptions())
	if err != nil {
		return Targets{}
	}
	var targets Targets
	for i := range o.Gateways {
		targets.Gateways = append(targets.Gateways, run.GatewaySettings(i).Process.ID)
	}
	for i := range o.Controllers {
		targets.Controllers = append(targets.Controllers, run.ControllerSettings(i).Process.ID)
	}
	spec := run.FleetSpec()
	targets.Zones = spec.Zones
	for _, host := range spec.HostList() {
		targets.Hosts = append(targets.Hosts, host.Name)
	}
	return targets
}

// Plan returns the run's schedule.
func (o Options) Plan() []Fault { return Plan(o.Seed, o.Length, o.Targets()) }

func (o Options) devrunOptions() devrun.Options {
	return devrun.Options{
		Deployment: o.Deployment, Instance: o.Instance, Gateways: o.Gateways,
		Controllers: o.Controllers, Callers: o.Callers, LogLevel: "info", External: true,
	}
}

// Run runs the simulated side of a soak: it starts the platform, waits for the
// daemons, writes BeginLine to out, injects the platform's faults and sends the
// callers' load for the length of the run, and checks the result. Failed checks
// are in the report; an error is returned only if the run could not be carried
// out.
func Run(ctx context.Context, options Options, out io.Writer) (Report, error) {
	report := Report{Seed: options.Seed, LengthSeconds: options.Length.Seconds(), FaultsInjected: make(map[FaultKind]int)}
	report.Deployment, report.Failures = options.Deployment, []string{}
	run, err := devrun.Start(ctx, options.devrunOptions())
	if err != nil {
		return report, err
	}
	defer func() { _ = run.Stop() }()
	groups, err := run.HostPools(ctx)
	if err != nil {
		return report, err
	}
	fmt.Fprintln(out, BeginLine)
	d := &driver{run: run, options: options, report: &report, start: time.Now()}
	callers := run.Callers()
	d.runUntilEnd(ctx, func(ctx context.Context) { callers.Run(ctx, options.Callers) })
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
	start   time.Time
}

// runUntilEnd runs load, configuration changes, waves and faults concurrently until
// the run's length has passed and the last wave has ended.
func (d *driver) runUntilEnd(ctx context.Context, load func(context.Context)) {
	ctx, cancel := context.WithDeadline(ctx, d.start.Add(d.options.Length))
	defer cancel()
	parts := []func(context.Context){
		load,
		func(ctx context.Context) { d.run.MeasurePropagation(ctx, &d.report.Report) },
		d.injectFaults,
		d.runWaves,
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

// waveStartMargin is the minimum time before the end of the run at which a wave may
// start. It is longer than a wave takes with one or two faults during it.
const waveStartMargin = 35 * time.Second

// runWaves runs one wave after another while there is time for another one.
func (d *driver) runWaves(ctx context.Context) {
	sample, err := examples.Wave(d.options.Deployment)
	if err != nil {
		d.addFailure(err.Error())
		return
	}
	for number := 1; ctx.Err() == nil && d.remaining() > waveStartMargin; number++ {
		envelope := sample
		envelope.Name = fmt.Sprintf("%s-%d", sample.Name, number)
		if envelope.Spec, err = withoutFailureLimit(sample); err != nil {
			d.addFailure(err.Error())
			return
		}
		if err := d.run.RunWave(ctx, envelope, &d.report.Report); err != nil {
			d.addFailure(err.Error())
			return
		}
		d.report.Waves++
	}
}

func withoutFailureLimit(sample record.Envelope) ([]byte, error) {
	spec, err := record.Decode(sample)
	if err != nil {
		return nil, err
	}
	wave := spec.(*record.Wave)
	wave.MaxFailedHosts = maxFailedHosts
	return record.Patch(sample.Spec, wave)
}

func (d *driver) remaining() time.Duration { return d.options.Length - time.Since(d.start) }

func (d *driver) addFailure(text string) { d.report.Failures = append(d.report.Failures, text) }

// injectFaults injects the platform faults of the schedule and counts all faults,
// including those injected by scripts/soak.
func (d *driver) injectFaults(ctx context.Context) {
	for _, fault := range d.options.Plan() {
		pause.For(ctx, fault.At-time.Since(d.start))
		if ctx.Err() != nil {
			return
		}
		d.report.FaultsInjected[fault.Kind]++
		d.inject(fault)
	}
}

const (
	responseLossRate = 0.3
	responseLossSeed = 1
)

// inject starts a platform fault and schedules its end. Faults of processes are
// ignored.
func (d *driver) inject(fault Fault) {
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
		platform.Store.SetResponseLossRate(responseLossRate, responseLossSeed)
		undo = func() { platform.Store.SetResponseLossRate(0, responseLossSeed) }
	case HostDown:
		platform.Fleet.Crash(fault.Target, fault.Duration)
		return
	case ZoneDown:
		d.takeZoneDown(fault)
		return
	default:
		return
	}
	time.AfterFunc(fault.Duration, undo)
}

func (d *driver) takeZoneDown(fault Fault) {
	for _, host := range d.run.FleetSpec().HostList() {
		if host.Zone == fault.Target {
			d.run.Platform.Fleet.Crash(host.Name, fault.Duration)
		}
	}
}
