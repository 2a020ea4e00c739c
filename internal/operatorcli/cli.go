// Package operatorcli is the operators' command line, gladectl.
package operatorcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
)

// Exit codes of gladectl, documented in docs/operators/gladectl.md.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitNotFound    = 5
	ExitUnreachable = 6
	ExitTimeout     = 7
	// ExitDiffers is what diff returns when there is a difference.
	ExitDiffers = 8
	// ExitUnknown says that a change may or may not have been accepted.
	ExitUnknown = 9
)

// CLI is the whole command line.
type CLI struct {
	Server  string           `help:"Controller's operators' API." default:"http://127.0.0.1:7300" env:"GLADE_SERVER"`
	Output  string           `short:"o" help:"Output format." enum:"table,json" default:"table"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Apply   ApplyCmd   `cmd:"" help:"Put the records of files in force."`
	Get     GetCmd     `cmd:"" help:"Show one record."`
	List    ListCmd    `cmd:"" help:"List records."`
	Diff    DiffCmd    `cmd:"" help:"Show what applying files would change."`
	Delete  DeleteCmd  `cmd:"" help:"Delete a record."`
	Watch   WatchCmd   `cmd:"" help:"Show changes as they come."`
	Wait    WaitCmd    `cmd:"" help:"Wait for a wave to end or a revision to be in force everywhere."`
	Status  StatusCmd  `cmd:"" help:"Show the fleet, or one record's status."`
	Explain ExplainCmd `cmd:"" help:"Say why a host or a record is as it is."`
}

// Env is what a command runs in.
type Env struct {
	Context context.Context
	Client  *operatorapi.Client
	Out     io.Writer
	JSON    bool
}

// TimeoutError says that a wait ended without what it waited for.
type TimeoutError struct {
	For     string
	After   time.Duration
	Lagging []string
}

func (e *TimeoutError) Error() string {
	text := fmt.Sprintf("%s not reached after %s", e.For, e.After)
	if len(e.Lagging) > 0 {
		text += fmt.Sprintf("; still behind: %v", e.Lagging)
	}
	return text
}

// DiffersError says that files and records in force differ.
type DiffersError struct{ Count int }

func (e *DiffersError) Error() string { return fmt.Sprintf("%d records differ", e.Count) }

// FileError says which file, and which record in it, can't be read.
type FileError struct {
	File  string
	Index int
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: record %d: %v", e.File, e.Index, e.Cause)
}

func (e *FileError) Unwrap() error { return e.Cause }

// Main is the whole main of gladectl and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("gladectl"), kong.Writers(out, errOut),
		kong.Description("Drives auburnglade: records, waves, and why things are as they are."),
		kong.Vars{"version": "gladectl " + buildinfo.Version})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "gladectl:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	env := &Env{Context: ctx, Client: operatorapi.NewClient(cli.Server), Out: out, JSON: cli.Output == "json"}
	if err := command.Run(env); err != nil {
		report(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var answer *operatorapi.ErrorAnswer
	var unreachable *operatorapi.UnreachableError
	switch {
	case errors.As(err, &answer):
		return answerCode(answer.Code)
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case isA[*TimeoutError](err):
		return ExitTimeout
	case isA[*DiffersError](err):
		return ExitDiffers
	case isA[*FileError](err), isA[*record.InvalidError](err):
		return ExitInvalid
	}
	return ExitFailed
}

func answerCode(code operatorapi.Code) int {
	switch code {
	case operatorapi.CodeInvalid, operatorapi.CodeSchema, operatorapi.CodeBadRequest, operatorapi.CodeReferenced:
		return ExitInvalid
	case operatorapi.CodeConflict, operatorapi.CodePrecondition:
		return ExitConflict
	case operatorapi.CodeNotFound:
		return ExitNotFound
	case operatorapi.CodeStoreAway:
		return ExitUnreachable
	case operatorapi.CodeUnknownOutcome:
		return ExitUnknown
	}
	return ExitFailed
}

func report(out io.Writer, err error) {
	fmt.Fprintln(out, "gladectl:", err)
	var answer *operatorapi.ErrorAnswer
	if errors.As(err, &answer) && answer.Current != nil {
		fmt.Fprintf(out, "the other operator left revision %d:\n%s\n", answer.Current.Revision, indent(answer.Current.Stored))
	}
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
