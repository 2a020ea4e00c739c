package poolmanager

import (
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const (
	// sideLanes is how many chains of commits there are beside the head's. With
	// answers of 250 ms and 29 entries a commit they store 800 entries a second,
	// where the head's alone stored 110; a pool at its peak has some 500.
	sideLanes = 8
	// sideAfter is how long commits take, and the head's is on its way, before
	// another lane sends one. The store usually answers within 4 ms, and every
	// call is priced.
	sideAfter = 50 * time.Millisecond
	// slowSpell without another lane in use ends what is logged as one spell of
	// a slow store.
	slowSpell = 5 * time.Second
	// sideFactor times the usual time of a commit is how long the head's may be
	// on its way: a store that stopped answering would leave the outcome of what
	// other lanes send open too, and jobs that might be refused unknown.
	sideFactor = 5
)

// lane is one chain of commits: each is made under the condition that the one
// before it was the last. The head's lane writes the pool's head, all others
// also ask that nobody has taken the pool over since. A job is in one commit at
// a time, so that what is stored of it never goes back, whichever lanes store
// it one after the other.
//
// A single chain held up a pool in a slow store: 30 entries for each answer,
// while five times as many jobs were handed in and ended.
type lane struct {
	index int
	// revision is that of the lane's key, change the number of its last commit.
	revision store.Revision
	change   int64
	batch    *batch
	nextTry  time.Time
}

func newLanes(head store.Revision) []*lane {
	lanes := []*lane{{revision: head}}
	for i := range sideLanes {
		lanes = append(lanes, &lane{index: i + 1})
	}
	return lanes
}

// isHead reports whether the lane is the head's.
func (l *lane) isHead() bool { return l.index == 0 }

func (l *lane) key(pool string) string {
	if l.isHead() {
		return poolstore.HeadKey(pool)
	}
	return poolstore.LaneKey(pool, l.index)
}

// idle reports whether no commit is on its way.
func (k *Manager) idle() bool {
	for _, l := range k.lanes {
		if l.batch != nil {
			return false
		}
	}
	return true
}

// commitAside sends a commit on another lane while the head's is on its way and
// the store is slow.
func (k *Manager) commitAside(now time.Time) {
	age := now.Sub(k.lanes[0].batch.begun)
	slow := k.commitTook >= sideAfter && age >= sideAfter && age < sideFactor*k.commitTook
	if !slow || k.closing != nil || !k.crowded && now.Sub(k.opened) < commitPause {
		return
	}
	for _, l := range k.lanes[1:] {
		if l.batch != nil || now.Before(l.nextTry) {
			continue
		}
		if b := k.newSideBatch(l); b != nil {
			if now.Sub(k.opened) > slowSpell {
				k.Log.Warn().Dur("commit_ms", k.commitTook).Msg("The store is slow; commits go out on several lanes.")
			}
			k.opened, k.crowded = now, b.full()
			k.Metrics.sideCommits.Inc()
			k.launch(l, b, now)
		}
		return
	}
}

// full reports whether the batch took all that fits.
func (b *batch) full() bool { return b.txn.OpCount() >= store.MaxTxnOps }

// newSideBatch collects what a lane beside the head's stores: jobs and their
// progress, nothing of the pool as a whole.
func (k *Manager) newSideBatch(l *lane) *batch {
	b := &batch{lane: l, change: l.change + 1}
	b.txn.Conditions = []store.Condition{
		{Key: poolstore.FenceKey(k.Pool), Expect: k.grant.Revision}, {Key: l.key(k.Pool), Expect: l.revision},
	}
	k.addJobs(b, store.MaxTxnOps-len(b.txn.Conditions)-1)
	if len(b.txn.Puts) == 0 {
		return nil
	}
	record := poolstore.Head{Fence: k.head.Fence, Holder: k.Holder, Sequence: b.change}
	b.txn.Puts = append(b.txn.Puts, store.Put{Key: l.key(k.Pool), Value: record.Encode()})
	return b
}
