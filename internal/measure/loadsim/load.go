// Package loadsim simulates load patterns in virtual time against the production
// code of the pool scheduler and the host manager, without network calls. Starts,
// stops, moves and registrations of hosts take realistic time. The result of a day
// is computed from the records of the simulated hosts and clients, not from those
// of the code under test. The simulation is fast enough to rank policies over
// hundreds of days; results on the platform take precedence.
package loadsim

import (
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

// Policy decides which hosts move to another pool.
type Policy interface {
	Plan(pools []hostmanager.PoolView, now time.Time) []hostmanager.Move
	// BurstLikelihoods returns, by pool, the likelihood that it has the next demand burst.
	BurstLikelihoods() map[string]float64
}

// Cmd is the subcommand that simulates load patterns.
type Cmd struct {
	Patterns []string `help:"Patterns to play, all when none is named."`
	Policies []string `help:"Policies to play: product, need, shares, fixed, fullest; all when none is named."`
	Seed     uint64   `help:"First seed." default:"1"`
	Days     int      `help:"Days of each pattern, with seeds counted up." default:"8"`
	Jobs     int      `help:"Days played at once." default:"4"`
	NoShares bool     `help:"Play without the weights of organisations."`
}

// Result holds the means over the days, by pattern and policy.
type Result struct {
	Days     int                           `json:"days"`
	Patterns map[string]map[string]Summary `json:"patterns"`
}

// Summary holds the means over the days of a pattern, and the standard error of
// Worth.
type Summary struct {
	Figures
	Error float64 `json:"worth_error"`
}

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Days: c.Days, Patterns: make(map[string]map[string]Summary)}
	for _, p := range Patterns() {
		if len(c.Patterns) > 0 && !slices.Contains(c.Patterns, p.Name) {
			continue
		}
		r.Patterns[p.Name] = make(map[string]Summary)
		for _, name := range PolicyNames {
			if len(c.Policies) == 0 || slices.Contains(c.Policies, name) {
				r.Patterns[p.Name][name] = summarize(c.simulateDays(p, name))
			}
		}
	}
	*result = r
	return nil
}

// simulateDays simulates the days, up to c.Jobs at a time.
func (c *Cmd) simulateDays(p Pattern, policy string) []Figures {
	days := make([]Figures, c.Days)
	p.NoShares = c.NoShares
	slots := make(chan struct{}, max(1, c.Jobs))
	var wait sync.WaitGroup
	for i := range days {
		slots <- struct{}{}
		wait.Go(func() {
			days[i] = Simulate(p, newPolicy(policy), c.Seed+uint64(i))
			<-slots
		})
	}
	wait.Wait()
	return days
}
