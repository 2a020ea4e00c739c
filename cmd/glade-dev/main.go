// Command glade-dev runs a complete small deployment in one process on loopback
// addresses, for a first look at the system. With --once it runs the end-to-end
// scenario that CI checks.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"auburnglade.example/glade/internal/buildinfo"
	"auburnglade.example/glade/internal/devrun"
)

type flags struct {
	Deployment  string           `help:"Sample deployment." enum:"klarlund,lindqvist" default:"klarlund"`
	Once        bool             `help:"Tell the story, check it, print one JSON object and exit 0 or 1."`
	Gateways    int              `help:"Gateways to run." default:"3"`
	Controllers int              `help:"Controllers to run." default:"2"`
	Callers     int              `help:"Callers that call at once." default:"24"`
	Instance    int              `help:"Picks the loopback addresses, 0 to 49, so that several run side by side." default:"0"`
	TLS         bool             `help:"Speak TLS with operators, among members and on admin interfaces, with a CA of this run's own."`
	LogLevel    string           `help:"Least severe level that is logged." enum:"debug,info,warn,error" default:"warn"`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("glade-dev"), kong.Vars{"version": "glade-dev " + buildinfo.Version},
		kong.Description("Runs a whole small deployment in one process on loopback."))
	os.Exit(run(f))
}

func run(f flags) int {
	if f.Instance < 0 || f.Instance > devrun.MaxInstance {
		fmt.Fprintf(os.Stderr, "glade-dev: --instance: got %d, want 0 to %d\n", f.Instance, devrun.MaxInstance)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	deployment, err := devrun.Start(ctx, devrun.Options{
		Deployment: f.Deployment, Gateways: f.Gateways, Controllers: f.Controllers,
		Callers: f.Callers, Instance: f.Instance, TLS: f.TLS, LogLevel: f.LogLevel, Logs: os.Stderr,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "glade-dev:", err)
		return 1
	}
	if f.Once {
		return runOnce(ctx, deployment)
	}
	return runUntilInterrupted(ctx, deployment)
}

func runOnce(ctx context.Context, deployment *devrun.Deployment) int {
	report, err := devrun.RunScenario(ctx, deployment)
	if err != nil {
		report.Failures = append(report.Failures, err.Error())
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		fmt.Fprintln(os.Stderr, "glade-dev:", err)
		return 1
	}
	if len(report.Failures) > 0 {
		return 1
	}
	return 0
}

func runUntilInterrupted(ctx context.Context, deployment *devrun.Deployment) int {
	go deployment.RunCallers(ctx)
	if err := deployment.StartWave(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "glade-dev:", err)
		return 1
	}
	fmt.Print(deployment.Guide())
	<-ctx.Done()
	if err := deployment.Stop(); err != nil {
		fmt.Fprintln(os.Stderr, "glade-dev:", err)
		return 1
	}
	return 0
}
