// Package atmostonce measures what a claim of an idempotency key costs: calls
// and bytes at the store, counted by the store's stand-in, and the time it adds
// to a request, for each way that was weighed.
package atmostonce

import (
	"net/http"
	"time"

	"auburnglade.example/glade/internal/atmostonce"
	"auburnglade.example/glade/internal/store"
)

// Cmd is the subcommand.
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

// Result is the measurement's.
type Result struct {
	Gateways       int     `json:"gateways"`
	StoreLatencyMs float64 `json:"store_latency_ms"`
	Seed           uint64  `json:"seed"`
	Rows           []Row   `json:"rows"`

	Takeover Takeover `json:"takeover"`
}

// Row is one way at one rate. A tenth of the requests is repeated through
// another gateway; calls are per request, with those for its repeats.
type Row struct {
	Way             string  `json:"way"`
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

// way is one candidate.
type way struct {
	name string
	// owners is set when gateways ask the owner of a shard.
	owners bool
	ledger func(s store.Store, self string, peers func() []atmostonce.Peer) atmostonce.ClaimStore
}

func ways() []way {
	all := []way{
		{name: "record per claim", ledger: func(s store.Store, _ string, _ func() []atmostonce.Peer) atmostonce.ClaimStore {
			return atmostonce.NewPerKeyStore(s, 0)
		}},
		{name: "groups, every gateway writes", ledger: grouped(atmostonce.DefaultShards, atmostonce.DefaultMinInterval)},
	}
	settings := []struct {
		name   string
		shards int
		pace   time.Duration
	}{
		{"groups, owner, 1 shard, 10ms", 1, 10 * time.Millisecond},
		{"groups, owner, 1 shard, 20ms", 1, 20 * time.Millisecond},
		{"groups, owner, 2 shards, 10ms", 2, 10 * time.Millisecond},
		{"groups, owner, 2 shards, 20ms", 2, 20 * time.Millisecond},
		{"groups, owner, 4 shards, 10ms", 4, 10 * time.Millisecond},
		{"groups, owner, 4 shards, 20ms", 4, 20 * time.Millisecond},
	}
	for _, s := range settings {
		all = append(all, way{name: s.name, owners: true, ledger: grouped(s.shards, s.pace)})
	}
	return all
}

func grouped(shards int, pace time.Duration) func(store.Store, string, func() []atmostonce.Peer) atmostonce.ClaimStore {
	return func(s store.Store, self string, peers func() []atmostonce.Peer) atmostonce.ClaimStore {
		return atmostonce.NewBatchedStore(atmostonce.BatchedConfig{
			Store: s, Self: self, Peers: peers, Shards: shards, MinInterval: pace,
		})
	}
}

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Gateways: c.Gateways, StoreLatencyMs: milliseconds(c.StoreLatency), Seed: c.Seed}
	for _, w := range ways() {
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

func (c *Cmd) answer() *atmostonce.Response {
	return &atmostonce.Response{
		Status: http.StatusOK, Body: make([]byte, c.AnswerBytes),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {time.Now().Format(http.TimeFormat)}},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
