// Package cli implements the command line shared by the daemons.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/settings"
	"auburnglade.example/glade/internal/supervise"
)

// Exit codes of the daemons.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitSettings   = settings.ExitBadSettings
	ExitPartFailed = 3
)

// daemonFlags are the flags of every daemon.
type daemonFlags struct {
	Config             string           `help:"Settings file (INI)." placeholder:"FILE" type:"path"`
	CheckConfig        bool             `help:"Check the settings file and exit: 0 when it is good, 2 when not."`
	PrintDefaultConfig bool             `help:"Print the default settings and exit."`
	Version            kong.VersionFlag `help:"Print the version and exit."`
}

// Daemon is a daemon that RunDaemon runs.
type Daemon interface {
	Run(ctx context.Context) error
}

// RunDaemon implements the main function of a daemon: it reads flags and
// settings, builds the daemon, runs it until SIGINT or SIGTERM, and returns the
// exit code.
func RunDaemon[S any](name, description string, defaults func() *S, build func(context.Context, *S, io.Writer) (Daemon, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr, Program[S]{
		Name: name, Description: description, Defaults: defaults, Build: build,
	})
}

// Program describes a daemon's binary with settings of type S.
type Program[S any] struct {
	Name        string
	Description string
	Defaults    func() *S
	// Build returns the daemon, which logs to the writer. It starts nothing;
	// only Run does.
	Build func(context.Context, *S, io.Writer) (Daemon, error)
}

// Run runs a program with the given arguments until ctx ends and returns its
// exit code.
func Run[S any](ctx context.Context, args []string, out, errOut io.Writer, program Program[S]) int {
	var flags daemonFlags
	exited := false
	parser, err := kong.New(&flags, kong.Name(program.Name), kong.Description(program.Description),
		kong.Writers(out, errOut), kong.Exit(func(int) { exited = true }),
		kong.Vars{"version": program.Name + " " + buildinfo.Version})
	if err == nil {
		_, err = parser.Parse(args)
	}
	switch {
	case exited:
		// --help or --version has been printed.
		return ExitOK
	case err != nil:
		fmt.Fprintf(errOut, "%s: %v\n", program.Name, err)
		return ExitSettings
	}
	values := program.Defaults()
	if flags.PrintDefaultConfig {
		fmt.Fprint(out, settings.Print(values))
		return ExitOK
	}
	if flags.Config == "" {
		fmt.Fprintf(errOut, "%s: --config is required; --print-default-config prints a template\n", program.Name)
		return ExitSettings
	}
	if err := settings.Load(flags.Config, values); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	if flags.CheckConfig {
		return ExitOK
	}
	return buildAndRun(ctx, errOut, program, values)
}

func buildAndRun[S any](ctx context.Context, errOut io.Writer, program Program[S], values *S) int {
	daemon, err := program.Build(ctx, values, errOut)
	if err == nil {
		err = daemon.Run(ctx)
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "%s: %v\n", program.Name, err)
	var failed *supervise.PartFailedError
	if errors.As(err, &failed) {
		return ExitPartFailed
	}
	return ExitFailed
}
