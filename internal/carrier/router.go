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

// candidateInterval is how often a router checks for changed candidates.
const candidateInterval = 250 * time.Millisecond

// Config configures a Router.
type Config struct {
	Pool string
	// Session is unique to the holder and its tenure of the pool; each link adds its
	// carrier's name.
	Session string
	// CPUShare is the number of cores available to this process.
	CPUShare float64
	// HostsPerCore is how many hosts a core can call.
	HostsPerCore HostsPerCore
	// Direct calls hosts from this process.
	Direct worker.Client
	Hosts  worker.HostSource
	Peers  Peers
	// BatchDelay is the delay during which calls are batched into one exchange.
	BatchDelay time.Duration
	// Candidates returns the other live entry hosts, without those that are
	// shutting down.
	Candidates func() []Candidate
	Log        zerolog.Logger
	Metrics    *Metrics
}

// Router makes a pool's calls to its hosts: from this process while the pool is
// small, through carriers once it has more hosts than this process can call in
// addition to scheduling.
type Router struct {
	Config

	mu    sync.RWMutex
	hosts []worker.Host
	// routes maps each host to the links of its carriers in order of preference;
	// a host without links is called directly.
	routes map[string][]*link
	links  map[string]*link
	// candidates are the ones that the routes were computed from.
	candidates []Candidate
	carried    bool
	changed    bool
}

var (
	_ worker.Client     = (*Router)(nil)
	_ worker.HostSource = (*Router)(nil)
)

// NewRouter returns a router. Until Watch is called it makes all calls from
// this process.
func NewRouter(config Config) *Router {
	return &Router{Config: config, links: make(map[string]*link)}
}

// Watch implements worker.HostSource and keeps the routes up to date until ctx
// ends.
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
		pause.For(ctx, candidateInterval)
		r.route(ctx)
	}
	r.Metrics.hosts.WithLabelValues(r.Pool).Set(0)
}

// needsCarriers reports whether a pool with this number of hosts needs carriers.
// A pool that uses carriers stops only below half the limit: each switch opens
// connections to all its hosts, and hysteresis keeps it from switching often.
func (r *Router) needsCarriers(hosts int) bool {
	limit := r.HostsPerCore.hosts(r.CPUShare)
	if r.carried {
		limit /= 2
	}
	return float64(hosts) > limit
}

// route recomputes the routes if hosts or candidates have changed.
func (r *Router) route(ctx context.Context) {
	candidates := r.Candidates()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed && slices.Equal(candidates, r.candidates) {
		return
	}
	r.changed, r.candidates = false, candidates
	before := r.carried
	r.carried = r.needsCarriers(len(r.hosts)) && len(candidates) > 0
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
			Float64("share", r.CPUShare).Msg("Changed how the pool's hosts are called.")
	}
}

func (r *Router) link(ctx context.Context, c Candidate) *link {
	l := r.links[c.Name]
	if l == nil {
		l = newLink(c, r.Config)
		r.links[c.Name] = l
		go l.run(ctx)
	}
	return l
}

// linkFor returns the link to the first available carrier of a host, or nil.
func (r *Router) linkFor(host string) *link {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	for _, l := range r.routes[host] {
		if l.available(now) {
			return l
		}
	}
	return nil
}

// do makes a call through a carrier, or from this process if the host has no
// available carrier.
func (r *Router) do(ctx context.Context, call Call) Reply {
	if l := r.linkFor(call.Target.ID); l != nil {
		return l.do(ctx, call)
	}
	return call.sendTo(ctx, r.Direct)
}

// Start implements worker.Client.
func (r *Router) Start(ctx context.Context, to worker.Target, order worker.Start) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Start: &order}).Outcome
}

// Stop implements worker.Client.
func (r *Router) Stop(ctx context.Context, to worker.Target, order worker.Stop) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Stop: &order}).Outcome
}

// Throttle implements worker.Client.
func (r *Router) Throttle(ctx context.Context, to worker.Target, order worker.Throttle) worker.Outcome {
	return r.do(ctx, Call{Target: to, Timeout: worker.OrderTimeout, Throttle: &order}).Outcome
}

// Heartbeat implements worker.Client.
func (r *Router) Heartbeat(ctx context.Context, to worker.Target, order worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	reply := r.do(ctx, Call{Target: to, Timeout: order.Wait + worker.HeartbeatGrace, Heartbeat: &order})
	return reply.Heartbeat, reply.Outcome
}
