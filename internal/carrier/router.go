package carrier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/worker"
)

// lookEvery is how often a router looks for carriers that came or went.
const lookEvery = 250 * time.Millisecond

// Config is what a Router needs.
type Config struct {
	Pool string
	// Session names the holder and its hold on the pool: no two are the same.
	Session string
	// CPUShare is how much of a core this process has.
	CPUShare float64
	// HostsPerCore is how many hosts a core can call.
	HostsPerCore HostsPerCore
	// Direct makes calls from this process.
	Direct worker.Client
	Hosts  worker.HostSource
	Peers  Peers
	// BatchDelay lets calls that are made together go out together.
	BatchDelay time.Duration
	// Candidates are the other entry hosts that live and don't leave.
	Candidates func() []Candidate
	Log        zerolog.Logger
	Metrics    *Metrics
}

// Router makes a pool's calls: from this process while the pool is small,
// through carriers once it has more hosts than this process can call beside
// deciding.
type Router struct {
	Config

	mu    sync.RWMutex
	hosts []worker.Host
	// routes are the ways to each host by preference; none means direct.
	routes map[string][]*link
	links  map[string]*link
	// candidates are those that the routes were made for.
	candidates []Candidate
	carried    bool
	changed    bool
}

var (
	_ worker.Client     = (*Router)(nil)
	_ worker.HostSource = (*Router)(nil)
)

// NewRouter returns a router that makes all calls from this process before
// Follow.
func NewRouter(config Config) *Router {
	return &Router{Config: config, links: make(map[string]*link)}
}

// Watch implements worker.HostSource and keeps the routes until ctx ends.
func (r *Router) Watch(ctx context.Context, pool string, update func([]worker.Host)) {
	go r.run(ctx)
	r.Hosts.Watch(ctx, pool, func(hosts []worker.Host) {
		r.mu.Lock()
		r.hosts, r.changed = slices.Clone(hosts), true
		r.mu.Unlock()
		r.route(ctx)
		update(hosts)
	})
}

func (r *Router) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, lookEvery)
		r.route(ctx)
	}
	r.Metrics.hosts.WithLabelValues(r.Pool).Set(0)
}

// wants reports whether a pool of so many hosts needs carriers. Once it has
// them it keeps them until it is far smaller, as each change opens connections.
func (r *Router) wants(hosts int) bool {
	most := r.HostsPerCore.hosts(r.CPUShare)
	if r.carried {
		most /= 2
	}
	return float64(hosts) > most
}

// route makes the routes anew where hosts or candidates have changed.
func (r *Router) route(ctx context.Context) {
	candidates := r.Candidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed && slices.Equal(candidates, r.candidates) {
		return
	}
	r.changed, r.candidates = false, candidates
	before := r.carried
	r.carried = r.wants(len(r.hosts)) && len(candidates) > 0
	routes := make(map[string][]*link)
	used := make(map[string]bool)
	if r.carried {
		for host, carriers := range r.HostsPerCore.Assign(r.Pool, r.hosts, candidates) {
			for _, c := range carriers {
				routes[host] = append(routes[host], r.link(ctx, c))
			}
			used[carriers[0].Name] = true
		}
	}
	r.routes = routes
	r.Metrics.hosts.WithLabelValues(r.Pool).Set(float64(len(routes)))
	if r.carried != before {
		r.Log.Info().Bool("carried", r.carried).Int("hosts", len(r.hosts)).Int("carriers", len(used)).Int("candidates", len(candidates)).
			Float64("share", r.CPUShare).Msg("The way to the pool's hosts changes.")
	}
}

func (r *Router) link(ctx context.Context, c Candidate) *link {
	l := r.links[c.Name]
	if l == nil {
		l = newLink(c.Address, r.Config)
		r.links[c.Name] = l
		go l.run(ctx)
	}
	return l
}

// way returns the first carrier of a host that is well, or nil.
func (r *Router) way(host string) *link {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	for _, l := range r.routes[host] {
		if l.well(now) {
			return l
		}
	}
	return nil
}

// do makes a call through a carrier of its host, or from this process.
func (r *Router) do(ctx context.Context, call Call) Reply {
	if l := r.way(call.Target.ID); l != nil {
		return l.do(ctx, call)
	}
	return call.on(ctx, r.Direct)
}

// Start implements worker.Orders.
func (r *Router) Start(ctx context.Context, to worker.Target, order worker.Start) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Start: &order}).Outcome
}

// Stop implements worker.Orders.
func (r *Router) Stop(ctx context.Context, to worker.Target, order worker.Stop) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Stop: &order}).Outcome
}

// Throttle implements worker.Orders.
func (r *Router) Throttle(ctx context.Context, to worker.Target, order worker.Throttle) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Pace: &order}).Outcome
}

// Heartbeat implements worker.Orders.
func (r *Router) Heartbeat(ctx context.Context, to worker.Target, order worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	reply := r.do(ctx, Call{Target: to, Timeout: order.Wait + worker.HeartbeatGrace, Hold: &order})
	return reply.Answer, reply.Outcome
}
