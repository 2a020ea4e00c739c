// Package limits measures how gateways share the slots of endpoints: the balance of
// the shares and how much of them moves when a gateway joins, how long a join takes,
// and the effect of early rejection and fair queueing under overload.
package limits

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/share"
)

// Cmd is the subcommand that measures shares of slots.
type Cmd struct {
	Seconds float64 `help:"Length of each load run." default:"4"`
	Joins   int     `help:"Joins per number of gateways." default:"5"`
}

// Result is the result of the measurement.
type Result struct {
	Shares     []ShareBalance `json:"shares"`
	Joins      []Join         `json:"joins"`
	Overload   []Overload     `json:"overload"`
	Fairness   []Fairness     `json:"fairness"`
	SkewedLoad []SkewedLoad   `json:"uneven"`
}

// Run implements the command.
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
	r.SkewedLoad = measureSkewed(length)
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

// sizes are the numbers of gateways measured: those of current deployments, and that
// of the target deployment.
var sizes = []int{7, 8, 9, 50}

// ShareBalance is the balance of the split of one limit among a number of gateways,
// over trials sets of random names.
type ShareBalance struct {
	Gateways int `json:"gateways"`
	Limit    int `json:"limit"`
	// Min and Max are the minimum and maximum units of a gateway for one service.
	Min int `json:"least"`
	Max int `json:"most"`
	// MovedRatio is the number of units reassigned when a gateway joins, divided by
	// the number that the new gateway gets.
	MovedRatio float64 `json:"moved_ratio"`
}

func measureShares() []ShareBalance {
	var list []ShareBalance
	for _, size := range sizes {
		for _, limit := range []int{slotLimit, connectionLimit} {
			list = append(list, measureBalance(size, limit))
		}
	}
	return list
}

func measureBalance(size, limit int) ShareBalance {
	e := ShareBalance{Gateways: size, Limit: limit, Min: limit * hostsPerService}
	moved, joined := 0, 0
	for trial := range trials {
		members := names(fmt.Sprintf("gateway-%d", trial), size+1)
		for s := range services {
			service := fmt.Sprintf("service-%d", s)
			hosts := names(fmt.Sprintf("host-%d-%d", trial, s), hostsPerService)
			before := share.Split(service, limit, hosts, members[:size])
			after := share.Split(service, limit, hosts, members)
			totals := unitsByMember(before)
			e.Min, e.Max = min(e.Min, slices.Min(totals)), max(e.Max, slices.Max(totals))
			gained, own := gains(before, after)
			moved += gained
			joined += own
		}
	}
	e.MovedRatio = float64(moved) / float64(joined)
	return e
}

func unitsByMember(split [][]int) []int {
	totals := make([]int, len(split[0]))
	for _, units := range split {
		for i, count := range units {
			totals[i] += count
		}
	}
	return totals
}

// gains returns the number of units that all members gained, and that the last
// member gained.
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
