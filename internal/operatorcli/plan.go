package operatorcli

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnglade.example/glade/internal/forecast"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
)

// PlanCmd predicts the result of applying files.
type PlanCmd struct {
	Files []string `arg:"" help:"Files of JSON records; - is standard input."`
}

// PlanRefusedError reports that some of the planned records would be rejected.
type PlanRefusedError struct{ Count int }

func (e *PlanRefusedError) Error() string { return fmt.Sprintf("%d records would be refused", e.Count) }

// Run implements the command. It writes nothing.
func (c *PlanCmd) Run(env *Env) error {
	envelopes, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	response, err := env.Client.Plan(env.Context, envelopes)
	if err != nil {
		return err
	}
	if env.JSON {
		err = env.json(response)
	} else {
		err = env.printPlan(envelopes, response)
	}
	if err != nil {
		return err
	}
	refused := 0
	for _, planned := range response.Records {
		if planned.RefusalReason != "" {
			refused++
		}
	}
	if refused > 0 {
		return &PlanRefusedError{Count: refused}
	}
	return nil
}

func (e *Env) printPlan(envelopes []record.Envelope, response operatorapi.PlanResponse) error {
	for i, planned := range response.Records {
		if err := e.printPlanned(envelopes[i], planned); err != nil {
			return err
		}
	}
	for _, w := range response.Waves {
		e.printForecast(w)
	}
	e.printMoves(response.Moves)
	for _, warning := range response.Warnings {
		fmt.Fprintln(e.Out, "WARNING", warning)
	}
	return nil
}

func (e *Env) printPlanned(envelope record.Envelope, planned operatorapi.PlannedRecord) error {
	if planned.RefusalReason != "" {
		fmt.Fprintf(e.Out, "%s would be REFUSED: %s\n", planned.Record, planned.RefusalReason)
		return nil
	}
	if planned.Revision == 0 {
		fmt.Fprintf(e.Out, "%s would be created\n", planned.Record)
		return nil
	}
	current, err := e.Client.Get(e.Context, planned.Record)
	if err != nil {
		return err
	}
	if sameRecord(current.Stored, envelope) {
		fmt.Fprintf(e.Out, "%s would stay as it is\n", planned.Record)
		return nil
	}
	fmt.Fprintf(e.Out, "%s would change:\n", planned.Record)
	// A stored version that can't be parsed is shown as absent.
	before, _ := record.ParseEnvelope(current.Stored)
	for _, line := range diffLines(before, envelope) {
		fmt.Fprintln(e.Out, "  "+line)
	}
	return nil
}

func (e *Env) printForecast(w forecast.Wave) {
	fmt.Fprintf(e.Out, "wave %s: %d of %d hosts, then %s\n", w.Wave, w.Maintained, w.Hosts, w.Phase)
	fmt.Fprintf(e.Out, "  roll-out time  %s, at %d s a host (%s)\n", time.Duration(w.Seconds)*time.Second, w.SecondsPerHost, w.EstimateSource)
	fmt.Fprintf(e.Out, "  buffer cost    %.1f host-hours out, %.1f endpoint-hours kept for the failure margin\n", w.HostHoursOut, w.HostHoursReserved)
	fmt.Fprintf(e.Out, "  most out       %d hosts at once\n", w.MaxOut)
	for _, host := range slices.Sorted(maps.Keys(w.Waiting)) {
		fmt.Fprintf(e.Out, "  not reached    %s: %s\n", host, w.Waiting[host])
	}
}

func (e *Env) printMoves(moves forecast.Moves) {
	fmt.Fprintf(e.Out, "moves: %d hosts change pools, %d join one\n", len(moves.Moves), len(moves.Assign))
	for _, move := range moves.Moves {
		fmt.Fprintf(e.Out, "  %s: %s to %s, %s\n", move.Host, move.From, move.To, move.Reason)
	}
	for _, assignment := range moves.Assign {
		fmt.Fprintf(e.Out, "  %s joins %s, %s\n", assignment.Host, assignment.Pool, assignment.Reason)
	}
	for _, pool := range slices.Sorted(maps.Keys(moves.Waiting)) {
		fmt.Fprintf(e.Out, "  pool %s: %s\n", pool, moves.Waiting[pool])
	}
}
