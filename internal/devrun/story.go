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

// Report is the story's result, counted by the stand-ins.
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
		// Expected is how many tasks the sample jobs have; the rest is counted
		// by the workers.
		Expected int `json:"expected"`
		fakeworkers.Counts
	} `json:"jobs"`
	Seconds  float64  `json:"seconds"`
	Failures []string `json:"faults"`
}

const (
	waveTimeout     = 3 * time.Minute
	changeInterval  = time.Second
	inForceTimeout  = 15 * time.Second
	minimumRequests = 2000
	settleTime      = time.Second
	// detectionLag is how old a host's failure must be for a disruption that
	// overlooks it to count against us: the host list's own lag and a round.
	detectionLag = listLag + time.Second
)

// RunScenario runs the story on a deployment that is up, stops it, and reports. The
// report's Faults are empty when everything held.
func RunScenario(ctx context.Context, run *Deployment) (Report, error) {
	report := Report{Deployment: run.Options.Deployment, Failures: []string{}}
	began := time.Now()
	callers := run.Callers()
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callersEnded := make(chan struct{})
	go func() {
		defer close(callersEnded)
		callers.Run(callersCtx, run.Options.Callers)
	}()
	groups, err := run.HostPools(ctx)
	if err != nil {
		return report, err
	}
	changesCtx, stopChanges := context.WithCancel(ctx)
	changesEnded := make(chan struct{})
	go func() {
		defer close(changesEnded)
		run.MeasurePropagation(changesCtx, &report)
	}()
	err = run.tellWave(ctx, &report)
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
	report.Seconds = time.Since(began).Seconds()
	run.Verify(&report, callers, groups)
	return report, err
}

// Callers returns callers of every sample service.
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

// HostPools returns the pool of each host as the story begins.
func (r *Deployment) HostPools(ctx context.Context) (map[string]string, error) {
	groups := make(map[string]string)
	for _, host := range r.FleetSpec().HostList() {
		pool, err := r.poolOf(ctx, host.Name)
		if err != nil {
			return nil, err
		}
		groups[host.Name] = pool
	}
	return groups, nil
}

// tellWave puts the sample wave in force and waits for its end.
func (r *Deployment) tellWave(ctx context.Context, report *Report) error {
	sample, err := examples.Wave(r.Options.Deployment)
	if err != nil {
		return err
	}
	return r.RunWave(ctx, sample, report)
}

// RunWave puts a wave in force and waits for its end.
func (r *Deployment) RunWave(ctx context.Context, sample record.Envelope, report *Report) error {
	began := time.Now()
	if err := r.Apply(ctx, sample); err != nil {
		return err
	}
	deadline := began.Add(waveTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		var status wave.Status
		err := r.Client.Status(ctx, sample.ID(), &status)
		if err == nil {
			report.Wave.Hosts = status.Hosts
			report.Wave.Maintained = status.Maintained
			report.Wave.Failed = len(status.Failed)
		}
		if err == nil && (status.Done() || status.Phase == wave.Stopped) {
			report.Wave.Seconds = time.Since(began).Seconds()
			return nil
		}
		pause.For(ctx, pollInterval)
	}
	return &SetupError{Part: "wave " + sample.Name, Cause: context.DeadlineExceeded}
}

// MeasurePropagation amends the policy again and again and measures how long each
// change takes until every live member serves it.
func (r *Deployment) MeasurePropagation(ctx context.Context, report *Report) {
	id := record.ID{Kind: record.KindPolicy, Name: record.PolicyName}
	for hold := 60; ctx.Err() == nil; hold++ {
		current, err := r.Client.Get(ctx, id)
		if err != nil {
			pause.For(ctx, pollInterval)
			continue
		}
		envelope, err := amendPolicy(current, hold)
		if err != nil {
			report.Failures = append(report.Failures, err.Error())
			return
		}
		began := time.Now()
		accepted, err := r.Client.Put(ctx, envelope, current.Revision, false)
		if err == nil {
			r.measureInForce(ctx, report, accepted, began)
		}
		pause.For(ctx, changeInterval)
	}
}

func amendPolicy(current operatorapi.Record, hold int) (record.Envelope, error) {
	envelope, err := record.ParseEnvelope(current.Stored)
	if err != nil {
		return envelope, err
	}
	spec, err := record.Decode(envelope)
	if err != nil {
		return envelope, err
	}
	policy := spec.(*record.Policy)
	policy.MoveStabilizationSeconds = hold
	envelope.Spec, err = record.Patch(envelope.Spec, policy)
	return envelope, err
}

func (r *Deployment) measureInForce(ctx context.Context, report *Report, accepted operatorapi.ChangeResponse, began time.Time) {
	for time.Since(began) < inForceTimeout && ctx.Err() == nil {
		answer, err := r.Client.RevisionStatus(ctx, accepted.Revision)
		if err == nil && answer.ServedByAll {
			report.Config.Changes++
			report.Config.MaxInForceSeconds = max(report.Config.MaxInForceSeconds, time.Since(began).Seconds())
			return
		}
		pause.For(ctx, pollInterval/10)
	}
	if ctx.Err() == nil {
		report.Failures = append(report.Failures, "a change was not in force everywhere in time")
	}
}

func (r *Deployment) poolOf(ctx context.Context, host string) (string, error) {
	explanation, err := r.Client.Explain(ctx, record.ID{Kind: "Host", Name: host})
	if err != nil {
		return "", err
	}
	return explanation.Pool, nil
}

// Verify fills in what the stand-ins counted and names every fault.
func (r *Deployment) Verify(report *Report, callers *standin.Callers, groups map[string]string) {
	seen := r.Platform.Endpoints.Counts()
	report.Callers, report.Nonidem.MaxRuns = callers.Counts(seen.Runs)
	report.Nonidem.Sent = report.Callers.NonidempotentSent
	report.Nonidem.Repeats = report.Callers.Repeats
	report.Endpoints.LateWork = seen.RequestsAfterDrain
	report.Endpoints.PeakInFlight = seen.PeakInFlight
	minimum := r.minimumAvailable()
	report.Budget.Violations = len(standin.BudgetViolations(r.Platform.Fleet.Actions(), groups, minimum, detectionLag))
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

// check names every fault. With faults driven from outside a request's outcome
// may be unknown, since a gateway may be killed with it.
func (report *Report) check(faultsDriven bool) {
	fault := func(broken bool, text string) {
		if broken {
			report.Failures = append(report.Failures, text)
		}
	}
	c := report.Callers
	fault(c.Sent < minimumRequests, "too few requests to mean anything")
	fault(c.Sent != c.Answered+c.RefusedNotRun+c.Unknown, "a request has no outcome")
	fault(c.Unknown > 0 && !faultsDriven, "a request's outcome is unknown in a run without faults")
	fault(c.Mismatched > 0, "a caller got another's answer")
	fault(c.FalseNotRun > 0, "a request refused as not run did run")
	fault(report.Nonidem.Sent == 0, "no non-idempotent request was sent")
	fault(report.Nonidem.MaxRuns > 1, "a non-idempotent request ran more than once")
	fault(report.Nonidem.Repeats.Answered == 0, "no repeat of a non-idempotent request was answered")
	fault(report.Nonidem.Repeats.Differing > 0, "a repeat got another answer than the first")
	fault(report.Wave.Hosts == 0 || report.Wave.Maintained != report.Wave.Hosts, "the wave did not maintain every host")
	fault(report.Budget.Violations > 0, "an availability budget was broken")
	fault(report.Config.Changes == 0, "no configuration change was measured")
	fault(report.Jobs.Finished < report.Jobs.Expected, "a task of a job did not finish")
	fault(report.Jobs.DoubleRuns > 0, "a task of a job ran twice at once")
	fault(report.Endpoints.LateWork > 0, "a leaving endpoint got new work")
	fault(report.Endpoints.PeakInFlight > record.DefaultSlots, "an endpoint ran more requests at once than it has slots")
}

// minimumAvailable returns, by pool, the most that any of its services' budgets
// asks for.
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
