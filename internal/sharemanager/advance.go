package sharemanager

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// turnLength is how long each live gateway, in the order of their IDs, is left
// to move the agreement on before the next one tries too. Compare-and-swap
// makes it safe when several do.
const turnLength = time.Second

const (
	// eagerFor is how long after a change the others are asked in each round.
	eagerFor = 2 * time.Second
	// listenInterval is the pause between two askings after that.
	listenInterval = 500 * time.Millisecond
)

// heard is the last contact with a member and since when it has been so.
type heard struct {
	contact share.MemberStatus
	since   time.Time
}

// advance takes one step towards the live view being settled.
func (k *Manager) advance(ctx context.Context) {
	snapshot := k.Feed.Snapshot()
	observed := k.observe(snapshot)
	k.trackLeases(snapshot, &observed.Agreement)
	step := share.Decide(observed)
	if step.Verb == share.NoOp {
		k.wantedAt = time.Time{}
		return
	}
	if k.wantedAt.IsZero() {
		k.wantedAt = time.Now()
	}
	if !k.myTurn(&observed.Live) {
		return
	}
	if step.Verb == share.Wait {
		k.listen(ctx, &observed.Agreement)
		observed = k.observe(snapshot)
		step = share.Decide(observed)
	}
	k.apply(ctx, &observed, step)
}

func (k *Manager) observe(snapshot *configstate.Snapshot) share.Input {
	agreement := k.inForce.Load().agreement
	observed := share.Input{
		Agreement:    agreement,
		Live:         k.live(snapshot, agreement.Stopped),
		MemberStates: make(map[string]share.MemberState, len(k.heard)),
		UnleasedFor:  make(map[string]time.Duration, len(k.unleasedAt)),
		UnchangedFor: time.Since(k.changedAt),
		Timeouts:     waits(snapshot),
	}
	for id, h := range k.heard {
		observed.MemberStates[id] = share.MemberState{Status: h.contact, StatusAge: time.Since(h.since)}
	}
	for id, since := range k.unleasedAt {
		observed.UnleasedFor[id] = time.Since(since)
	}
	return observed
}

// waits fences a silent member for the life of the promises it may hold and
// then for the longest request timeout: what it admitted last carries that
// deadline and is given up by it. What it lent to a gateway without a share is
// used LoanMargin longer, also when its own process has ended: nobody else
// knows of those loans.
func waits(snapshot *configstate.Snapshot) share.Timeouts {
	loan := longestTimeout(snapshot) + share.LoanMargin
	fence := promiseLife + loan
	return share.Timeouts{Exited: max(goneWait, loan), Fence: fence, QuorumFence: escapeWait + fence}
}

func longestTimeout(snapshot *configstate.Snapshot) time.Duration {
	var longest time.Duration
	for _, spec := range snapshot.Services() {
		longest = max(longest, spec.Timeout())
	}
	return longest
}

// trackLeases notes since when settled members have no membership record. It
// starts anew when this process's own lease lapses: what it saw then may be
// the outage's view.
func (k *Manager) trackLeases(snapshot *configstate.Snapshot, agreement *share.Agreement) {
	if !k.Lease.Valid() {
		clear(k.unleasedAt)
		clear(k.heard)
		return
	}
	known := make(map[string]bool)
	for _, m := range agreement.Committed.Members {
		known[m.ID] = true
		_, leased := snapshot.Members[m.ID]
		_, tracked := k.unleasedAt[m.ID]
		switch {
		case leased:
			delete(k.unleasedAt, m.ID)
		case !tracked:
			k.unleasedAt[m.ID] = time.Now()
		}
	}
	for id := range k.unleasedAt {
		if !known[id] {
			delete(k.unleasedAt, id)
		}
	}
}

func (k *Manager) myTurn(live *share.View) bool {
	if !k.Lease.Valid() || k.left.Load() {
		return false
	}
	for place, m := range live.Members {
		if m.ID == k.Self.ID {
			return time.Since(k.wantedAt) >= time.Duration(place)*turnLength
		}
	}
	return false
}

// apply writes the step's agreement.
func (k *Manager) apply(ctx context.Context, observed *share.Input, step share.Step) {
	if step.Verb != share.Propose && step.Verb != share.Commit {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if step.Verb == share.Commit && k.returned(ctx, observed.Agreement.Departed()) {
		return
	}
	if err := k.write(ctx, observed.Agreement.Revision, step.Agreement); err != nil {
		if !store.IsConflict(err) {
			k.Log.Warn().Err(err).Str("verb", string(step.Verb)).Msg("Agreement not written.")
		}
		return
	}
	k.Log.Info().Str("verb", string(step.Verb)).Str("reason", step.Reason).
		Int("members", len(step.Agreement.Target().Members)).Msg("Agreement on shares moved on.")
}

// returned reports whether a departed member may hold a lease again. The
// snapshot may be behind the store, which is asked right before settling: a
// member that registers after this finds the agreement without it.
func (k *Manager) returned(ctx context.Context, departed []share.Member) bool {
	for _, m := range departed {
		if _, err := k.Store.Get(ctx, storekeys.Member(m.ID)); !store.IsNotFound(err) {
			return true
		}
	}
	return false
}

func (k *Manager) write(ctx context.Context, expect store.Revision, next share.Agreement) error {
	next.WriteID = uuid.NewString()
	value := next.Encode()
	revision, err := store.IdempotentCAS(ctx, k.Store, store.Write{Key: storekeys.Shares, Expect: expect, Value: value})
	if err != nil {
		return err
	}
	next.Revision = revision
	if revision > k.inForce.Load().agreement.Revision {
		k.install(next)
	}
	return nil
}

// listen asks every member that settling depends on.
func (k *Manager) listen(ctx context.Context, agreement *share.Agreement) {
	settling := time.Since(k.changedAt) < eagerFor
	if agreement.Next == nil || !settling && time.Since(k.listenedAt) < listenInterval {
		return
	}
	k.listenedAt = time.Now()
	members := append(agreement.Departed(), agreement.Next.Members...)
	asked := time.Now()
	answers := k.ask(ctx, members)
	for id, a := range answers {
		contact := contactOf(id, a, agreement.Revision)
		if before, known := k.heard[id]; known && before.contact == contact {
			continue
		}
		since := asked
		if contact == share.Confirmed {
			// It may have promised something until just before it answered.
			since = time.Now()
		}
		k.heard[id] = heard{contact: contact, since: since}
	}
}

func contactOf(id string, a asking, revision store.Revision) share.MemberStatus {
	var ended *ConnectionRefusedError
	switch {
	case errors.As(a.err, &ended):
		return share.Exited
	case a.err != nil:
		return share.Unresponsive
	case a.answer.Member != id:
		// Another process listens where it did.
		return share.Exited
	case a.answer.Revision >= revision:
		return share.Confirmed
	}
	return share.Unconfirmed
}

type asking struct {
	answer ProbeResult
	err    error
}

// ask asks members side by side; this process answers for itself.
func (k *Manager) ask(ctx context.Context, members []share.Member) map[string]asking {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wait sync.WaitGroup
	answers := make(map[string]asking, len(members))
	note := func(id string, heard asking) {
		mu.Lock()
		defer mu.Unlock()
		answers[id] = heard
	}
	for _, m := range members {
		if m.ID == k.Self.ID {
			note(m.ID, asking{answer: ProbeResult{Member: m.ID, Revision: store.Revision(k.confirmed.Load())}})
			continue
		}
		wait.Go(func() {
			answer, err := k.Prober.Probe(ctx, m)
			note(m.ID, asking{answer: answer, err: err})
		})
	}
	wait.Wait()
	return answers
}

// leaveTries bounds how often a leaving gateway tries to say so.
const leaveTries = 5

// InUseError says that a gateway that leaves still uses slots, or has lent some.
type InUseError struct{}

func (e *InUseError) Error() string { return "slots are still in use or lent" }

// leavingPoll is the pause between two looks at what is still lent.
const leavingPoll = 20 * time.Millisecond

// Leave tells the others that this gateway uses nothing any more, so that they
// needn't wait for its lease to end. Call it after the last request. Without
// it, or when the store is away, the others wait.
func (k *Manager) Leave(ctx context.Context) error {
	k.left.Store(true)
	k.Usage.CloseIdle()
	for !k.Usage.WithinAllocation(onlyConnections) || !k.Usage.LoansMatchPolicy() {
		pause.For(ctx, leavingPoll)
		if ctx.Err() != nil {
			return &InUseError{}
		}
	}
	var err error
	for range leaveTries {
		var entry store.Entry
		if entry, err = k.Store.Get(ctx, storekeys.Shares); err != nil {
			return err
		}
		var current share.Agreement
		if current, err = share.Parse(entry); err != nil {
			return err
		}
		next := current.Without(k.Self.ID)
		next.WriteID = uuid.NewString()
		_, err = store.IdempotentCAS(ctx, k.Store, store.Write{Key: storekeys.Shares, Expect: entry.ModRevision, Value: next.Encode()})
		if !store.IsConflict(err) {
			return err
		}
	}
	return err
}

func onlyConnections(string, string) share.Allocation {
	return share.Allocation{Connections: math.MaxInt32}
}
