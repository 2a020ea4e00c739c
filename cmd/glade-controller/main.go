// Command glade-controller serves operators and decides waves, moves and
// placements.
package main

import (
	"context"
	"io"
	"os"

	"auburnglade.example/glade/internal/cli"
	"auburnglade.example/glade/internal/daemon"
)

func main() {
	os.Exit(cli.RunDaemon("glade-controller", "Serves operators and decides waves, moves and placements.",
		daemon.DefaultControllerSettings,
		func(ctx context.Context, s *daemon.ControllerSettings, logs io.Writer) (cli.Daemon, error) {
			return daemon.NewController(ctx, s, logs)
		}))
}
