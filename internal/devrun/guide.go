package devrun

import (
	"context"
	"fmt"

	"auburnglade.example/glade/examples"
)

// StartWave applies the sample maintenance wave.
func (r *Deployment) StartWave(ctx context.Context) error {
	sample, err := examples.Wave(r.Options.Deployment)
	if err != nil {
		return &SetupError{Part: "wave", Cause: err}
	}
	return r.Apply(ctx, sample)
}

// RunCallers runs the callers until ctx is done.
func (r *Deployment) RunCallers(ctx context.Context) { r.Callers().Run(ctx, r.Options.Callers) }

// Guide returns instructions for using the deployment.
func (r *Deployment) Guide() string {
	return fmt.Sprintf(`auburnglade is up: the %[1]s sample, %[2]d gateways, %[3]d controllers, callers calling,
a maintenance wave over all hosts under way.

  %[4]s
  bin/gladectl status                                   the fleet at a glance
  bin/gladectl list Pool                                the records in force
  bin/gladectl explain MaintenanceWave december-kernel  what the wave does and waits for
  bin/gladectl wait --wave december-kernel              wait for its end
  bin/gladectl explain Host host-001                    why a host is where it is
  curl -i %[7]s%[5]s%[6]s?token=hello"  call an endpoint yourself

Interrupt with Ctrl-C: everything stops as planned.
`, r.Options.Deployment, r.Options.Gateways, r.Options.Controllers, r.keyStore.gladectlExports(r.OperatorAddress()), r.CallerAddress(), r.Callers().Idempotent[0], r.keyStore.curlPrefix())
}
