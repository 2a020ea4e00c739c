package poolmanager

import (
	"github.com/prometheus/client_golang/prometheus"

	"auburnglade.example/glade/internal/sched"
)

const (
	// maxRuntimeQueues is how many queues have a histogram of their own: names of
	// queues come from callers, and each histogram takes memory.
	maxRuntimeQueues = 32
	// otherQueues is the label of the queues beyond those.
	otherQueues = "(other)"
)

// runtimeRatioBuckets range from a tenth of the prediction to ten times as long.
var runtimeRatioBuckets = []float64{0.1, 0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4, 10}

// runtimeMetrics compares the taken run times with the predicted ones by queue. It may
// be used concurrently.
type runtimeMetrics struct {
	ratios *prometheus.HistogramVec
	queues *boundedLabels
}

func newRuntimeMetrics() *runtimeMetrics {
	return &runtimeMetrics{
		ratios: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "glade_task_runtime_ratio", Help: "Ratio of taken to predicted run time by queue.", Buckets: runtimeRatioBuckets,
		}, []string{"queue"}),
		queues: newBoundedLabels(maxRuntimeQueues, otherQueues),
	}
}

func (m *runtimeMetrics) observe(record sched.RuntimeRecord) {
	if record.Predicted <= 0 {
		return
	}
	m.ratios.WithLabelValues(m.queues.label(record.Queue)).Observe(record.Taken.Seconds() / record.Predicted.Seconds())
}
