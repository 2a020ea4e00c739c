package atmostonce

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"auburnglade.example/glade/internal/store"
)

// Defaults of a Grouped ledger; docs/design/at-most-once.md has the figures
// that chose them.
const (
	DefaultShards      = 1
	DefaultMinInterval = 10 * time.Millisecond
	DefaultBatchDelay  = 50 * time.Millisecond
)

// suspectFor is how long an owner that did not answer is passed over.
const suspectFor = 2 * time.Second

// Peer is a gateway that may own shards.
type Peer struct {
	ID string
	// Address is IP number and port of its peer interface.
	Address string
}

// BatchedConfig is what a Grouped ledger is made of. Zero durations and counts
// mean the defaults. Shards and Retention must be the same in all gateways.
type BatchedConfig struct {
	Store store.Store
	// Self is this gateway's ID among Peers.
	Self string
	// Peers returns the gateways known to live; nil means none but this one.
	Peers func() []Peer
	// DialTLS, when set, makes the connections to peers; nil means plain HTTP.
	DialTLS     func(ctx context.Context, network, address string) (net.Conn, error)
	Shards      int
	MinInterval time.Duration
	BatchDelay  time.Duration
	Retention   time.Duration
}

// BatchedStore is the ledger that writes many claims at once: each key belongs to a
// shard, each shard to a gateway picked by rendezvous hashing, and all claims
// and settlements that reach the owner within some milliseconds go into one
// compare-and-swap. A gateway whose owner doesn't answer writes by itself: the
// compare-and-swap is the guarantee, owning only the economy.
type BatchedStore struct {
	config BatchedConfig
	shards []*shard
	client owners

	mu      sync.Mutex
	suspect map[string]time.Time
}

var _ ClaimStore = (*BatchedStore)(nil)

// NewBatchedStore returns a ledger; it makes claims once Serve runs.
func NewBatchedStore(config BatchedConfig) *BatchedStore {
	if config.Shards == 0 {
		config.Shards = DefaultShards
	}
	if config.MinInterval == 0 {
		config.MinInterval = DefaultMinInterval
	}
	if config.BatchDelay == 0 {
		config.BatchDelay = DefaultBatchDelay
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	g := &BatchedStore{config: config, client: newRemote(config.DialTLS), suspect: make(map[string]time.Time)}
	for i := range config.Shards {
		g.shards = append(g.shards, newShard(newJournal(config.Store, i, config.Retention), config.MinInterval, config.BatchDelay))
	}
	return g
}

// Serve implements Ledger.
func (g *BatchedStore) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	for _, s := range g.shards {
		wait.Go(func() { s.serve(ctx) })
	}
	wait.Wait()
	g.client.close()
	return ctx.Err()
}

// Claim implements Ledger.
func (g *BatchedStore) Claim(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	if owner, ok := g.ownerElsewhere(claim.ID); ok {
		verdict, err := g.client.claim(ctx, owner, claim)
		if err == nil || !isUnreachable(err) {
			return verdict, err
		}
		g.passOver(owner)
	}
	return g.claimHere(ctx, claim)
}

func (g *BatchedStore) claimHere(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	s := g.shards[g.shardOf(claim.ID)]
	result := s.do(ctx, &operation{claim: &claim})
	if result.err != nil || result.archive == 0 {
		return result.verdict, result.err
	}
	answer, err := s.journal.archivedAnswer(ctx, result.archive, claim.ID)
	if err != nil {
		// It did run: its caller must come back for the answer, not be told
		// "not run".
		return ClaimOutcome{State: InProgress, RetryAfter: repeatAfter}, nil
	}
	result.verdict.Response = answer
	return result.verdict, nil
}

// Settle implements Ledger.
func (g *BatchedStore) Settle(ctx context.Context, settlement Settlement) error {
	if owner, ok := g.ownerElsewhere(settlement.ID); ok {
		err := g.client.settle(ctx, owner, settlement)
		if err == nil || !isUnreachable(err) {
			return err
		}
		g.passOver(owner)
	}
	return g.settleHere(ctx, settlement)
}

func (g *BatchedStore) settleHere(ctx context.Context, settlement Settlement) error {
	return g.shards[g.shardOf(settlement.ID)].do(ctx, &operation{settlement: &settlement}).err
}

func (g *BatchedStore) shardOf(id ID) int { return int(xxhash.Sum64(id[:]) % uint64(len(g.shards))) }

// ownerElsewhere returns the gateway that owns a key's shard, and false when
// that is this one.
func (g *BatchedStore) ownerElsewhere(id ID) (Peer, bool) {
	if g.config.Peers == nil {
		return Peer{}, false
	}
	addresses := make(map[string]string)
	ids := []string{g.config.Self}
	for _, peer := range g.config.Peers() {
		if peer.ID != g.config.Self && !g.passedOver(peer.ID) {
			ids = append(ids, peer.ID)
			addresses[peer.ID] = peer.Address
		}
	}
	owner := rendezvous.New(ids, xxhash.Sum64String).Lookup("shard-" + strconv.Itoa(g.shardOf(id)))
	return Peer{ID: owner, Address: addresses[owner]}, owner != g.config.Self
}

func (g *BatchedStore) passOver(owner Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspect[owner.ID] = time.Now().Add(suspectFor)
}

func (g *BatchedStore) passedOver(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, ok := g.suspect[id]
	if ok && time.Now().After(until) {
		delete(g.suspect, id)
		return false
	}
	return ok
}
