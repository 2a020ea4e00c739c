// Package cli holds what the daemons' command lines share.
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

// Daemon is what RunDaemon starts.
type Daemon interface {
	Run(ctx context.Context) error
}

// RunDaemon is the whole main of a daemon: it reads flags and settings, builds
// the daemon, runs it until SIGINT or SIGTERM, and returns the exit code.
func RunDaemon[S any](name, description string, defaults func() *S, build func(context.Context, *S, io.Writer) (Daemon, error)) int {
	var flags daemonFlags
	kong.Parse(&flags, kong.Name(name), kong.Description(description), kong.Vars{"version": name + " " + buildinfo.Version})
	values := defaults()
	if flags.PrintDefaultConfig {
		fmt.Print(settings.Print(values))
		return ExitOK
	}
	if flags.Config == "" {
		fmt.Fprintf(os.Stderr, "%s: --config is needed; --print-default-config shows what goes into it\n", name)
		return ExitSettings
	}
	if err := settings.Load(flags.Config, values); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if flags.CheckConfig {
		return ExitOK
	}
	return run(name, values, build)
}

func run[S any](name string, values *S, build func(context.Context, *S, io.Writer) (Daemon, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	daemon, err := build(ctx, values, os.Stderr)
	if err == nil {
		err = daemon.Run(ctx)
	}
	var failed *supervise.PartFailedError
	switch {
	case errors.As(err, &failed):
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, failed)
		return ExitPartFailed
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return ExitOK
}
