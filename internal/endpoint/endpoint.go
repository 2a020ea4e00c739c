// Package endpoint works out which endpoints each service has and which of
// them may take new work, from everything that may say so first: the records,
// the platform's host list and the endpoints themselves.
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
	// Address is IP number and port.
	Address string
	// TakesWork is false once a record or the host list says that the host is
	// leaving.
	TakesWork bool
}

// Service is a service with its endpoints.
type Service struct {
	Name      string
	Spec      *record.Service
	Endpoints []Endpoint
}

// Resolve is pure: the same inputs give the same table.
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
		host, isListed := listed[name]
		pool := pools[item.Pool]
		if !isListed || pool == nil {
			continue
		}
		for _, carried := range pool.Services {
			service, known := services[carried]
			if !known {
				continue
			}
			service.Endpoints = append(service.Endpoints, Endpoint{
				Service:   carried,
				Host:      name,
				Zone:      host.Zone,
				Address:   net.JoinHostPort(host.Address, strconv.Itoa(service.Spec.Port)),
				TakesWork: item.TakesWork() && host.State == fleet.HostLive,
			})
			services[carried] = service
		}
	}
	for _, service := range services {
		sort.Slice(service.Endpoints, func(i, j int) bool {
			return service.Endpoints[i].Host < service.Endpoints[j].Host
		})
	}
	return services
}
