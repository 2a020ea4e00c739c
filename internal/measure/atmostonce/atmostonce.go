// Package atmostonce measures the cost of a claim of an idempotency key: store calls
// and bytes, counted by the in-memory store, and the latency added to a request, for
// several designs of the claim store.
package atmostonce

import (
	"net/http"
	"time"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/store"
)

// Cmd is the subcommand that measures claims of idempotency keys.
type Cmd struct {
	Rates        []int         `help:"Keyed requests a second, over all gateways." default:"20,100,400"`
	Duration     time.Duration `help:"Length of each run." default:"2s"`
	Gateways     int           `help:"Gateways in this process, that ask each other over loopback TCP." default:"7"`
	StoreLatency time.Duration `help:"Time that the store takes for each call." default:"3ms"`
	WorkTime     time.Duration `help:"Time that an endpoint takes." default:"20ms"`
	AnswerBytes  int           `help:"Size of an answer's body." default:"300"`
	Seed         uint64        `help:"Seed of the arrivals." default:"1"`

	TakeoverClaims int `help:"Claims in the shard that a gateway takes over." default:"20000"`
}

// Result is the result of the measurement.
type Result struct {
	Gateways       int     `json:"gateways"`
	StoreLatencyMs float64 `json:"store_latency_ms"`
	Seed           uint64  `json:"seed"`
	Rows           []Row   `json:"rows"`

	Takeover Takeover `json:"takeover"`
}

// Row is the result of one design at one request rate. A tenth of the requests is
// repeated through another gateway; calls are per request, including its repeat.
type Row struct {
	Variant         string  `json:"way"`
	Rate            int     `json:"rate"`
	Requests        int     `json:"requests"`
	Refused         int     `json:"refused"`
	WritesPerSecond float64 `json:"writes_per_second"`
	WritesPerReq    float64 `json:"writes_per_request"`
	ReadsPerReq     float64 `json:"reads_per_request"`
	WriteBytesPer   float64 `json:"write_bytes_per_request"`
	AddedP50Ms      float64 `json:"added_p50_ms"`
	AddedP99Ms      float64 `json:"added_p99_ms"`
	Repeats         int     `json:"repeats"`
	RepeatsAnswered int     `json:"repeats_answered"`
	MaxRuns         int     `json:"max_runs"`
}

// variant is one design of the claim store.
type variant struct {
	name string
	// owners reports whether gateways send claims to the owner of a shard.
	owners   bool
	newStore func(s store.Store, self string, peers func() []atmostonce.Peer) atmostonce.ClaimStore
}

func variants() []variant {
	all := []variant{
		{name: "record per claim", newStore: func(s store.Store, _ string, _ func() []atmostonce.Peer) atmostonce.ClaimStore {
			return atmostonce.NewPerKeyStore(s, 0)
		}},
		{name: "groups, every gateway writes", newStore: batchedStore(atmostonce.DefaultShards, atmostonce.DefaultMinInterval)},
	}
	settings := []struct {
		name     string
		shards   int
		interval time.Duration
	}{
		{"groups, owner, 1 shard, 10ms", 1, 10 * time.Millisecond},
		{"groups, owner, 1 shard, 20ms", 1, 20 * time.Millisecond},
		{"groups, owner, 2 shards, 10ms", 2, 10 * time.Millisecond},
		{"groups, owner, 2 shards, 20ms", 2, 20 * time.Millisecond},
		{"groups, owner, 4 shards, 10ms", 4, 10 * time.Millisecond},
		{"groups, owner, 4 shards, 20ms", 4, 20 * time.Millisecond},
	}
	for _, s := range settings {
		all = append(all, variant{name: s.name, owners: true, newStore: batchedStore(s.shards, s.interval)})
	}
	return all
}

func batchedStore(shards int, interval time.Duration) func(store.Store, string, func() []atmostonce.Peer) atmostonce.ClaimStore {
	return func(s store.Store, self string, peers func() []atmostonce.Peer) atmostonce.ClaimStore {
		return atmostonce.NewBatchedStore(atmostonce.BatchedConfig{
			Store: s, Self: self, Peers: peers, Shards: shards, MinInterval: interval,
		})
	}
}

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Gateways: c.Gateways, StoreLatencyMs: milliseconds(c.StoreLatency), Seed: c.Seed}
	for _, w := range variants() {
		for _, rate := range c.Rates {
			b, err := newBench(c, w)
			if err != nil {
				return err
			}
			r.Rows = append(r.Rows, b.run(rate))
			b.close()
		}
	}
	var err error
	if r.Takeover, err = c.measureTakeover(); err != nil {
		return err
	}
	*result = r
	return nil
}

func (c *Cmd) response() *atmostonce.Response {
	return &atmostonce.Response{
		Status: http.StatusOK, Body: make([]byte, c.AnswerBytes),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {time.Now().Format(http.TimeFormat)}},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
