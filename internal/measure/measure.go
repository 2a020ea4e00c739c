// Package measure implements the command line of glade-measure. Each measurement
// is a subcommand in a package of its own and prints one JSON object.
package measure

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/measure/atmostonce"
	"auburnglade.example/glade/internal/measure/capacity"
	"auburnglade.example/glade/internal/measure/configspread"
	"auburnglade.example/glade/internal/measure/gatewaycost"
	"auburnglade.example/glade/internal/measure/limits"
	"auburnglade.example/glade/internal/measure/loadsim"
	"auburnglade.example/glade/internal/measure/placement"
	"auburnglade.example/glade/internal/measure/policy"
	"auburnglade.example/glade/internal/measure/storecalls"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// CLI is the command line of glade-measure.
type CLI struct {
	JSON    bool             `help:"Accepted for clarity: the output is one JSON object always."`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Config     configspread.Cmd `cmd:"" help:"How fast and at what cost a change is in force everywhere."`
	Policy     policy.Cmd       `cmd:"" help:"The wave, move and placement decisions against simple policies, in virtual time."`
	Store      storecalls.Cmd   `cmd:"" help:"Cost of one call at the platform seam, in memory and over HTTP."`
	Placement  placement.Cmd    `cmd:"" help:"Moves and placements: planner time and growth, moves against the fewest, urgent starts, jobs finished."`
	Capacity   capacity.Cmd     `cmd:"" help:"Slopes: what one more host, pool or member costs, and what the target needs."`
	Gateway    gatewaycost.Cmd  `cmd:"" help:"What a gateway adds to a request, against the direct path in the same run."`
	Load       loadsim.Cmd      `cmd:"" help:"Patterns of demand on the pools' and the duty's decisions, in virtual time: credit, hosts, moves."`
	Limits     limits.Cmd       `cmd:"" help:"Shares of slots: evenness, movement, joining, overload and fairness."`
	AtMostOnce atmostonce.Cmd   `cmd:"" name:"atmostonce" help:"Claims of idempotency keys: store calls and added time for each way that was weighed."`
}

// Main runs one measurement, writes its result to out as JSON, and returns the
// exit code: 1 if the measurement failed, 2 if the arguments are invalid.
func Main(args []string, out, errOut io.Writer) int {
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("glade-measure"), kong.Writers(out, errOut),
		kong.Description("Measures auburnglade; every subcommand prints one JSON object."),
		kong.Vars{"version": "glade-measure " + buildinfo.Version})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "glade-measure:", err)
		return exitUsage
	}
	var result any
	if err := command.Run(&result); err != nil {
		fmt.Fprintln(errOut, "glade-measure:", err)
		return exitFailed
	}
	if err := json.NewEncoder(out).Encode(result); err != nil {
		return exitFailed
	}
	return exitOK
}
