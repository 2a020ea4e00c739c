// Command glade-controller serves the operators' API and decides waves, moves and
// task placements.
package main

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"auburnglade.example/glade/internal/cli"
	"auburnglade.example/glade/internal/daemon"
)

// gcPercent makes the garbage collector run after a third of the default heap
// growth. A controller is idle most of the time, and a node has 64 MB for the whole
// control plane: at 1,000 hosts and 261 pools a gateway uses 35 MB, and a
// controller with the default setting 34 MB.
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
