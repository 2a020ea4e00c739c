// Package loadsim plays patterns of demand on the real decisions of pools and of
// the duty, in virtual time and without calls: hosts take their time to start,
// end, move and register, and what a day earned is counted from the stand-ins'
// own records. It ranks policies by the hundred days; the platform decides.
package loadsim

import (
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
)

// Policy decides which hosts change their pool.
type Policy interface {
	Plan(pools []hostmanager.PoolView, now time.Time) []hostmanager.Move
	// Expected tells by pool how likely its turn of demand is next.
	Expected() map[string]float64
}

// Cmd is the subcommand.
type Cmd struct {
	Patterns []string `help:"Patterns to play, all when none is named."`
	Policies []string `help:"Policies to play: product, fixed, fullest; all when none is named."`
	Seed     uint64   `help:"First seed." default:"1"`
	Days     int      `help:"Days of each pattern, with seeds counted up." default:"8"`
	Jobs     int      `help:"Days played at once." default:"4"`
}

// Result holds the figures by pattern and policy: means over the days.
type Result struct {
	Days     int                           `json:"days"`
	Patterns map[string]map[string]Summary `json:"patterns"`
}

// Summary is the means over the days of a pattern and, for Worth, the standard
// error.
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
				r.Patterns[p.Name][name] = summarize(c.play(p, name))
			}
		}
	}
	*result = r
	return nil
}

// play plays the days, some at a time.
func (c *Cmd) play(p Pattern, policy string) []Figures {
	days := make([]Figures, c.Days)
	slots := make(chan struct{}, max(1, c.Jobs))
	var playing sync.WaitGroup
	for i := range days {
		slots <- struct{}{}
		playing.Go(func() {
			days[i] = Simulate(p, newPolicy(policy), c.Seed+uint64(i))
			<-slots
		})
	}
	playing.Wait()
	return days
}
