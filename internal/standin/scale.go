package standin

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// SyntheticFleet is a generated fleet of any size for measurements. Each pool has
// one service and one budget.
type SyntheticFleet struct {
	Hosts, Pools, Members int
	// Wave adds a maintenance wave over all pools.
	Wave bool
}

// TargetFleet is the fleet size that the system is designed for. Its members are a
// gateway and a controller on each of nine entry hosts.
var TargetFleet = SyntheticFleet{Hosts: 1000, Pools: 261, Members: 18}

const (
	hostsPerRack = 4
	servicePort  = 8000
	// minAvailableTenths is how many tenths of a pool's hosts must stay available.
	minAvailableTenths = 7
)

// syntheticZones are the five availability zones of two regions.
var syntheticZones = []string{"a-1", "a-2", "a-3", "b-1", "b-2"}

// Listing returns the fleet's records as the store lists them.
func (s SyntheticFleet) Listing() store.Listing {
	var l store.Listing
	add := func(key string, value []byte) {
		l.Revision++
		l.Entries = append(l.Entries, store.Entry{Key: key, Value: value, ModRevision: l.Revision})
	}
	addRecord := func(envelope record.Envelope) { add(storekeys.Spec(envelope.ID()), mustJSON(envelope)) }
	var pools []string
	for i := range s.Pools {
		name := fmt.Sprintf("pool-%03d", i)
		pools = append(pools, name)
		addRecord(record.NewEnvelope(name, &record.Service{PathPrefix: "/" + name + "/", Port: servicePort + i}))
		addRecord(record.NewEnvelope(name, &record.Pool{Services: []string{name}, Size: s.hostsIn(i)}))
		addRecord(record.NewEnvelope(name, &record.Budget{Service: name, MinAvailable: s.hostsIn(i) * minAvailableTenths / 10}))
	}
	if s.Wave {
		addRecord(record.NewEnvelope("wave", &record.Wave{Pools: pools}))
	}
	for i := range s.Hosts {
		host := fmt.Sprintf("host-%04d", i)
		r := hostrecord.Record{Host: host, Pool: pools[i%len(pools)], Phase: hostrecord.Serving, WriteID: fmt.Sprintf("%036d", i)}
		add(storekeys.Host(host), r.Encode())
	}
	for i := range s.Members {
		id := fmt.Sprintf("member-%04d-12345678", i)
		add(storekeys.Member(id), fmt.Appendf(nil, `{"id":%q,"role":"gateway","zone":%q,"peerAddress":"10.0.0.%d:7200","maxSchema":2}`, id, syntheticZones[i%len(syntheticZones)], i%250))
	}
	return l
}

func (s SyntheticFleet) hostsIn(pool int) int {
	in := s.Hosts / s.Pools
	if pool < s.Hosts%s.Pools {
		in++
	}
	return in
}

// HostList returns the platform's host list of the fleet.
func (s SyntheticFleet) HostList() []fleet.Host {
	hosts := make([]fleet.Host, s.Hosts)
	for i := range hosts {
		zone := syntheticZones[i%len(syntheticZones)]
		hosts[i] = fleet.Host{
			Name:    fmt.Sprintf("host-%04d", i),
			Address: netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}).String(),
			Region:  zone[:1], Zone: zone,
			Rack:  fmt.Sprintf("%s-rack-%d", zone, i/len(syntheticZones)/hostsPerRack),
			State: fleet.HostLive,
		}
	}
	return hosts
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Unreachable: an envelope can always be encoded.
		panic(err)
	}
	return data
}
