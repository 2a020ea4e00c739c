package devrun

import (
	"context"
	"time"

	"auburnglade.example/glade/examples"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/standin"
	"auburnglade.example/glade/internal/wave"
)

// Report is the result of the scenario, as counted by the simulated platform and
// callers.
type Report struct {
	Deployment string               `json:"deployment"`
	Callers    standin.CallerCounts `json:"callers"`
	Nonidem    struct {
		Sent    int64                `json:"sent"`
		MaxRuns int                  `json:"max_runs"`
		Repeats standin.RepeatCounts `json:"repeats"`
	} `json:"nonidempotent"`
	Wave struct {
		Hosts      int     `json:"hosts"`
		Maintained int     `json:"maintained"`
		Failed     int     `json:"failed"`
		Seconds    float64 `json:"seconds"`
	} `json:"wave"`
	Budget struct {
		Violations int `json:"violations"`
	} `json:"budget"`
	Config struct {
		Changes           int     `json:"changes"`
		MaxInForceSeconds float64 `json:"max_in_force_seconds"`
	} `json:"config"`
	Invariants struct {
		Violations int `json:"violations"`
	} `json:"invariants"`
	Endpoints struct {
		LateWork     int `json:"late_work"`
		PeakInFlight int `json:"peak_in_flight"`
	} `json:"endpoints"`
	Platform struct {
		Reads       int64 `json:"reads"`
		Writes      int64 `json:"writes"`
		LeaseCalls  int64 `json:"lease_calls"`
		WatchCalls  int64 `json:"watch_calls"`
		MostWatches int64 `json:"most_watches"`
	} `json:"platform"`
	Jobs struct {
		// Expected is the total number of tasks of the sample jobs; the other
		// fields are counted by the workers.
		Expected int `json:"expected"`
		fakeworkers.Counts
	} `json:"jobs"`
	Seconds  float64  `json:"seconds"`
	Failures []string `json:"faults"`
}

const (
	waveTimeout        = 3 * time.Minute
	changeInterval     = time.Second
	propagationTimeout = 15 * time.Second
	minimumRequests    = 2000
	settleTime         = time.Second
	// detectionLag is how old a host failure must be before a disruption that
	// ignores it counts as a budget violation: the lag of the host list plus one
	// reconcile.
	detectionLag = listLag + time.Second
)

// RunScenario runs the end-to-end scenario on a running deployment, stops the
// deployment, and returns the report. Its Failures are empty if all checks passed.
func RunScenario(ctx context.Context, run *Deployment) (Report, error) {
	report := Report{Deployment: run.Options.Deployment, Failures: []string{}}
	start := time.Now()
	callers := run.Callers()
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callersEnded := make(chan struct{})
	go func() {
		defer close(callersEnded)
		callers.Run(callersCtx, run.Options.Callers)
	}()
	hostPools, err := run.HostPools(ctx)
	if err != nil {
		return report, err
	}
	changesCtx, stopChanges := context.WithCancel(ctx)
	changesEnded := make(chan struct{})
	go func() {
		defer close(changesEnded)
		run.MeasurePropagation(changesCtx, &report)
	}()
	err = run.runSampleWave(ctx, &report)
	run.awaitJobs(ctx)
	stopChanges()
	<-changesEnded
	pause.For(ctx, settleTime)
	stopCallers()
	<-callersEnded
	stopErr := run.Stop()
	if err == nil {
		err = stopErr
	}
	report.Seconds = time.Since(start).Seconds()
	run.Verify(&report, callers, hostPools)
	return report, err
}

// Callers returns callers of all sample services.
func (r *Deployment) Callers() *standin.Callers {
	callers := &standin.Callers{Balancer: r.Balancer, ThinkTime: thinkTime, Runs: r.Platform.Endpoints.Runs}
	for _, envelope := range r.records {
		spec, err := record.Decode(envelope)
		service, ok := spec.(*record.Service)
		if err != nil || !ok {
			continue
		}
		callers.Idempotent = append(callers.Idempotent, service.PathPrefix+"lookup")
		for _, pattern := range service.NonIdempotent {
			callers.NonIdempotent = append(callers.NonIdempotent, pattern.PathPrefix+"new")
		}
	}
	return callers
}

// HostPools returns the current pool of each host.
func (r *Deployment) HostPools(ctx context.Context) (map[string]string, error) {
	hostPools := make(map[string]string)
	for _, host := range r.FleetSpec().HostList() {
		pool, err := r.poolOf(ctx, host.Name)
		if err != nil {
			return nil, err
		}
		hostPools[host.Name] = pool
	}
	return hostPools, nil
}

// runSampleWave applies the sample wave and waits for its end.
func (r *Deployment) runSampleWave(ctx context.Context, report *Report) error {
	sample, err := examples.Wave(r.Options.Deployment)
	if err != nil {
		return err
	}
	return r.RunWave(ctx, sample, report)
}

// RunWave applies a wave and waits until it is done or stopped, up to waveTimeout.
func (r *Deployment) RunWave(ctx context.Context, sample record.Envelope, report *Report) error {
	start := time.Now()
	if err := r.Apply(ctx, sample); err != nil {
		return err
	}
	deadline := start.Add(waveTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		var status wave.Status
		err := r.Client.Status(ctx, sample.ID(), &status)
		if err == nil {
			report.Wave.Hosts = status.Hosts
			report.Wave.Maintained = status.Maintained
			report.Wave.Failed = len(status.Failed)
		}
		if err == nil && (status.Done() || status.Phase == wave.Stopped) {
			report.Wave.Seconds = time.Since(start).Seconds()
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return &SetupError{Part: "wave " + sample.Name, Cause: context.DeadlineExceeded}
}

// MeasurePropagation changes the policy repeatedly and measures the time until each
// change is served by all live members.
func (r *Deployment) MeasurePropagation(ctx context.Context, report *Report) {
	id := record.ID{Kind: record.KindPolicy, Name: record.PolicyName}
	for seconds := 60; ctx.Err() == nil; seconds++ {
		current, err := r.Client.Get(ctx, id)
		if err != nil {
			pause.For(ctx, pollInterval)
			continue
		}
		envelope, err := amendPolicy(current, seconds)
		if err != nil {
			report.Failures = append(report.Failures, err.Error())
			return
		}
		start := time.Now()
		accepted, err := r.Client.Put(ctx, envelope, current.Revision, false)
		if err == nil {
			r.measureChange(ctx, report, accepted, start)
		}
		pause.For(ctx, changeInterval)
	}
}

func amendPolicy(current operatorapi.Record, stabilizationSeconds int) (record.Envelope, error) {
	envelope, err := record.ParseEnvelope(current.Stored)
	if err != nil {
		return envelope, err
	}
	spec, err := record.Decode(envelope)
	if err != nil {
		return envelope, err
	}
	policy := spec.(*record.Policy)
	policy.MoveStabilizationSeconds = stabilizationSeconds
	envelope.Spec, err = record.Patch(envelope.Spec, policy)
	return envelope, err
}

func (r *Deployment) measureChange(ctx context.Context, report *Report, accepted operatorapi.ChangeResponse, start time.Time) {
	for time.Since(start) < propagationTimeout && ctx.Err() == nil {
		status, err := r.Client.RevisionStatus(ctx, accepted.Revision)
		if err == nil && status.ServedByAll {
			report.Config.Changes++
			report.Config.MaxInForceSeconds = max(report.Config.MaxInForceSeconds, time.Since(start).Seconds())
			return
		}
		pause.For(ctx, pollInterval/10)
	}
	if ctx.Err() == nil {
		report.Failures = append(report.Failures, "a configuration change was not served by all members in time")
	}
}

func (r *Deployment) poolOf(ctx context.Context, host string) (string, error) {
	explanation, err := r.Client.Explain(ctx, record.ID{Kind: "Host", Name: host})
	if err != nil {
		return "", err
	}
	return explanation.Pool, nil
}

// Verify fills in the counts of the simulated platform and callers, and adds a
// failure for each check that does not hold.
func (r *Deployment) Verify(report *Report, callers *standin.Callers, hostPools map[string]string) {
	endpoints := r.Platform.Endpoints.Counts()
	report.Callers, report.Nonidem.MaxRuns = callers.Counts(endpoints.Runs)
	report.Nonidem.Sent = report.Callers.NonidempotentSent
	report.Nonidem.Repeats = report.Callers.Repeats
	report.Endpoints.LateWork = endpoints.RequestsAfterDrain
	report.Endpoints.PeakInFlight = endpoints.PeakInFlight
	minimum := r.minimumAvailable()
	report.Budget.Violations = len(standin.BudgetViolations(r.Platform.Fleet.Actions(), hostPools, minimum, detectionLag))
	violations := r.Violations()
	report.Invariants.Violations = len(violations)
	for _, violation := range violations {
		report.Failures = append(report.Failures, string(violation.Rule)+": "+violation.Evidence)
	}
	report.Jobs.Expected, report.Jobs.Counts = r.expectedTasks(), r.Platform.Workers.Counts()
	counts := r.Platform.Store.Counts()
	report.Platform.Reads, report.Platform.Writes = counts.Reads, counts.Writes
	report.Platform.LeaseCalls, report.Platform.WatchCalls = counts.LeaseCalls, counts.WatchCalls
	report.Platform.MostWatches = counts.MaxOpenWatches
	report.check(r.Options.External)
}

// check adds a failure for each check that does not hold. With injected faults
// requests may have an unknown outcome, since a gateway may be killed while it
// forwards them.
func (report *Report) check(faultsInjected bool) {
	failIf := func(failed bool, text string) {
		if failed {
			report.Failures = append(report.Failures, text)
		}
	}
	c := report.Callers
	failIf(c.Sent < minimumRequests, "too few requests for a meaningful result")
	failIf(c.Sent != c.Answered+c.RefusedNotRun+c.Unknown, "a request has no outcome")
	failIf(c.Unknown > 0 && !faultsInjected, "a request's outcome is unknown in a run without faults")
	failIf(c.Mismatched > 0, "a caller received the response to another request")
	failIf(c.FalseNotRun > 0, "a request reported as not run did run")
	failIf(report.Nonidem.Sent == 0, "no non-idempotent request was sent")
	failIf(report.Nonidem.MaxRuns > 1, "a non-idempotent request ran more than once")
	failIf(report.Nonidem.Repeats.Answered == 0, "no repeat of a non-idempotent request was answered")
	failIf(report.Nonidem.Repeats.Differing > 0, "the response to a repeat differs from the first response")
	failIf(report.Wave.Hosts == 0 || report.Wave.Maintained != report.Wave.Hosts, "the wave did not maintain every host")
	failIf(report.Budget.Violations > 0, "an availability budget was violated")
	failIf(report.Config.Changes == 0, "no configuration change was measured")
	failIf(report.Jobs.Finished < report.Jobs.Expected, "a task of a job did not finish")
	failIf(report.Jobs.DoubleRuns > 0, "a task of a job ran twice at the same time")
	failIf(report.Endpoints.LateWork > 0, "a draining endpoint received new requests")
	failIf(report.Endpoints.PeakInFlight > record.DefaultSlots, "an endpoint ran more concurrent requests than it has slots")
}

// minimumAvailable returns, by pool, the highest minimum of available hosts that
// the budgets of the pool's services require.
func (r *Deployment) minimumAvailable() map[string]int {
	byService := make(map[string]int)
	for _, envelope := range r.records {
		if spec, err := record.Decode(envelope); err == nil {
			if budget, ok := spec.(*record.Budget); ok {
				byService[budget.Service] = budget.MinAvailable
			}
		}
	}
	minimum := make(map[string]int)
	for _, envelope := range r.records {
		spec, err := record.Decode(envelope)
		pool, ok := spec.(*record.Pool)
		if err != nil || !ok {
			continue
		}
		for _, service := range pool.Services {
			minimum[envelope.Name] = max(minimum[envelope.Name], byService[service])
		}
	}
	return minimum
}
