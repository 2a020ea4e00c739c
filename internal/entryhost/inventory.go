package entryhost

import (
	"context"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/worker"
)

// inventory returns the platform's list of hosts, nil if it has none.
func (h *Host) inventory() worker.Inventory {
	if h.HostManager.Fleet == nil {
		return nil
	}
	return fleetInventory{h.HostManager.Fleet}
}

// fleetInventory is the list of hosts of the service that moves and maintains them.
type fleetInventory struct{ fleet hostmanager.Fleet }

// Census implements worker.Inventory.
func (f fleetInventory) Census(ctx context.Context) (worker.Census, error) {
	hosts, err := f.fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	census := make(worker.Census, len(hosts))
	for _, host := range hosts {
		switch {
		case host.Worker == "":
		case host.Up:
			census[host.Worker] = worker.Up
		case census[host.Worker] != worker.Up:
			census[host.Worker] = worker.Down
		}
	}
	return census, nil
}
