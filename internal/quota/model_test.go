package quota

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

var (
	modelSeeds = flag.Int("quota.seeds", 400, "seeds of the model")
	firstSeed  = flag.Uint64("quota.first", 1, "first seed of the model")
)

const (
	modelPools = 5
	modelSteps = 500
	// limitDelay is how many steps a holder may go on with limits that were replaced.
	limitDelay = 12
	org        = "a"
)

// model is a site whose pools start tasks of one organisation. Every message can be
// lost, late or overtaken, holders are replaced without notice, and limits change.
type model struct {
	rng      *rand.Rand
	step     int
	revision store.Revision
	ledger   *Ledger
	ledgerAt store.Revision
	// configs are the versions of the limit, the newest last.
	configs []modelConfig
	pools   []*modelPool
	// late are writes that the store may still carry out.
	late   []modelWrite
	breach string
	// calm is set when nothing is lost, late, replaced or changed.
	calm bool
}

// modelConfig is a version of the limits. A resource of zero has none.
type modelConfig struct {
	at    store.Revision
	since int
	limit work.Resources
}

type modelWrite struct {
	pool  *modelPool
	by    *modelHolder
	fence store.Revision
	p     *Proposal
}

// modelPool has the tasks that run on its hosts.
type modelPool struct {
	name   string
	fence  store.Revision
	tasks  map[int]modelTask
	next   int
	holder *modelHolder
	// replaced are holders that don't know that they have been replaced.
	replaced []*modelHolder
}

type modelTask struct {
	size  work.Resources
	owner *modelHolder
	// ended is set when the task has ended and its holder hasn't heard.
	ended bool
}

type modelHolder struct {
	pool    *modelPool
	fence   store.Revision
	account *Account
	use     Use
	// hidden are the hosts' tasks of earlier holders that were not found yet.
	hidden  map[int]bool
	settled bool
	config  modelConfig
	// waiting is the size of the tasks that were not allowed to start, next that of
	// the last of them.
	waiting, next work.Resources
	now           time.Time
}

func cores(n int) work.Resources { return work.Resources{MilliCPU: n} }

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), ledger: &Ledger{}, revision: 1}
	m.configs = []modelConfig{{at: 1, limit: cores(40 + m.rng.IntN(200))}}
	for i := range modelPools {
		p := &modelPool{name: fmt.Sprint("p", i), tasks: make(map[int]modelTask)}
		m.pools = append(m.pools, p)
		m.takeOver(p)
	}
	return m
}

func (m *model) newest() modelConfig { return m.configs[len(m.configs)-1] }

// allowed is the highest limit that may be in force.
func (m *model) allowed() work.Resources {
	most := m.newest().limit
	higher := func(a, b int) int {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	for i := range m.configs[:len(m.configs)-1] {
		if limit := m.configs[i].limit; m.step-m.configs[i+1].since <= limitDelay {
			most = work.Resources{MilliCPU: higher(most.MilliCPU, limit.MilliCPU), MemMB: higher(most.MemMB, limit.MemMB)}
		}
	}
	return most
}

func (m *model) takeOver(p *modelPool) {
	m.revision++
	p.fence = m.revision
	if p.holder != nil {
		p.replaced = append(p.replaced, p.holder)
	}
	h := &modelHolder{pool: p, fence: p.fence, account: NewAccount(p.name, int64(p.fence)), config: m.newest(), hidden: make(map[int]bool)}
	for id := range p.tasks {
		h.hidden[id] = true
	}
	h.account.SetLimits(h.limits())
	p.holder = h
}

func (h *modelHolder) limits() Limits {
	limits := Limits{Revision: h.config.at, ByOrganisation: make(map[string]work.Resources)}
	if h.config.limit != (work.Resources{}) {
		limits.ByOrganisation[org] = h.config.limit
	}
	return limits
}

// confirmed reports whether a holder's limits count as the newest.
func (m *model) confirmed(h *modelHolder) bool {
	for i := range m.configs[:len(m.configs)-1] {
		if m.configs[i].at == h.config.at && m.step-m.configs[i+1].since > limitDelay {
			return false
		}
	}
	return true
}

// total is what runs on all hosts.
func (m *model) total() (sum work.Resources) {
	for _, p := range m.pools {
		for _, t := range p.tasks {
			if !t.ended {
				sum = sum.Plus(t.size)
			}
		}
	}
	return sum
}

func (h *modelHolder) hiddenRoom() work.Resources {
	if h.settled {
		return work.Resources{}
	}
	return work.Resources{MilliCPU: 1 << 20, MemMB: 1 << 20}
}

// fencedOff reports whether a later holder has reached all hosts of the pool.
func (h *modelHolder) fencedOff() bool {
	for _, later := range append(h.pool.replaced, h.pool.holder) {
		if later.fence > h.fence && later.settled {
			return true
		}
	}
	return false
}

// start starts a task if the holder's quota allows it. A holder that was replaced and
// doesn't know starts tasks only on hosts that its successor has not reached.
func (m *model) start(h *modelHolder) {
	if h.fencedOff() {
		return
	}
	size := work.Resources{MilliCPU: 1 + m.rng.IntN(20), MemMB: 1 + m.rng.IntN(20)}
	if !h.allows(size, m.confirmed(h)) {
		const most = 100
		if h.waiting.MilliCPU < most {
			h.waiting = h.waiting.Plus(size)
		}
		h.next = size
		return
	}
	h.waiting = h.waiting.Minus(size).Max(work.Resources{})
	h.pool.next++
	id := h.pool.next
	h.pool.tasks[id] = modelTask{size: size, owner: h}
	for _, later := range append(h.pool.replaced, h.pool.holder) {
		if later.fence > h.fence {
			later.hidden[id] = true
		}
	}
	h.use.Own = h.use.Own.Plus(size)
	if before := m.total().Minus(size); over(before, m.allowed()) != (work.Resources{}) {
		m.breach = fmt.Sprintf("step %d: a start at %+v of at most %+v", m.step, before, m.allowed())
	}
}

// allows reports whether a holder may start a task.
func (h *modelHolder) allows(size work.Resources, confirmed bool) bool {
	q, limited := h.account.Quotas(confirmed)[org]
	if !limited {
		return h.account.FrozenOthers(confirmed) == ""
	}
	used := h.use.Total(h.hiddenRoom())
	return q.Allows(used, size) || q.AllowsExtra(used, size, size)
}

// ids returns the numbers of the pool's tasks in order, so that a seed repeats.
func (p *modelPool) ids() []int { return slices.Sorted(maps.Keys(p.tasks)) }

// end ends a task; its holder hears of it later, if at all.
func (m *model) end(p *modelPool) {
	for _, id := range p.ids() {
		if t := p.tasks[id]; !t.ended {
			t.ended = true
			p.tasks[id] = t
			return
		}
	}
}

// report lets the pool's holder hear of an end, or find a task of an earlier holder.
func (m *model) report(h *modelHolder) {
	for _, id := range h.pool.ids() {
		t := h.pool.tasks[id]
		switch {
		case t.owner == h && t.ended:
			h.use.Own = h.use.Own.Minus(t.size)
			delete(h.pool.tasks, id)
			return
		case t.owner != h && h.hidden[id]:
			delete(h.hidden, id)
			if t.ended {
				delete(h.pool.tasks, id)
			} else {
				h.use.Adopted = h.use.Adopted.Plus(t.size)
			}
			return
		case t.owner != h && t.ended:
			h.use.Adopted = h.use.Adopted.Minus(t.size)
			delete(h.pool.tasks, id)
			return
		}
	}
	h.settled = h.settled || len(h.hidden) == 0
}

func (m *model) read(h *modelHolder) {
	first := !h.account.Loaded()
	h.account.Read(m.ledger, m.ledgerAt, h.config.at)
	if first {
		h.use.Inherited = h.account.Inherited().Of(org)
	}
}

// propose sends a write, which is carried out, refused, unanswered or late.
func (m *model) propose(h *modelHolder) {
	h.now = h.now.Add(time.Duration(m.rng.IntN(500)) * time.Millisecond)
	used := h.use.Total(h.hiddenRoom())
	next := smaller(h.waiting, h.next)
	p := h.account.Propose(map[string]Demand{org: {Used: used, Waiting: h.waiting, Next: next, Task: next}}, h.now)
	if p == nil {
		return
	}
	w := modelWrite{h.pool, h, h.fence, p}
	fate := m.rng.IntN(6)
	if m.calm {
		fate = 3
	}
	switch fate {
	case 0:
		m.late = append(m.late, w)
	case 1:
		m.carryOut(w)
	case 2:
		h.account.Dropped(p)
	default:
		if at, ok := m.carryOut(w); ok {
			h.account.Written(p, at)
		} else {
			h.account.Dropped(p)
			m.read(h)
		}
	}
}

// carryOut is the store's part of a write.
func (m *model) carryOut(w modelWrite) (store.Revision, bool) {
	if w.p.Revision != m.ledgerAt || w.fence != w.pool.fence || w.p.Limits != 0 && w.p.Limits != m.newest().at {
		return 0, false
	}
	m.revision++
	m.ledger, m.ledgerAt = w.p.Ledger, m.revision
	return m.revision, true
}

func (m *model) change() {
	m.revision++
	limit := work.Resources{MilliCPU: 10 + m.rng.IntN(240)}
	switch m.rng.IntN(5) {
	case 0:
		limit = work.Resources{}
	case 1:
		limit = work.Resources{MemMB: limit.MilliCPU}
	case 2:
		limit.MemMB = 10 + m.rng.IntN(240)
	}
	m.configs = append(m.configs, modelConfig{at: m.revision, since: m.step, limit: limit})
}

func (m *model) act() {
	m.step++
	p := m.pools[m.rng.IntN(len(m.pools))]
	h := p.holder
	if len(p.replaced) > 0 && m.rng.IntN(4) == 0 {
		h = p.replaced[m.rng.IntN(len(p.replaced))]
	}
	kinds := 100
	if m.calm {
		kinds = 95
	}
	switch n := m.rng.IntN(kinds); {
	case n < 40:
		m.start(h)
	case n < 55:
		m.end(p)
	case n < 70:
		m.report(p.holder)
	case n < 85:
		m.propose(h)
	case n < 90:
		m.read(h)
	case n < 95:
		h.config = m.newest()
		h.account.SetLimits(h.limits())
	case n < 97 && len(m.late) > 0:
		at := m.rng.IntN(len(m.late))
		m.carryOut(m.late[at])
		m.late = append(m.late[:at], m.late[at+1:]...)
	case n < 98:
		m.takeOver(p)
	case n < 99:
		m.change()
	}
}

// Guards against an organisation that runs more than its limit and one task, whatever
// is lost, late or replaced.
func TestLimitsHoldInAnyOrderOfEvents(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*modelSeeds); seed++ {
		m := newModel(seed)
		for range modelSteps {
			if m.act(); m.breach != "" {
				t.Fatalf("seed %d: %s", seed, m.breach)
			}
		}
	}
}

// Guards against a ledger that is safe because nothing runs: pools in turn get most of
// the limit where nothing fails.
func TestLimitsAreUsed(t *testing.T) {
	for seed := range uint64(50) {
		used, limit := 0, 0
		m := newModel(seed)
		m.calm = true
		for range modelSteps {
			m.act()
			used, limit = max(used, m.total().MilliCPU), m.newest().limit.MilliCPU
		}
		must.Greater(t, limit/3, used)
	}
}
