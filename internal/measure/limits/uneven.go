package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/share"
)

// SkewedLoad is the cost of slots that are unused at one gateway and missing at
// another: nine gateways share ten endpoints, Load is the total load as a fraction of
// the capacity of all slots, and one gateway gets more of it than the others.
type SkewedLoad struct {
	// Lending reports whether gateways lend each other slots.
	Lending bool    `json:"lending"`
	Load    float64 `json:"load"`
	// Skew is the load of the busiest gateway divided by an even share of the load.
	Skew float64 `json:"skew"`
	// Lost is the fraction of all requests that were not good.
	Lost float64 `json:"lost"`
	// P99Ms is the 99th percentile of the latencies of good requests.
	P99Ms float64 `json:"p99_ms"`
	// BorrowRequests is the number of borrow requests per second, over all gateways.
	BorrowRequests float64 `json:"askings_per_second"`
}

const skewedGateways = 9

func measureSkewed(length time.Duration) []SkewedLoad {
	var list []SkewedLoad
	for _, lending := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.8} {
			for _, skew := range []float64{1, 1.5, 3} {
				list = append(list, runSkewed(lending, load, skew, length))
			}
		}
	}
	return list
}

func runSkewed(lending bool, load, skew float64, length time.Duration) SkewedLoad {
	o := newLendingGroup(lending)
	random := rand.New(rand.NewPCG(seed, seed))
	rate := load * capacity * hostsPerService
	picks := make([]int, int(rate*length.Seconds())+1)
	for i := range picks {
		picks[i] = pickGateway(random, skew)
	}
	t := newRunResult()
	sendRequests(t, length, rate, func(i int) string { return fmt.Sprint(i % 40) },
		func(i int) admit { return o.admit(picks[i%len(picks)]) })
	slices.Sort(t.latencies)
	return SkewedLoad{
		Lending: lending, Load: load, Skew: skew, Lost: 1 - float64(t.total())/float64(t.sent),
		P99Ms: percentile(t.latencies, 0.99), BorrowRequests: float64(o.borrowRequests()) / length.Seconds(),
	}
}

// pickGateway returns a random gateway. The first one is returned skew times as often
// as in a uniform distribution.
func pickGateway(random *rand.Rand, skew float64) int {
	if random.Float64() < skew/skewedGateways {
		return 0
	}
	return 1 + random.IntN(skewedGateways-1)
}

// lendingGroup is the limiters of several gateways that may lend each other slots.
type lendingGroup struct {
	hosts     []string
	limiters  []*limit.Limiter
	borrowers []*memoryBorrower
}

func newLendingGroup(lending bool) *lendingGroup {
	members := names("gateway", skewedGateways)
	o := &lendingGroup{hosts: names("host", hostsPerService)}
	split := share.Split("match", slotLimit, o.hosts, members)
	for i := range members {
		own := make(hostShares, len(o.hosts))
		for h, host := range o.hosts {
			own[host] = split[h][i]
		}
		borrower := &memoryBorrower{group: o, self: i}
		config := limit.Config{Shares: own}
		if lending {
			config.Borrower = borrower
		}
		o.borrowers = append(o.borrowers, borrower)
		o.limiters = append(o.limiters, limit.New(config))
	}
	policy := &limit.BorrowPolicy{Lenders: make(map[string]bool)}
	for _, m := range members {
		policy.Lenders[m] = true
	}
	for _, l := range o.limiters {
		l.SetBorrowPolicy(policy)
	}
	return o
}

func (o *lendingGroup) borrowRequests() int64 {
	total := int64(0)
	for _, b := range o.borrowers {
		total += b.requests
	}
	return total
}

// admit returns the admit function of one gateway, which ranks the endpoints in
// random order.
func (o *lendingGroup) admit(gateway int) admit {
	ranked := make([]endpoint.Endpoint, len(o.hosts))
	for i, place := range rand.Perm(len(o.hosts)) {
		ranked[i] = endpoint.Endpoint{Service: "match", Host: o.hosts[place], Address: o.hosts[place]}
	}
	return func(ctx context.Context, caller string) func() {
		slot, err := o.limiters[gateway].Acquire(ctx, limit.Request{
			Service: "match", Caller: caller, Rank: func() []endpoint.Endpoint { return ranked },
		})
		if err != nil {
			return nil
		}
		return slot.Release
	}
}

type hostShares map[string]int

func (h hostShares) Allocation(_, host string) share.Allocation {
	return share.Allocation{Slots: h[host], Connections: connectionLimit / skewedGateways}
}

// memoryBorrower borrows slots in memory, with the delay of messages between
// availability zones.
type memoryBorrower struct {
	group *lendingGroup
	self  int
	// requests is the number of borrow requests. Only one request runs at a time.
	requests int64
}

const loanTTL = 32 * time.Second

// Borrow implements limit.Borrower.
func (b *memoryBorrower) Borrow(_ context.Context, service string, hosts []string, count int) limit.LoanBatch {
	b.requests++
	lender := (b.self + 1 + rand.IntN(skewedGateways-1)) % skewedGateways
	requestedAt := time.Now()
	time.Sleep(2 * messageDelay)
	return limit.LoanBatch{
		Lender: names("gateway", skewedGateways)[lender], ExpiresAt: requestedAt.Add(loanTTL),
		Loans: b.group.limiters[lender].Lend(service, hosts, count, loanTTL, false),
	}
}

// Return implements limit.Borrower.
func (b *memoryBorrower) Return(lender string, ids []uint64) {
	time.Sleep(messageDelay)
	b.group.limiters[slices.Index(names("gateway", skewedGateways), lender)].EndLoans(ids)
}
