// Package fairshare divides a pool's cores among organisations by weight when there is
// not enough for all. It is start-time fair queueing over core-seconds: the start tag of
// a piece of work is the work of its organisation that goes before it, divided by the
// organisation's weight, and the work with the lowest tag goes first. Tags are computed
// anew in each plan from the jobs that run and wait, so that nothing is kept which a
// takeover could lose.
package fairshare

import (
	"maps"
	"slices"
)

// Account is the state of one organisation in one pool.
type Account struct {
	name   string
	weight float64
	// running is the thousandths of a core that its tasks use.
	running int
	// starts counts the tasks that were ordered to start.
	starts int
	// admitted is the core-seconds of entries, which are those admitted in this plan.
	admitted float64
	entries  entryHeap
	// position is the account's index in the selection, tag its start tag there.
	position int
	tag      float64
}

// Name returns the organisation's name, empty for that of jobs without one.
func (a *Account) Name() string { return a.name }

// Weight returns the organisation's weight, zero where no organisation has one.
func (a *Account) Weight() float64 { return a.weight }

// AddRunning counts cores that the organisation's tasks start to use, in thousandths, or
// with a negative number discounts them.
func (a *Account) AddRunning(milliCPU int) {
	if a != nil {
		a.running += milliCPU
	}
}

// CountStart counts a task that was ordered to start.
func (a *Account) CountStart() { a.starts++ }

// Starts returns the number of tasks that were ordered to start.
func (a *Account) Starts() int { return a.starts }

// MilliCPU returns the thousandths of a core that the organisation's tasks use.
func (a *Account) MilliCPU() int { return a.running }

// Running returns the thousandths of a core that the organisation's tasks use, divided by
// its weight.
func (a *Account) Running() float64 {
	if a.weight == 0 {
		return 0
	}
	return float64(a.running) / a.weight
}

// Book holds the accounts of one pool.
type Book struct {
	weights map[string]int
	// least and mean are of the weights above zero.
	least, mean float64
	accounts    map[string]*Account
}

// NewBook returns a book without weights.
func NewBook() *Book { return &Book{accounts: make(map[string]*Account)} }

// SetWeights replaces the weights, which the caller doesn't change later.
func (b *Book) SetWeights(weights map[string]int) {
	if maps.Equal(b.weights, weights) {
		return
	}
	b.weights = weights
	b.least, b.mean = summarize(weights)
	for name, a := range b.accounts {
		a.weight = b.weightOf(name)
	}
}

// summarize returns the least and the mean weight above zero, zero for none.
func summarize(weights map[string]int) (least, mean float64) {
	count := 0
	for _, weight := range weights {
		if weight <= 0 {
			continue
		}
		w := float64(weight)
		if count++; count == 1 || w < least {
			least = w
		}
		mean += w
	}
	return least, mean / float64(max(1, count))
}

// Weighted reports whether any organisation has a weight. Without that there are no
// shares.
func (b *Book) Weighted() bool { return b.least > 0 }

// Account returns the account of an organisation, or of all jobs without one for an
// empty name.
func (b *Book) Account(name string) *Account {
	a := b.accounts[name]
	if a == nil {
		a = &Account{name: name, weight: b.weightOf(name)}
		b.accounts[name] = a
	}
	return a
}

// Accounts returns all accounts, in no order.
func (b *Book) Accounts() []*Account { return slices.Collect(maps.Values(b.accounts)) }

// weightOf returns the weight that counts for an organisation. Jobs without an
// organisation share the mean weight: they come by public queues, and nobody has said
// what these are entitled to. An organisation that has no weight, or is not configured
// any more, has the least weight of all, so that its jobs still end.
func (b *Book) weightOf(name string) float64 {
	if weight := b.weights[name]; weight > 0 {
		return float64(weight)
	}
	if name == "" {
		return b.mean
	}
	return b.least
}
