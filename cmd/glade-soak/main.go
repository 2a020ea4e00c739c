// Command glade-soak runs the simulated platform and callers for a soak test, in
// which separate daemon processes run under faults. scripts/soak starts it and the
// daemons.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/devrun"
	"auburnglade.example/glade/internal/settings"
	"auburnglade.example/glade/internal/soak"
	"auburnglade.example/glade/internal/standin"
)

type cli struct {
	Deployment  string           `help:"Sample deployment." enum:"klarlund,lindqvist" default:"klarlund"`
	Instance    int              `help:"Picks the loopback addresses, 0 to 49." default:"0"`
	Gateways    int              `help:"Gateways." default:"3"`
	Controllers int              `help:"Controllers." default:"2"`
	Callers     int              `help:"Callers that call at once." default:"16"`
	Seed        uint64           `help:"Seed of the schedule." default:"1"`
	Length      time.Duration    `help:"Length of the run." default:"60s"`
	Version     kong.VersionFlag `help:"Print the version and exit."`

	Settings settingsCmd `cmd:"" help:"Write a settings file for each daemon."`
	Plan     planCmd     `cmd:"" help:"Print the schedule, a fault a line: milliseconds, verb, target, milliseconds."`
	Idle     idleCmd     `cmd:"" help:"Run a platform of any scale and count what idle daemons ask of it."`
	Platform platformCmd `cmd:"" help:"Run the platform, the endpoints and the callers, and judge."`
}

func (c *cli) options() soak.Options {
	return soak.Options{
		Deployment: c.Deployment, Instance: c.Instance, Gateways: c.Gateways, Controllers: c.Controllers,
		Callers: c.Callers, Seed: c.Seed, Length: c.Length,
	}
}

func main() {
	var c cli
	command := kong.Parse(&c, kong.Name("glade-soak"), kong.Vars{"version": "glade-soak " + buildinfo.Version},
		kong.Description("The stand-in side of a run of separate processes under faults; see scripts/soak."))
	if err := command.Run(c.options()); err != nil {
		fmt.Fprintln(os.Stderr, "glade-soak:", err)
		os.Exit(1)
	}
}

type settingsCmd struct {
	Dir string `arg:"" help:"Folder to write to." type:"existingdir"`
}

// Run implements the command.
func (s *settingsCmd) Run(options soak.Options) error {
	run, err := devrun.New(devrun.Options{
		Deployment: options.Deployment, Instance: options.Instance, Gateways: options.Gateways,
		Controllers: options.Controllers, LogLevel: "info",
	})
	if err != nil {
		return err
	}
	for i := range options.Gateways {
		values := run.GatewaySettings(i)
		if err := s.write(values.Process.ID, settings.Print(values)); err != nil {
			return err
		}
	}
	for i := range options.Controllers {
		values := run.ControllerSettings(i)
		if err := s.write(values.Process.ID, settings.Print(values)); err != nil {
			return err
		}
	}
	return nil
}

func (s *settingsCmd) write(name, text string) error {
	return os.WriteFile(filepath.Join(s.Dir, name+".ini"), []byte(text), 0o600)
}

type planCmd struct{}

// Run implements the command.
func (*planCmd) Run(options soak.Options) error {
	for _, fault := range options.Plan() {
		fmt.Println(fault.Line())
	}
	return nil
}

type idleCmd struct {
	Hosts       int           `help:"Hosts of the fleet." default:"1000"`
	Pools       int           `help:"Pools of the fleet." default:"261"`
	ChangeEvery time.Duration `help:"Pause between two configuration changes; 0 makes none." default:"36s"`
}

// Run implements the command.
func (i *idleCmd) Run(options soak.Options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := soak.Idle(ctx, soak.IdleOptions{
		Options: options, Fleet: standin.SyntheticFleet{Hosts: i.Hosts, Pools: i.Pools}, ChangeInterval: i.ChangeEvery,
	}, os.Stdout)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

type platformCmd struct{}

// FailedChecksError reports the checks that failed in a run.
type FailedChecksError struct{ Failures []string }

func (e *FailedChecksError) Error() string { return fmt.Sprintf("checks failed: %q", e.Failures) }

// Run implements the command.
func (*platformCmd) Run(options soak.Options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := soak.Run(ctx, options, os.Stdout)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}
	if len(report.Failures) > 0 {
		return &FailedChecksError{Failures: report.Failures}
	}
	return nil
}
