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

// Defaults of a BatchedStore; docs/design/at-most-once.md has the figures
// behind them.
const (
	DefaultShards      = 1
	DefaultMinInterval = 10 * time.Millisecond
	DefaultBatchDelay  = 50 * time.Millisecond
)

// suspectFor is how long an owner that did not respond is bypassed.
const suspectFor = 2 * time.Second

// Peer is a gateway that may own shards.
type Peer struct {
	ID string
	// Address is the IP address and port of its peer interface.
	Address string
}

// BatchedConfig configures a BatchedStore. Zero durations and counts mean the
// defaults. Shards and Retention must be the same in all gateways.
type BatchedConfig struct {
	Store store.Store
	// Self is this gateway's ID among Peers.
	Self string
	// Peers returns the gateways that are currently members; nil means that
	// there is none but this one.
	Peers func() []Peer
	// DialTLS, when set, opens the connections to peers; nil means plain HTTP.
	DialTLS     func(ctx context.Context, network, address string) (net.Conn, error)
	Shards      int
	MinInterval time.Duration
	BatchDelay  time.Duration
	Retention   time.Duration
}

// BatchedStore is the claim store that combines many claims into one write.
// Each key belongs to a shard, and each shard to a gateway chosen by rendezvous
// hashing. All claims and settlements that reach the owner within a few
// milliseconds go into one compare-and-swap. A gateway whose owner does not
// respond writes to the store directly: compare-and-swap guarantees
// correctness, ownership only reduces the number of writes.
type BatchedStore struct {
	config BatchedConfig
	shards []*shard
	client owners

	mu      sync.Mutex
	suspect map[string]time.Time
}

var _ ClaimStore = (*BatchedStore)(nil)

// NewBatchedStore returns a claim store; claims need Serve to be running.
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
	b := &BatchedStore{config: config, client: newOwnerClient(config.DialTLS), suspect: make(map[string]time.Time)}
	for i := range config.Shards {
		b.shards = append(b.shards, newShard(newJournal(config.Store, i, config.Retention), config.MinInterval, config.BatchDelay))
	}
	return b
}

// Serve implements ClaimStore.
func (b *BatchedStore) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	for _, s := range b.shards {
		wait.Go(func() { s.serve(ctx) })
	}
	wait.Wait()
	b.client.close()
	return ctx.Err()
}

// Claim implements ClaimStore.
func (b *BatchedStore) Claim(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	if owner, ok := b.ownerElsewhere(claim.ID); ok {
		outcome, err := b.client.claim(ctx, owner, claim)
		if err == nil || !isUnreachable(err) {
			return outcome, err
		}
		b.markSuspect(owner)
	}
	return b.claimLocally(ctx, claim)
}

func (b *BatchedStore) claimLocally(ctx context.Context, claim Claim) (ClaimOutcome, error) {
	s := b.shards[b.shardOf(claim.ID)]
	result := s.do(ctx, &operation{claim: &claim})
	if result.err != nil || result.archive == 0 {
		return result.outcome, result.err
	}
	response, err := s.journal.archivedResponse(ctx, result.archive, claim.ID)
	if err != nil {
		// The request did run: the caller must retry to get its response, and
		// must not be told that it did not run.
		return ClaimOutcome{State: InProgress, RetryAfter: repeatAfter}, nil
	}
	result.outcome.Response = response
	return result.outcome, nil
}

// Settle implements ClaimStore.
func (b *BatchedStore) Settle(ctx context.Context, settlement Settlement) error {
	if owner, ok := b.ownerElsewhere(settlement.ID); ok {
		err := b.client.settle(ctx, owner, settlement)
		if err == nil || !isUnreachable(err) {
			return err
		}
		b.markSuspect(owner)
	}
	return b.settleLocally(ctx, settlement)
}

func (b *BatchedStore) settleLocally(ctx context.Context, settlement Settlement) error {
	return b.shards[b.shardOf(settlement.ID)].do(ctx, &operation{settlement: &settlement}).err
}

func (b *BatchedStore) shardOf(id ID) int { return int(xxhash.Sum64(id[:]) % uint64(len(b.shards))) }

// ownerElsewhere returns the gateway that owns a key's shard, and false when
// this gateway owns it.
func (b *BatchedStore) ownerElsewhere(id ID) (Peer, bool) {
	if b.config.Peers == nil {
		return Peer{}, false
	}
	addresses := make(map[string]string)
	ids := []string{b.config.Self}
	for _, peer := range b.config.Peers() {
		if peer.ID != b.config.Self && !b.isSuspect(peer.ID) {
			ids = append(ids, peer.ID)
			addresses[peer.ID] = peer.Address
		}
	}
	owner := rendezvous.New(ids, xxhash.Sum64String).Lookup("shard-" + strconv.Itoa(b.shardOf(id)))
	return Peer{ID: owner, Address: addresses[owner]}, owner != b.config.Self
}

func (b *BatchedStore) markSuspect(owner Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspect[owner.ID] = time.Now().Add(suspectFor)
}

func (b *BatchedStore) isSuspect(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.suspect[id]
	if ok && time.Now().After(until) {
		delete(b.suspect, id)
		return false
	}
	return ok
}
