package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/platformhttp"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store/memstore"
)

// FleetSpec describes the fleet of a simulated platform.
type FleetSpec struct {
	Region string
	Zones  []string
	Hosts  int
	// PerRack is the number of hosts in a rack.
	PerRack  int
	Capacity record.Resources
	// AddressBlock is the second octet of the hosts' loopback addresses.
	AddressBlock int
}

// FleetSpecs holds the fleets of the sample deployments by name.
var FleetSpecs = map[string]FleetSpec{
	"klarlund": {
		Region: "uppsala", Zones: []string{"uppsala-1", "uppsala-2", "uppsala-3"}, Hosts: 50, PerRack: 4,
		Capacity: record.Resources{MilliCPU: 64_000, MemoryMB: 256 << 10},
	},
	"lindqvist": {
		Region: "uusimaa", Zones: []string{"uusimaa-1", "uusimaa-2", "uusimaa-3"}, Hosts: 50, PerRack: 4,
		Capacity: record.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10},
	},
}

// HostList returns the hosts, assigned to the zones round-robin, each with its own
// loopback address.
func (s FleetSpec) HostList() []fleet.Host {
	hosts := make([]fleet.Host, s.Hosts)
	for i := range hosts {
		zone := s.Zones[i%len(s.Zones)]
		inZone := i / len(s.Zones)
		hosts[i] = fleet.Host{
			Name:     fmt.Sprintf("host-%03d", i+1),
			Address:  netip.AddrFrom4([4]byte{127, byte(s.AddressBlock), byte(i / 250), byte(i%250 + 1)}).String(),
			Region:   s.Region,
			Zone:     zone,
			Rack:     fmt.Sprintf("%s-rack-%d", zone, inZone/s.PerRack+1),
			Capacity: s.Capacity,
		}
	}
	return hosts
}

// Platform is a simulated platform: store, hosts, endpoints and workers.
type Platform struct {
	Store     *memstore.Store
	Fleet     *fakefleet.Fleet
	Endpoints *Endpoints
	Workers   *fakeworkers.Workers
	server    *http.Server
}

// Options configure the behaviour of a simulated platform.
type Options struct {
	ListLag    time.Duration
	RebootTime time.Duration
	WorkTime   time.Duration
	// ReportLag, CheckpointTime and TaskTime configure the workers.
	ReportLag      time.Duration
	CheckpointTime time.Duration
	TaskTime       time.Duration
}

// The resources that every task uses, whatever is allocated to it.
const (
	usedMilliCPU = 1000
	usedMemoryMB = 2048
)

func (o Options) workers() fakeworkers.Options {
	return fakeworkers.Options{
		ReportLag: o.ReportLag, CheckpointTime: o.CheckpointTime,
		Behave: func(fleet.Task) fakeworkers.Behaviour {
			used := record.Resources{MilliCPU: usedMilliCPU, MemoryMB: usedMemoryMB}
			return fakeworkers.Behaviour{Used: used, Work: o.TaskTime}
		},
	}
}

// NewPlatform returns a platform with the hosts of spec. Each host serves all
// services, given as ports by name.
func NewPlatform(spec FleetSpec, services map[string]int, options Options) *Platform {
	hosts := spec.HostList()
	p := &Platform{
		Store:     memstore.New(),
		Endpoints: NewEndpoints(hosts, services, options.WorkTime),
	}
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = host.Name
	}
	p.Workers = fakeworkers.New(names, options.workers())
	p.Fleet = fakefleet.New(hosts, fakefleet.Options{
		ListLag: options.ListLag, RebootTime: options.RebootTime,
		OnDown: p.down, OnUp: p.up, InFlight: p.inFlight,
	})
	return p
}

func (p *Platform) down(host string) {
	p.Endpoints.Down(host)
	p.Workers.Down(host)
}

func (p *Platform) up(host string) {
	p.Endpoints.Up(host)
	p.Workers.Up(host)
}

func (p *Platform) inFlight(host string) int {
	return p.Endpoints.InFlight(host) + p.Workers.InFlight(host)
}

// Start opens the endpoints and serves the platform's API at address, an IP
// address with a port.
func (p *Platform) Start(address string) error {
	if err := p.Endpoints.Start(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.server = &http.Server{
		Handler: platformhttp.NewHandler(platformhttp.Backend{
			Store: p.Store, Hosts: p.Fleet, Workers: p.Workers,
			HostControl: &drainObserver{Fleet: p.Fleet, endpoints: p.Endpoints},
		}),
		ReadHeaderTimeout: time.Second,
	}
	go func() {
		// Returns when the server is closed.
		_ = p.server.Serve(listener)
	}()
	return nil
}

// Stop closes the platform's API and the endpoints.
func (p *Platform) Stop() {
	_ = p.server.Close()
	p.Endpoints.Stop()
}

// drainObserver notifies the endpoints when their host starts or stops draining.
type drainObserver struct {
	*fakefleet.Fleet
	endpoints *Endpoints
}

// Drain implements fleet.HostControl.
func (d *drainObserver) Drain(ctx context.Context, host, operation string) error {
	d.endpoints.Drained(host, true)
	return d.Fleet.Drain(ctx, host, operation)
}

// Undrain implements fleet.HostControl.
func (d *drainObserver) Undrain(ctx context.Context, host, operation string) error {
	d.endpoints.Drained(host, false)
	return d.Fleet.Undrain(ctx, host, operation)
}
