package catalog

import (
	"encoding/json"
	"fmt"
	"sort"

	"auburnglade.example/glade/internal/record"
)

// MisplacedError says that a record stands under another record's key.
type MisplacedError struct {
	Key    record.ID
	Record record.ID
}

func (e *MisplacedError) Error() string {
	return fmt.Sprintf("record %s stands under the key of %s", e.Record, e.Key)
}

// Services returns the services in force by name.
func (s *Snapshot) Services() map[string]*record.Service { return ofKind[*record.Service](s) }

// Pools returns the pools in force by name.
func (s *Snapshot) Pools() map[string]*record.Pool { return ofKind[*record.Pool](s) }

// Waves returns the maintenance waves in force by name.
func (s *Snapshot) Waves() map[string]*record.Wave { return ofKind[*record.Wave](s) }

// Jobs returns the job placements in force by name.
func (s *Snapshot) Jobs() map[string]*record.Job { return ofKind[*record.Job](s) }

// Quotas returns the quotas in force by name.
func (s *Snapshot) Quotas() map[string]*record.Quota { return ofKind[*record.Quota](s) }

// Budgets returns the availability budgets in force by name.
func (s *Snapshot) Budgets() map[string]*record.Budget { return ofKind[*record.Budget](s) }

// Policy returns the policy in force, or nil.
func (s *Snapshot) Policy() *record.Policy { return ofKind[*record.Policy](s)[record.PolicyName] }

func ofKind[T record.Spec](s *Snapshot) map[string]T {
	found := make(map[string]T)
	for id, item := range s.Items {
		if spec, ok := item.Spec.(T); ok {
			found[id.Name] = spec
		}
	}
	return found
}

// PoolsOf returns the names of the pools that run a service, sorted.
func (s *Snapshot) PoolsOf(service string) []string {
	var pools []string
	for name, pool := range s.Pools() {
		for _, carried := range pool.Services {
			if carried == service {
				pools = append(pools, name)
			}
		}
	}
	sort.Strings(pools)
	return pools
}

// HostsOf returns the names of a pool's hosts, sorted.
func (s *Snapshot) HostsOf(pool string) []string {
	var hosts []string
	for name, host := range s.Hosts {
		if host.Pool == pool {
			hosts = append(hosts, name)
		}
	}
	sort.Strings(hosts)
	return hosts
}

func encode(envelope record.Envelope) []byte {
	data, err := json.Marshal(envelope)
	if err != nil {
		// A decoded envelope always encodes.
		panic(err)
	}
	return data
}
