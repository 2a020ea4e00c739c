package configstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"

	"auburnglade.example/glade/internal/record"
)

// KeyMismatchError reports that a record is stored under another record's key.
type KeyMismatchError struct {
	Key    record.ID
	Record record.ID
}

func (e *KeyMismatchError) Error() string {
	return fmt.Sprintf("record %s stands under the key of %s", e.Record, e.Key)
}

// index holds the records of one snapshot by kind. It is built on first use,
// because the snapshot is immutable once it is shared, and querying the pools
// of every host must not build a map each time.
type index struct {
	once     sync.Once
	services map[string]*record.Service
	pools    map[string]*record.Pool
	waves    map[string]*record.Wave
	jobs     map[string]*record.Job
	quotas   map[string]*record.Quota
	budgets  map[string]*record.Budget
	policies map[string]*record.Policy
	poolsOf  map[string][]string
	hostsOf  map[string][]string
}

func (s *Snapshot) indexed() *index {
	s.index.once.Do(func() { s.index.build(s) })
	return &s.index
}

func (x *index) build(s *Snapshot) {
	x.services = ofKind[*record.Service](s)
	x.pools = ofKind[*record.Pool](s)
	x.waves = ofKind[*record.Wave](s)
	x.jobs = ofKind[*record.Job](s)
	x.quotas = ofKind[*record.Quota](s)
	x.budgets = ofKind[*record.Budget](s)
	x.policies = ofKind[*record.Policy](s)
	x.poolsOf = make(map[string][]string)
	for name, pool := range x.pools {
		for _, service := range pool.Services {
			x.poolsOf[service] = append(x.poolsOf[service], name)
		}
	}
	sortEach(x.poolsOf)
	x.hostsOf = make(map[string][]string)
	for name, host := range s.Hosts {
		x.hostsOf[host.Pool] = append(x.hostsOf[host.Pool], name)
	}
	sortEach(x.hostsOf)
}

func sortEach(lists map[string][]string) {
	for _, list := range lists {
		sort.Strings(list)
	}
}

// Services returns the active services by name. Like all maps and lists of a
// snapshot it is shared and must not be modified.
func (s *Snapshot) Services() map[string]*record.Service { return s.indexed().services }

// Pools returns the active pools by name.
func (s *Snapshot) Pools() map[string]*record.Pool { return s.indexed().pools }

// Waves returns the active maintenance waves by name.
func (s *Snapshot) Waves() map[string]*record.Wave { return s.indexed().waves }

// Jobs returns the active job placements by name.
func (s *Snapshot) Jobs() map[string]*record.Job { return s.indexed().jobs }

// Quotas returns the active quotas by name.
func (s *Snapshot) Quotas() map[string]*record.Quota { return s.indexed().quotas }

// Budgets returns the active availability budgets by name.
func (s *Snapshot) Budgets() map[string]*record.Budget { return s.indexed().budgets }

// Policy returns the active policy, or nil.
func (s *Snapshot) Policy() *record.Policy { return s.indexed().policies[record.PolicyName] }

func ofKind[T record.Spec](s *Snapshot) map[string]T {
	found := make(map[string]T)
	for id, entry := range s.Records {
		if spec, ok := entry.Spec.(T); ok {
			found[id.Name] = spec
		}
	}
	return found
}

// PoolsOf returns the sorted names of the pools that run a service.
func (s *Snapshot) PoolsOf(service string) []string {
	return slices.Clone(s.indexed().poolsOf[service])
}

// HostsOf returns the sorted names of a pool's hosts.
func (s *Snapshot) HostsOf(pool string) []string {
	return slices.Clone(s.indexed().hostsOf[pool])
}

func encode(envelope record.Envelope) []byte {
	data, err := json.Marshal(envelope)
	if err != nil {
		// A decoded envelope can always be encoded.
		panic(err)
	}
	return data
}
