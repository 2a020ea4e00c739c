package operatorcli

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

// printFleet prints the fleet summary. Problems come last, next to the prompt.
func (e *Env) printFleet(summary operatorapi.FleetSummary) error {
	if e.JSON {
		return e.json(summary)
	}
	fmt.Fprintf(e.Out, "configuration revision %d, %d members\n\n", summary.Revision, len(summary.Members))
	tables := []func(operatorapi.FleetSummary) error{e.printServices, e.printPools, e.printWaves, e.printMembers}
	for _, table := range tables {
		if err := table(summary); err != nil {
			return err
		}
		fmt.Fprintln(e.Out)
	}
	for _, id := range slices.Sorted(maps.Keys(summary.Rejected)) {
		fmt.Fprintf(e.Out, "REJECTED %s: %s\n", id, summary.Rejected[id].Reason)
	}
	violated := len(summary.Violations)
	for _, violation := range summary.Violations {
		fmt.Fprintf(e.Out, "INVARIANT VIOLATED %s: %s\n", violation.Rule, violation.Evidence)
	}
	for _, m := range summary.Members {
		if m.Violations > 0 {
			violated += m.Violations
			fmt.Fprintf(e.Out, "INVARIANTS VIOLATED on %s: %d, see its log\n", m.ID, m.Violations)
		}
	}
	for _, warning := range summary.Warnings {
		fmt.Fprintln(e.Out, "WARNING", warning)
	}
	if len(summary.Rejected)+violated+len(summary.Warnings) == 0 {
		fmt.Fprintln(e.Out, "no rejected records, no invariant violated by a member that could be asked")
	}
	return nil
}

func (e *Env) printServices(summary operatorapi.FleetSummary) error {
	var rows [][]string
	for _, a := range summary.Services {
		needed := "no budget"
		if a.HasBudget {
			needed = fmt.Sprint(a.MinAvailable)
		}
		rows = append(rows, []string{
			a.Service, strings.Join(a.Pools, ","), fmt.Sprintf("%d/%d", a.Available, a.Endpoints),
			needed, margin(a), fmt.Sprint(a.ActiveGrants), budgetState(a),
		})
	}
	return e.table("SERVICE\tPOOLS\tAVAILABLE\tNEEDED\tMARGIN\tGRANTED\tSTATE", rows)
}

func margin(a explain.Availability) string {
	if a.Margin == "" {
		return string(record.MarginNone)
	}
	return string(a.Margin)
}

func budgetState(a explain.Availability) string {
	switch {
	case !a.HasBudget:
		return "no budget: nothing may be taken out"
	case a.BelowBudget():
		return "BELOW BUDGET"
	}
	return fmt.Sprintf("%d above budget", a.Available-a.MinAvailable)
}

func (e *Env) printPools(summary operatorapi.FleetSummary) error {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(summary.Pools)) {
		has := 0
		for _, count := range summary.Pools[name] {
			has += count
		}
		rows = append(rows, []string{name, fmt.Sprintf("%d/%d", has, summary.DesiredSizes[name]), phaseCounts(summary.Pools[name])})
	}
	return e.table("POOL\tHOSTS\tPHASES", rows)
}

func (e *Env) printWaves(summary operatorapi.FleetSummary) error {
	if len(summary.Waves) == 0 {
		fmt.Fprintln(e.Out, "no waves")
		return nil
	}
	var rows [][]string
	for _, status := range summary.Waves {
		rows = append(rows, []string{status.Wave, wavePhase(status), strings.TrimPrefix(progressLine(status), string(status.Phase)+": ")})
	}
	return e.table("WAVE\tPHASE\tPROGRESS", rows)
}

func wavePhase(status wave.Status) string {
	if status.Phase == "" {
		return "not planned yet"
	}
	return string(status.Phase)
}

func (e *Env) printMembers(summary operatorapi.FleetSummary) error {
	var rows [][]string
	for _, m := range summary.Members {
		rows = append(rows, []string{m.ID, string(m.Role), m.Zone, servedText(summary, m), fmt.Sprint(m.MaxSchema)})
	}
	return e.table("MEMBER\tROLE\tZONE\tSERVES\tSCHEMA", rows)
}

func servedText(summary operatorapi.FleetSummary, m operatorapi.MemberSummary) string {
	switch {
	case m.ServedRevision == 0:
		return "can't be asked"
	case m.ServedRevision < summary.Revision:
		return fmt.Sprintf("%d, %d behind", m.ServedRevision, summary.Revision-m.ServedRevision)
	}
	return fmt.Sprint(m.ServedRevision)
}
