package poolmanager

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/worker"
)

// Metrics are the metrics shared by all managers of a process.
type Metrics struct {
	takeovers         prometheus.Counter
	starts            prometheus.Counter
	speculativeStarts prometheus.Counter
	// stragglers counts the decisions on runs that take long, by
	// sched.StragglerVerdict and decision.
	stragglers *prometheus.CounterVec
	// copies counts the copied tasks whose earlier run has ended, by sched.CopyReason
	// and sched.CopyOutcome.
	copies   *prometheus.CounterVec
	runtimes *runtimeMetrics
	hedges   prometheus.Counter
	// lossyPeriods counts periods in which healthy hosts left calls unanswered.
	lossyPeriods prometheus.Counter
	stops        prometheus.Counter
	throttles    prometheus.Counter
	calls        *prometheus.CounterVec
	callSeconds  *prometheus.HistogramVec
	// lostHosts counts hosts lost with runs on them, by evidence; lostRuns counts
	// those runs.
	lostHosts *prometheus.CounterVec
	lostRuns  prometheus.Counter
	// heardAgain counts the runs that were given up and reported afterwards, by evidence
	// and end.
	heardAgain *prometheus.CounterVec
	// verdicts counts the consequences of lost hosts for the tasks that ran there, by
	// sched.Verdict.
	verdicts *prometheus.CounterVec
	// absenceSeconds is how long long-running tasks were out of service,
	// absenceWaits what they waited for, by sched.WaitReason.
	absenceSeconds prometheus.Histogram
	absenceWaits   *prometheus.CounterVec
	// confirmations counts questions to the store whether the claim still holds, by
	// outcome.
	confirmations *prometheus.CounterVec
	commits       *prometheus.CounterVec
	commitSeconds prometheus.Histogram
	entries       prometheus.Counter
	// sideCommits counts commits on side lanes.
	sideCommits prometheus.Counter
	submits     *prometheus.CounterVec
	// refusals counts the jobs refused for want of room, by overload.Reason.
	refusals *prometheus.CounterVec
	jobs     *prometheus.CounterVec
	jobAge   prometheus.Histogram
	jobWait  prometheus.Histogram
	// quotaCalls counts calls about the quota ledger.
	quotaCalls *prometheus.CounterVec
	// organisations tells who uses the room.
	organisations organisationMetrics
	// partSeconds is the processing time of the pools' goroutines, by part.
	partSeconds *prometheus.CounterVec
	// planSeconds is the duration of plans, lagSeconds the delay with which a
	// pool's goroutine processes its ticks.
	planSeconds, lagSeconds prometheus.Histogram
	// replyLateSeconds is by how much replies to heartbeats are later than the hosts
	// may delay them.
	replyLateSeconds prometheus.Histogram
}

// planBuckets range from a plan for a few hosts to one that stalls the pool.
var planBuckets = []float64{0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1}

// jobBuckets range from the shortest jobs to jobs that have missed their time
// goal.
var jobBuckets = []float64{0.25, 0.5, 1, 2, 3, 5, 8, 13, 21, 60}

// callBuckets range from a response within a zone to the timeout of a call.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2}

// NewMetrics creates the metrics and registers them with registerer, unless that
// is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_pool_takeovers_total", Help: "Pools taken over by this process."}),
		starts:    prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_task_starts_total", Help: "Starts of tasks ordered."}),
		quotaCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_quota_ledger_calls_total", Help: "Calls about the ledger of organisations' limits: reads, writes, and writes that met a conflict.",
		}, []string{"call"}),
		replyLateSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_worker_reply_late_seconds", Help: "By how much replies to heartbeats are later than the hosts may delay them.", Buckets: callBuckets,
		}),
		speculativeStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_task_copies_total", Help: "Starts ordered beside an earlier run that may go on.",
		}),
		stragglers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_task_stragglers_total", Help: "Decisions on runs that take long, by why they do and what was decided.",
		}, []string{"verdict", "decision"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_task_copies_ended_total", Help: "Copied tasks whose earlier run has ended, by why they were copied and how it ended.",
		}, []string{"reason", "outcome"}),
		runtimes: newRuntimeMetrics(),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_worker_repeats_total", Help: "Starts and stops sent again since they had no answer.",
		}),
		lossyPeriods: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_worker_lossy_spells_total", Help: "Spells in which hosts that are well left calls unanswered.",
		}),
		stops:     prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_task_stops_total", Help: "Stops of runs ordered, repeats included."}),
		throttles: prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_task_paces_total", Help: "Changes of pace ordered."}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_worker_calls_total", Help: "Calls to hosts by kind and outcome.",
		}, []string{"call", "outcome"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "glade_worker_call_seconds", Help: "Time of calls to hosts by kind.", Buckets: callBuckets,
		}, []string{"call"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_pool_commits_total", Help: "Commits to the store by outcome.",
		}, []string{"outcome"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_pool_commit_seconds", Help: "Time of commits to the store.", Buckets: callBuckets,
		}),
		entries: prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_pool_commit_entries_total", Help: "Values written by commits."}),
		sideCommits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "glade_pool_side_commits_total", Help: "Commits sent while another one of the same pool was on its way.",
		}),
		submits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_pool_submits_total", Help: "Jobs handed to the pools held here, by result.",
		}, []string{"result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_pool_refusals_total", Help: "Jobs refused for want of room, by reason.",
		}, []string{"reason"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_jobs_ended_total", Help: "Jobs that have ended, by state.",
		}, []string{"state"}),
		jobAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_job_age_seconds", Help: "Time from a job's arrival until it was done.", Buckets: jobBuckets,
		}),
		jobWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "glade_job_wait_seconds", Help: "Time from a job's arrival until its first task was ordered.", Buckets: jobBuckets,
		}),
	}
	m.planSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "glade_pool_plan_seconds", Help: "Time of a plan for a pool held here.", Buckets: planBuckets,
	})
	m.lagSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "glade_pool_lag_seconds", Help: "How late the goroutine of a pool held here gets to its regular tick.", Buckets: planBuckets,
	})
	m.lostHosts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_hosts_lost_total", Help: "Hosts lost with runs on them, by how that is known.",
	}, []string{"evidence"})
	m.lostRuns = prometheus.NewCounter(prometheus.CounterOpts{Name: "glade_runs_lost_total", Help: "Runs that were lost with their host."})
	m.heardAgain = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_given_up_runs_heard_total", Help: "Runs that were given up and reported by their hosts afterwards, by why they were given up and how they ended.",
	}, []string{"evidence", "end"})
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_crash_verdicts_total", Help: "What lost hosts meant for the tasks that ran there.",
	}, []string{"verdict"})
	m.absenceSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "glade_long_running_absence_seconds", Help: "How long long-running tasks were out of service, where that was noticed.", Buckets: jobBuckets,
	})
	m.absenceWaits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_long_running_waits_seconds_total", Help: "What long-running tasks that were out of service waited for.",
	}, []string{"reason"})
	m.confirmations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_pool_confirmations_total", Help: "Questions to the store whether the claim of a pool still holds, by outcome.",
	}, []string{"outcome"})
	m.partSeconds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "glade_pool_busy_seconds_total", Help: "Time that the goroutines of pools held here spent, by part.",
	}, []string{"part"})
	m.organisations = newOrganisationMetrics()
	if registerer != nil {
		registerer.MustRegister(m.organisations.collectors()...)
		registerer.MustRegister(m.replyLateSeconds, m.quotaCalls, m.partSeconds, m.absenceSeconds, m.absenceWaits, m.confirmations, m.heardAgain, m.verdicts, m.lostHosts, m.lostRuns, m.planSeconds, m.lagSeconds,
			m.takeovers, m.starts, m.speculativeStarts, m.stragglers, m.copies, m.runtimes.ratios, m.hedges, m.stops, m.throttles, m.calls,
			m.callSeconds, m.commits, m.commitSeconds, m.entries, m.submits, m.jobs, m.jobAge, m.jobWait, m.lossyPeriods, m.sideCommits, m.refusals)
	}
	return m
}

func (m *Metrics) recordCall(call string, outcome worker.Outcome, took time.Duration) {
	m.calls.WithLabelValues(call, outcome.String()).Inc()
	m.callSeconds.WithLabelValues(call).Observe(took.Seconds())
}

func (m *Metrics) jobEnded(state string, age, waited time.Duration) {
	m.jobs.WithLabelValues(state).Inc()
	if state == "done" {
		m.jobAge.Observe(age.Seconds())
		m.jobWait.Observe(waited.Seconds())
	}
}
