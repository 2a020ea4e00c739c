package poolmanager

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const queueKey = "queue"

// registering returns a manager of pool a, whose batch in flight adds it to a queue's record
// beside pool b.
func registering() (*Manager, *batch) {
	m := &Manager{Config: Config{Pool: "a", Log: zerolog.Nop()}, queues: make(queueStates)}
	b := &batch{queues: []string{queueKey}}
	b.txn.Puts = []store.Put{{Key: queueKey, Value: poolstore.QueuePools{Pools: []string{"b", "a"}}.Encode()}}
	m.queues[queueKey] = &queueState{QueuePools: poolstore.QueuePools{Pools: []string{"b"}, Revision: 5}, changing: b}
	return m, b
}

// Guards against a job that two pools accept: while a holder's write of its queue's record is
// under way, a late answer says that there was no record, and the holder forgets the other
// pool in it.
func TestLateAnswerAboutAQueueDoesNotHideItsOtherPool(t *testing.T) {
	m, b := registering()
	m.learnQueue(queueKey, store.Entry{})
	m.queuesStored(b, 7)
	must.Eq(t, []string{"b", "a"}, m.queues[queueKey].Pools)
	must.EqOp(t, 7, m.queues[queueKey].Revision)
}

// Guards against a holder that takes its own write of a queue's record for the newest one,
// though a later one is known.
func TestLaterRecordOfAQueueIsKept(t *testing.T) {
	m, b := registering()
	m.learnQueue(queueKey, store.Entry{Key: queueKey, ModRevision: 9, Value: poolstore.QueuePools{Pools: []string{"c", "a"}}.Encode()})
	m.queuesStored(b, 7)
	must.Eq(t, []string{"c", "a"}, m.queues[queueKey].Pools)
	must.EqOp(t, 9, m.queues[queueKey].Revision)
}

// Guards against a pool that counts as one of a queue which it has left.
func TestRetiredPoolLeavesTheRecordOfItsQueue(t *testing.T) {
	m, b := registering()
	b.txn = store.Txn{Deletes: []string{queueKey}}
	m.queuesStored(b, 7)
	must.SliceEmpty(t, m.queues[queueKey].Pools)
	must.EqOp(t, 0, m.queues[queueKey].Revision)
}
