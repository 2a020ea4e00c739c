// Package endpoint determines the endpoints of each service, and which of them
// may take new work, from the records and the platform's host list.
package endpoint

import (
	"net"
	"sort"
	"strconv"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/record"
)

// Endpoint is one service's endpoint on one host.
type Endpoint struct {
	Service string
	Host    string
	Zone    string
	// Address is the endpoint's IP address and port.
	Address string
	// TakesWork is false if the host record or the host list shows that the host
	// is draining.
	TakesWork bool
}

// Service is a service with its endpoints.
type Service struct {
	Name      string
	Spec      *record.Service
	Endpoints []Endpoint
}

// Resolve returns the services by name, each with its endpoints sorted by host.
// Hosts that are missing from the host list or have no pool are skipped. The
// result depends only on the arguments.
func Resolve(snapshot *configstate.Snapshot, hosts []fleet.Host) map[string]Service {
	listed := make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = host
	}
	pools := snapshot.Pools()
	services := make(map[string]Service)
	for name, spec := range snapshot.Services() {
		services[name] = Service{Name: name, Spec: spec}
	}
	for name, item := range snapshot.Hosts {
		host, inHostList := listed[name]
		pool := pools[item.Pool]
		if !inHostList || pool == nil {
			continue
		}
		for _, serviceName := range pool.Services {
			service, exists := services[serviceName]
			if !exists {
				continue
			}
			service.Endpoints = append(service.Endpoints, Endpoint{
				Service:   serviceName,
				Host:      name,
				Zone:      host.Zone,
				Address:   net.JoinHostPort(host.Address, strconv.Itoa(service.Spec.Port)),
				TakesWork: item.Schedulable() && host.State == fleet.HostLive,
			})
			services[serviceName] = service
		}
	}
	for _, service := range services {
		sort.Slice(service.Endpoints, func(i, j int) bool {
			return service.Endpoints[i].Host < service.Endpoints[j].Host
		})
	}
	return services
}
