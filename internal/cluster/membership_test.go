package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// lateStore executes commits late while late is set, without an answer.
type lateStore struct {
	*memstore.Store
	late atomic.Int64
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	late := time.Duration(s.late.Load())
	if late == 0 {
		return s.Store.Commit(ctx, txn)
	}
	time.AfterFunc(late, func() { _, _ = s.Store.Commit(context.WithoutCancel(ctx), txn) })
	return 0, &store.UnknownOutcomeError{}
}

func newMember(s store.Transactor, incarnation string, taken *claimLog) *Cluster {
	return New(Config{
		Store: s, Self: Member{Node: "n", Incarnation: incarnation, CPUShare: 0.8}, Log: zerolog.Nop(), Pools: func() []string { return []string{"a"} },
		StartPool: func(g Takeover) HeldPool {
			taken.mu.Lock()
			defer taken.mu.Unlock()
			taken.nodeByPool[g.Pool] = incarnation
			return noopPool{}
		},
	})
}

// Guards against a process that never claims a pool: the write by which the earlier one of
// its node announced its leaving is executed late, and replaces its record under a lease
// that ends.
func TestLateWriteOfAnEarlierProcessKeepsTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		taken := &claimLog{nodeByPool: make(map[string]string)}
		s := &lateStore{Store: memstore.New()}
		first, stop := context.WithCancel(ctx)
		before := newMember(s, "1", taken)
		go func() { _ = before.Run(first) }()
		time.Sleep(3 * time.Second)
		s.late.Store(int64(1500 * time.Millisecond))
		before.Leave(ctx)
		stop()
		s.late.Store(0)
		after := newMember(s.Store, "2", taken)
		go func() { _ = after.Run(ctx) }()
		time.Sleep(12 * time.Second)
		entry, err := s.Get(ctx, poolstore.MemberKey("", "n"))
		must.NoError(t, err)
		must.True(t, after.isOwn(entry))
		must.EqOp(t, "2", taken.snapshot()["a"])
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against the same by any other loss of the record, such as by a process of a version
// that writes it without a condition.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	for name, lose := range map[string]func(ctx context.Context, s *memstore.Store){
		"deleted": func(_ context.Context, s *memstore.Store) { s.DeleteKey(poolstore.MemberKey("", "n")) },
		"replaced": func(ctx context.Context, s *memstore.Store) {
			_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: poolstore.MemberKey("", "n"), Value: encode(Member{Node: "n", Incarnation: "0"})}}})
			must.NoError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s, taken := memstore.New(), &claimLog{nodeByPool: make(map[string]string)}
				m := newMember(s, "1", taken)
				go func() { _ = m.Run(ctx) }()
				time.Sleep(3 * time.Second)
				lose(ctx, s)
				time.Sleep(3 * time.Second)
				entry, err := s.Get(ctx, poolstore.MemberKey("", "n"))
				must.NoError(t, err)
				must.True(t, m.isOwn(entry))
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a process that leaves and marks its successor's record as leaving.
func TestLeavingProcessKeepsTheRecordOfALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, taken := memstore.New(), &claimLog{nodeByPool: make(map[string]string)}
		first, stop := context.WithCancel(ctx)
		before := newMember(s, "1", taken)
		go func() { _ = before.Run(first) }()
		time.Sleep(time.Second)
		stop()
		after := newMember(s, "2", taken)
		go func() { _ = after.Run(ctx) }()
		time.Sleep(time.Second)
		before.Leave(ctx)
		entry, err := s.Get(ctx, poolstore.MemberKey("", "n"))
		must.NoError(t, err)
		must.True(t, after.isOwn(entry))
		cancel()
		time.Sleep(time.Minute)
	})
}
