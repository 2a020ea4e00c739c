// Command glade-controller serves operators and decides waves, moves and
// placements.
package main

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"auburnglade.example/glade/internal/cli"
	"auburnglade.example/glade/internal/daemon"
)

// gcPercent makes the collector run at a third of the growth it would wait for
// by default. A controller is idle most of the time, and a node has 64 MB for
// all of control (the users' first letter): at 1,000 hosts and 261 pools a
// gateway takes 35 MB and a controller by default 34.
const gcPercent = 30

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(cli.RunDaemon("glade-controller", "Serves operators and decides waves, moves and placements.",
		daemon.DefaultControllerSettings,
		func(ctx context.Context, s *daemon.ControllerSettings, logs io.Writer) (cli.Daemon, error) {
			return daemon.NewController(ctx, s, logs)
		}))
}
