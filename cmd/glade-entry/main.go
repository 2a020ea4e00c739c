// Command glade-entry runs one entry host on the platform: it accepts clients'
// jobs and manages the pools whose claims it holds.
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

// collectedPercent is the share of the machine's memory, in percent, from which garbage is
// collected as soon as there is some. The rest is for code and for what the kernel keeps.
const collectedPercent = 75

func main() {
	var f flags
	kong.Parse(&f, kong.Name("glade-entry"), kong.Description("Accepts clients' jobs and manages pools on an entry host."),
		kong.Vars{"version": "glade-entry " + buildinfo.Version})
	os.Exit(run(f))
}

func run(f flags) int {
	hostSettings := entryhost.DefaultSettings()
	if f.PrintDefaultConfig {
		fmt.Print(settings.Print(hostSettings))
		return 0
	}
	if f.Config != "" {
		if err := settings.Load(f.Config, hostSettings); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
	}
	platformSettings, err := platform.LoadSettings(os.Getenv(platform.SettingsPathVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if f.CheckConfig {
		return 0
	}
	debug.SetGCPercent(hostSettings.Runtime.GCPercent)
	if platformSettings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(platformSettings.MemoryMB) << 20 * collectedPercent / 100)
	}
	return serve(hostSettings, platformSettings)
}

func serve(hostSettings *entryhost.Settings, platformSettings *platform.Settings) int {
	// SIGHUP announces a change of the platform's settings file, which is polled
	// anyway; unless ignored, the signal would end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	registry := telemetry.NewRegistry()
	sink := telemetry.NewSink(os.Stdout, hostSettings.Log.LinesPerSecond, registry)
	defer sink.Close()
	level, err := zerolog.ParseLevel(hostSettings.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log := telemetry.NewLogger(sink, "glade-entry", platformSettings.Node, level)
	if err := platform.NewProcess(platformSettings, hostSettings, log, registry).Run(ctx); err != nil {
		log.Error().Err(err).Msg("Failed.")
		return exitFailed
	}
	return 0
}
