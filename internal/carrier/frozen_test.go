package carrier_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/worker"
)

// startLog records when starts reached a host.
type startLog struct {
	worker.Client

	mu      sync.Mutex
	arrived []time.Time
}

func (l *startLog) Start(context.Context, worker.Target, worker.Start) worker.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, time.Now())
	return worker.Accepted
}

// frozenPeers is a carrier that is suspended for a while: what arrives meanwhile is
// carried out when it resumes.
type frozenPeers struct {
	server  *carrier.Server
	resumes time.Time
}

func (p *frozenPeers) Exchange(ctx context.Context, _, session string, calls []carrier.Call) ([]carrier.Reply, error) {
	go func() {
		time.Sleep(time.Until(p.resumes))
		p.server.Exchange(context.Background(), session, calls)
	}()
	<-ctx.Done()
	return nil, ctx.Err()
}

type oneHost struct{}

func (oneHost) Watch(ctx context.Context, _ string, update func([]worker.Host)) {
	update([]worker.Host{{ID: "w", Zone: "a"}, {ID: "x", Zone: "a"}})
	<-ctx.Done()
}

// Guards against a start that reaches the next incarnation of a host after it was taken for
// settled: a carrier that was suspended sends it seconds after the last attempt may.
func TestResumedCarrierSendsNoOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		hosts := &startLog{}
		peers := &frozenPeers{server: carrier.NewServer(hosts, carrier.BatchDelay(0), carrier.NewMetrics(nil)), resumes: time.Now().Add(10 * time.Second)}
		router := carrier.NewRouter(carrier.Config{
			Pool: "p", Session: "s", CPUShare: 0.4, HostsPerCore: 1, Direct: hosts, Hosts: oneHost{}, Peers: peers, BatchDelay: carrier.BatchDelay(0),
			Candidates: func() []carrier.Candidate { return []carrier.Candidate{candidate("c", "a", 0.8, 0)} },
			Log:        zerolog.Nop(), Metrics: carrier.NewMetrics(nil),
		})
		go router.Watch(ctx, "p", func([]worker.Host) {})
		synctest.Wait()
		ordered := time.Now()
		must.EqOp(t, worker.Unknown, router.Start(ctx, worker.Target{ID: "w"}, worker.Start{}))
		pause.For(ctx, 20*time.Second)
		cancel()
		time.Sleep(time.Minute)
		for _, at := range hosts.arrived {
			must.LessEq(t, worker.AttemptsOutlast, at.Sub(ordered), must.Sprint("an order was sent to its host this long after it was given"))
		}
	})
}
