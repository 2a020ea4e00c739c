// Command glade-gateway forwards callers' requests to endpoints.
package main

import (
	"context"
	"io"
	"os"

	"auburnglade.example/glade/internal/cli"
	"auburnglade.example/glade/internal/daemon"
)

func main() {
	os.Exit(cli.RunDaemon("glade-gateway", "Carries callers' requests to endpoints on pooled hosts.",
		daemon.DefaultGatewaySettings,
		func(ctx context.Context, s *daemon.GatewaySettings, logs io.Writer) (cli.Daemon, error) {
			return daemon.NewGateway(ctx, s, logs)
		}))
}
