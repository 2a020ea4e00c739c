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

// SkewedLoad is the cost of slots that one gateway doesn't use and another could:
// nine gateways share ten endpoints, the load is a part of what all slots
// carry, and one gateway gets a larger part of it than the others.
type SkewedLoad struct {
	// Lending says whether gateways lend each other slots.
	Lending bool    `json:"lending"`
	Load    float64 `json:"load"`
	// Skew is the busiest gateway's load by an even one.
	Skew float64 `json:"skew"`
	// Lost is the share of all requests that were not good.
	Lost float64 `json:"lost"`
	// P99Ms is of the good ones.
	P99Ms float64 `json:"p99_ms"`
	// BorrowRequests is how often a gateway asked another per second, in all.
	BorrowRequests float64 `json:"askings_per_second"`
}

const unevenGateways = 9

func measureUneven(length time.Duration) []SkewedLoad {
	var list []SkewedLoad
	for _, lending := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.8} {
			for _, skew := range []float64{1, 1.5, 3} {
				list = append(list, uneven(lending, load, skew, length))
			}
		}
	}
	return list
}

func uneven(lending bool, load, skew float64, length time.Duration) SkewedLoad {
	o := newOffice(lending)
	random := rand.New(rand.NewPCG(seed, seed))
	rate := load * capacity * hostsPerService
	picks := make([]int, int(rate*length.Seconds())+1)
	for i := range picks {
		picks[i] = pick(random, skew)
	}
	t := newTally()
	offer(t, length, rate, func(i int) string { return fmt.Sprint(i % 40) },
		func(i int) admit { return o.admit(picks[i%len(picks)]) })
	slices.Sort(t.latencies)
	return SkewedLoad{
		Lending: lending, Load: load, Skew: skew, Lost: 1 - float64(t.total())/float64(t.sent),
		P99Ms: percentile(t.latencies, 0.99), BorrowRequests: float64(o.asked()) / length.Seconds(),
	}
}

// pick picks a gateway at random; the first one skew times as often as if all
// were even.
func pick(random *rand.Rand, skew float64) int {
	if random.Float64() < skew/unevenGateways {
		return 0
	}
	return 1 + random.IntN(unevenGateways-1)
}

// office is some gateways' limiters that may lend each other slots.
type office struct {
	hosts    []string
	limiters []*limit.Limiter
	brokers  []*deskBroker
}

func newOffice(lending bool) *office {
	members := names("gateway", unevenGateways)
	o := &office{hosts: names("host", hostsPerService)}
	dealt := share.Split("match", slotLimit, o.hosts, members)
	for i := range members {
		own := make(hostShares, len(o.hosts))
		for h, host := range o.hosts {
			own[host] = dealt[h][i]
		}
		broker := &deskBroker{office: o, self: i}
		config := limit.Config{Shares: own}
		if lending {
			config.Borrower = broker
		}
		o.brokers = append(o.brokers, broker)
		o.limiters = append(o.limiters, limit.New(config))
	}
	terms := &limit.BorrowPolicy{Lenders: make(map[string]bool)}
	for _, m := range members {
		terms.Lenders[m] = true
	}
	for _, l := range o.limiters {
		l.SetTerms(terms)
	}
	return o
}

func (o *office) asked() int64 {
	total := int64(0)
	for _, b := range o.brokers {
		total += b.asked
	}
	return total
}

// admit lets one gateway take the endpoints in a random order.
func (o *office) admit(gateway int) admit {
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
	return share.Allocation{Slots: h[host], Connections: connectionLimit / unevenGateways}
}

// deskBroker borrows in memory, with the delay of messages between zones.
type deskBroker struct {
	office *office
	self   int
	// asked is written by one asking at a time.
	asked int64
}

const loanHold = 32 * time.Second

// Borrow implements limit.Broker.
func (b *deskBroker) Borrow(_ context.Context, service string, hosts []string, count int) limit.LoanBatch {
	b.asked++
	lender := (b.self + 1 + rand.IntN(unevenGateways-1)) % unevenGateways
	asked := time.Now()
	time.Sleep(2 * messageDelay)
	return limit.LoanBatch{
		Lender: names("gateway", unevenGateways)[lender], ExpiresAt: asked.Add(loanHold),
		Loans: b.office.limiters[lender].Lend(service, hosts, count, loanHold, false),
	}
}

// Return implements limit.Broker.
func (b *deskBroker) Return(lender string, ids []uint64) {
	time.Sleep(messageDelay)
	b.office.limiters[slices.Index(names("gateway", unevenGateways), lender)].EndLoans(ids)
}
