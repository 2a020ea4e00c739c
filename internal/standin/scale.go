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

// SyntheticFleet is a synthetic fleet of any size, for measurements: a service, a pool
// and a budget per pool.
type SyntheticFleet struct {
	Hosts, Pools, Members int
	// Wave adds a maintenance wave over all pools.
	Wave bool
}

// TargetFleet is the users' target in two years (the first letter); the members are
// a gateway and a controller on each of nine entry hosts.
var TargetFleet = SyntheticFleet{Hosts: 1000, Pools: 261, Members: 18}

const (
	hostsPerRack = 4
	servicePort  = 8000
	// availableTenths of a pool's hosts must stay available.
	availableTenths = 7
)

// scaleZones are the target's two regions with five availability zones.
var scaleZones = []string{"a-1", "a-2", "a-3", "b-1", "b-2"}

// Listing returns the fleet's shared keys as the store would list them.
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
		addRecord(record.NewEnvelope(name, &record.Budget{Service: name, MinAvailable: s.hostsIn(i) * availableTenths / 10}))
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
		add(storekeys.Member(id), fmt.Appendf(nil, `{"id":%q,"role":"gateway","zone":%q,"peerAddress":"10.0.0.%d:7200","maxSchema":2}`, id, scaleZones[i%len(scaleZones)], i%250))
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
		zone := scaleZones[i%len(scaleZones)]
		hosts[i] = fleet.Host{
			Name:    fmt.Sprintf("host-%04d", i),
			Address: netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}).String(),
			Region:  zone[:1], Zone: zone,
			Rack:  fmt.Sprintf("%s-rack-%d", zone, i/len(scaleZones)/hostsPerRack),
			State: fleet.HostLive,
		}
	}
	return hosts
}

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// An envelope always encodes.
		panic(err)
	}
	return data
}
