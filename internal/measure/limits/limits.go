// Package limits measures how the gateways share the endpoints' slots: how even
// the shares are and how many move, how soon a joining gateway has its own, and
// what early refusal and fair queues bring under overload.
package limits

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/share"
)

// Cmd is the subcommand.
type Cmd struct {
	Seconds float64 `help:"Length of each load run." default:"4"`
	Joins   int     `help:"Joins per number of gateways." default:"5"`
}

// Result is the measurement.
type Result struct {
	Shares     []ShareBalance `json:"shares"`
	Joins      []Join         `json:"joins"`
	Overload   []Overload     `json:"overload"`
	Fairness   []Fairness     `json:"fairness"`
	SkewedLoad []SkewedLoad   `json:"uneven"`
}

// Run measures everything in turn.
func (c *Cmd) Run(result *any) error {
	r := Result{Shares: measureShares()}
	joins, err := measureJoins(c.Joins)
	if err != nil {
		return err
	}
	r.Joins = joins
	length := secondsOf(c.Seconds)
	r.Overload = measureOverload(length)
	r.Fairness = measureFairness(length)
	r.SkewedLoad = measureUneven(length)
	*result = r
	return nil
}

const (
	services        = 5
	hostsPerService = 10
	slotLimit       = 8
	connectionLimit = 64
	trials          = 20
)

// sizes are the users' numbers of gateways today and one at the target's size.
var sizes = []int{7, 8, 9, 50}

// ShareBalance is how the split of one limit behaves at one number of gateways,
// over trials sets of names.
type ShareBalance struct {
	Gateways int `json:"gateways"`
	Limit    int `json:"limit"`
	// Min and Most are of one gateway's units over one service.
	Min int `json:"least"`
	Max int `json:"most"`
	// MovedRatio is the units that change hands when a gateway joins, by the
	// units that the joiner gets.
	MovedRatio float64 `json:"moved_ratio"`
}

func measureShares() []ShareBalance {
	var list []ShareBalance
	for _, size := range sizes {
		for _, limit := range []int{slotLimit, connectionLimit} {
			list = append(list, evenness(size, limit))
		}
	}
	return list
}

func evenness(size, limit int) ShareBalance {
	e := ShareBalance{Gateways: size, Limit: limit, Min: limit * hostsPerService}
	moved, joined := 0, 0
	for trial := range trials {
		members := names(fmt.Sprintf("gateway-%d", trial), size+1)
		for s := range services {
			service := fmt.Sprintf("service-%d", s)
			hosts := names(fmt.Sprintf("host-%d-%d", trial, s), hostsPerService)
			before := share.Split(service, limit, hosts, members[:size])
			after := share.Split(service, limit, hosts, members)
			totals := totalsOf(before)
			e.Min, e.Max = min(e.Min, slices.Min(totals)), max(e.Max, slices.Max(totals))
			gained, own := gains(before, after)
			moved += gained
			joined += own
		}
	}
	e.MovedRatio = float64(moved) / float64(joined)
	return e
}

func totalsOf(dealt [][]int) []int {
	totals := make([]int, len(dealt[0]))
	for _, units := range dealt {
		for i, count := range units {
			totals[i] += count
		}
	}
	return totals
}

// gains returns the units that anyone gained, and those that the last member
// did.
func gains(before, after [][]int) (all, last int) {
	for h := range after {
		for i, count := range after[h] {
			had := 0
			if i < len(before[h]) {
				had = before[h][i]
			} else {
				last += count
			}
			all += max(0, count-had)
		}
	}
	return all, last
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%03d", prefix, i+1)
	}
	return list
}
