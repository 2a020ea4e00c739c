// Package supervise runs the parts of a daemon under a supervisor tree. A part
// that panics or returns an error is restarted alone and counted; a part that
// keeps failing ends the process with a typed error.
package supervise

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// Service is one part of a daemon. Serve runs until ctx ends. Returning nil
// earlier ends the part without a restart; an error restarts it.
type Service = suture.Service

const (
	// failureThreshold is the number of consecutive failures that end the process.
	// A failure after more than failureDecay of running resets the count.
	failureThreshold = 8
	failureDecay     = 30 * time.Second
	failureBackoff   = 250 * time.Millisecond
	stopTimeout      = 45 * time.Second
)

// PartFailedError reports that a part kept failing. It ends the process, so that
// the platform replaces it.
type PartFailedError struct {
	Part     string
	Failures int
	Cause    string
}

func (e *PartFailedError) Error() string {
	return fmt.Sprintf("part %q failed %d times in a row: %s", e.Part, e.Failures, e.Cause)
}

// Tree is the supervisor tree of a process.
type Tree struct {
	log      zerolog.Logger
	root     *suture.Supervisor
	restarts *prometheus.CounterVec
	failed   chan *PartFailedError
}

// New returns an empty tree for the named process. registerer may be nil.
func New(process string, log zerolog.Logger, registerer prometheus.Registerer) *Tree {
	tree := &Tree{
		log: log,
		restarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "glade_part_restarts_total",
			Help: "Restarts of a part after a panic or an error, by part.",
		}, []string{"part"}),
		failed: make(chan *PartFailedError, 1),
	}
	if registerer != nil {
		registerer.MustRegister(tree.restarts)
	}
	tree.root = suture.New(process, suture.Spec{
		EventHook:         tree.onEvent,
		FailureThreshold:  failureThreshold,
		FailureDecay:      failureDecay.Seconds(),
		FailureBackoff:    failureBackoff,
		Timeout:           stopTimeout,
		PassThroughPanics: false,
	})
	return tree
}

// Add adds a part to the tree. Each part has its own failure count.
func (t *Tree) Add(name string, service Service) {
	part := &part{name: name, service: service, tree: t}
	t.root.Add(part)
}

// Run runs the parts until ctx ends or a part keeps failing. It returns nil for
// the former and *PartFailedError for the latter.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := t.root.ServeBackground(ctx)
	select {
	case failure := <-t.failed:
		cancel()
		<-done
		return failure
	case err := <-done:
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}

func (t *Tree) onEvent(event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		t.log.Error().Str("service", e.ServiceName).Str("panic", e.PanicMsg).Str("stack", e.Stacktrace).Msg("Part panicked.")
	case suture.EventStopTimeout:
		t.log.Error().Str("service", e.ServiceName).Msg("Part did not stop within the timeout.")
	}
}

// part counts the consecutive failures of one service. The threshold of suture
// covers the whole supervisor; counting by part keeps the restarts of other
// parts out of a part's count.
type part struct {
	name        string
	service     Service
	tree        *Tree
	consecutive int
}

func (p *part) String() string { return p.name }

func (p *part) Serve(ctx context.Context) (err error) {
	started := time.Now()
	defer func() {
		if panicked := recover(); panicked != nil {
			p.recordFailure(started, fmt.Sprintf("panic: %v", panicked))
			panic(panicked)
		}
		if err != nil && !errors.Is(err, suture.ErrDoNotRestart) && ctx.Err() == nil {
			p.recordFailure(started, err.Error())
		}
	}()
	err = p.service.Serve(ctx)
	if err == nil && ctx.Err() == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

func (p *part) recordFailure(started time.Time, cause string) {
	if time.Since(started) > failureDecay {
		p.consecutive = 0
	}
	p.consecutive++
	p.tree.restarts.WithLabelValues(p.name).Inc()
	p.tree.log.Warn().Str("service", p.name).Str("cause", cause).Int("failures", p.consecutive).Msg("Part failed.")
	if p.consecutive < failureThreshold {
		return
	}
	select {
	case p.tree.failed <- &PartFailedError{Part: p.name, Failures: p.consecutive, Cause: cause}:
	default:
	}
}
