// Command glade-entry runs one entry host on the users' platform: it takes
// clients' jobs and keeps the pools that it holds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/entryhost"
	"auburnglade.example/glade/internal/settings"
	"auburnglade.example/glade/internal/telemetry"
	"auburnglade.example/glade/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type flags struct {
	Config             string           `help:"Settings of ours (INI); defaults without it." placeholder:"FILE"`
	CheckConfig        bool             `help:"Check both settings files and exit: 0 when they are good, 2 when not."`
	PrintDefaultConfig bool             `help:"Print our default settings and exit."`
	Version            kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("glade-entry"), kong.Description("Takes clients' jobs and keeps pools on an entry host."),
		kong.Vars{"version": "glade-entry " + buildinfo.Version})
	os.Exit(run(f))
}

func run(f flags) int {
	own := entryhost.DefaultSettings()
	if f.PrintDefaultConfig {
		fmt.Print(settings.Print(own))
		return 0
	}
	if f.Config != "" {
		if err := settings.Load(f.Config, own); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
	}
	theirs, err := platform.LoadSettings(os.Getenv(platform.SettingsPathVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if f.CheckConfig {
		return 0
	}
	debug.SetGCPercent(own.Runtime.GCPercent)
	return serve(own, theirs)
}

func serve(own *entryhost.Settings, theirs *platform.Settings) int {
	// A SIGHUP says that the settings file has changed, which is looked for
	// anyway; left alone it would end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	registry := telemetry.NewRegistry()
	sink := telemetry.NewSink(os.Stdout, own.Log.LinesPerSecond, registry)
	defer sink.Close()
	level, err := zerolog.ParseLevel(own.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := telemetry.NewLogger(sink, "glade-entry", theirs.Node, level)
	if err := platform.NewProcess(theirs, own, log, registry).Run(ctx); err != nil {
		log.Error().Err(err).Msg("Failed.")
		return exitFailed
	}
	return 0
}
