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

// advanceDelayPerMember is the delay after which the next live gateway, in the order of
// IDs, also tries to advance the agreement. Compare-and-swap makes concurrent attempts
// safe.
const advanceDelayPerMember = time.Second

const (
	// fastProbePeriod is how long after a change the other members are probed in every
	// reconcile.
	fastProbePeriod = 2 * time.Second
	// confirmationProbeInterval is the delay between two probes after that.
	confirmationProbeInterval = 500 * time.Millisecond
)

// observedStatus is the last status of a member and when it was first observed.
type observedStatus struct {
	status share.MemberStatus
	since  time.Time
}

// advance takes one step towards committing the live view.
func (mgr *Manager) advance(ctx context.Context) {
	snapshot := mgr.Feed.Snapshot()
	input := mgr.observe(snapshot)
	mgr.trackLeases(snapshot, &input.Agreement)
	step := share.Decide(input)
	if step.Verb == share.NoOp {
		mgr.stepPendingSince = time.Time{}
		return
	}
	if mgr.stepPendingSince.IsZero() {
		mgr.stepPendingSince = time.Now()
	}
	if !mgr.mayAdvance(&input.Live) {
		return
	}
	if step.Verb == share.Wait {
		mgr.probeMembers(ctx, &input.Agreement)
		input = mgr.observe(snapshot)
		step = share.Decide(input)
	}
	mgr.apply(ctx, &input, step)
}

func (mgr *Manager) observe(snapshot *configstate.Snapshot) share.Input {
	agreement := mgr.active.Load().agreement
	input := share.Input{
		Agreement:    agreement,
		Live:         mgr.cachedLiveView(snapshot, agreement.Stopped),
		MemberStates: make(map[string]share.MemberState, len(mgr.memberStatuses)),
		UnleasedFor:  make(map[string]time.Duration, len(mgr.unleasedSince)),
		UnchangedFor: time.Since(mgr.agreementChangedAt),
		Timeouts:     timeouts(snapshot),
	}
	for id, h := range mgr.memberStatuses {
		input.MemberStates[id] = share.MemberState{Status: h.status, StatusAge: time.Since(h.since)}
	}
	for id, since := range mgr.unleasedSince {
		input.UnleasedFor[id] = time.Since(since)
	}
	return input
}

// timeouts fences an unresponsive member for the TTL of the promises that it may hold
// plus the longest request timeout: its last admitted requests carry that deadline and
// are cancelled by it. Slots that it lent to a gateway without a share are used for
// LoanMargin longer, even after its own process has ended, because no other gateway has
// a record of those loans.
func timeouts(snapshot *configstate.Snapshot) share.Timeouts {
	loan := longestTimeout(snapshot) + share.LoanMargin
	fence := promiseTTL + loan
	return share.Timeouts{Exited: max(minRefusalTime, loan), Fence: fence, QuorumFence: quorumLossTimeout + fence}
}

func longestTimeout(snapshot *configstate.Snapshot) time.Duration {
	var longest time.Duration
	for _, spec := range snapshot.Services() {
		longest = max(longest, spec.Timeout())
	}
	return longest
}

// trackLeases records since when committed members have had no membership record. It
// starts again when this process's own lease expires, because what it then saw may have
// been the effect of a store outage.
func (mgr *Manager) trackLeases(snapshot *configstate.Snapshot, agreement *share.Agreement) {
	if !mgr.Lease.LeaseValid() {
		clear(mgr.unleasedSince)
		clear(mgr.memberStatuses)
		return
	}
	committed := make(map[string]bool)
	for _, m := range agreement.Committed.Members {
		committed[m.ID] = true
		_, leased := snapshot.Members[m.ID]
		_, tracked := mgr.unleasedSince[m.ID]
		switch {
		case leased:
			delete(mgr.unleasedSince, m.ID)
		case !tracked:
			mgr.unleasedSince[m.ID] = time.Now()
		}
	}
	for id := range mgr.unleasedSince {
		if !committed[id] {
			delete(mgr.unleasedSince, id)
		}
	}
}

func (mgr *Manager) mayAdvance(live *share.View) bool {
	if !mgr.Lease.LeaseValid() || mgr.leaving.Load() {
		return false
	}
	for position, m := range live.Members {
		if m.ID == mgr.Self.ID {
			return time.Since(mgr.stepPendingSince) >= time.Duration(position)*advanceDelayPerMember
		}
	}
	return false
}

// apply writes the agreement of the step.
func (mgr *Manager) apply(ctx context.Context, input *share.Input, step share.Step) {
	if step.Verb != share.Propose && step.Verb != share.Commit {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if step.Verb == share.Commit && mgr.anyMemberReturned(ctx, input.Agreement.Departed()) {
		return
	}
	if err := mgr.write(ctx, input.Agreement.Revision, step.Agreement); err != nil {
		if !store.IsConflict(err) {
			mgr.Log.Warn().Err(err).Str("verb", string(step.Verb)).Msg("Could not write the share agreement.")
		}
		return
	}
	mgr.Log.Info().Str("verb", string(step.Verb)).Str("reason", step.Reason).
		Int("members", len(step.Agreement.Target().Members)).Msg("Share agreement updated.")
}

// anyMemberReturned reports whether a departed member may hold a lease again. The
// snapshot may be behind the store, so the store is read immediately before the commit.
// A member that registers after this read reads the agreement without itself.
func (mgr *Manager) anyMemberReturned(ctx context.Context, departed []share.Member) bool {
	for _, m := range departed {
		if _, err := mgr.Store.Get(ctx, storekeys.Member(m.ID)); !store.IsNotFound(err) {
			return true
		}
	}
	return false
}

func (mgr *Manager) write(ctx context.Context, expect store.Revision, next share.Agreement) error {
	next.WriteID = uuid.NewString()
	value := next.Encode()
	revision, err := store.IdempotentCAS(ctx, mgr.Store, store.SwapRequest{Key: storekeys.SharesKey, Expect: expect, Value: value})
	if err != nil {
		return err
	}
	next.Revision = revision
	if revision > mgr.active.Load().agreement.Revision {
		mgr.install(next)
	}
	return nil
}

// probeMembers probes every member on which the commit depends.
func (mgr *Manager) probeMembers(ctx context.Context, agreement *share.Agreement) {
	recentlyChanged := time.Since(mgr.agreementChangedAt) < fastProbePeriod
	if agreement.Next == nil || !recentlyChanged && time.Since(mgr.membersProbedAt) < confirmationProbeInterval {
		return
	}
	mgr.membersProbedAt = time.Now()
	members := append(agreement.Departed(), agreement.Next.Members...)
	probedAt := time.Now()
	outcomes := mgr.probeAll(ctx, members)
	for id, outcome := range outcomes {
		status := statusOf(id, outcome, agreement.Revision)
		if before, known := mgr.memberStatuses[id]; known && before.status == status {
			continue
		}
		since := probedAt
		if status == share.Confirmed {
			// The member may have made a promise until just before it responded.
			since = time.Now()
		}
		mgr.memberStatuses[id] = observedStatus{status: status, since: since}
	}
}

func statusOf(id string, outcome probeOutcome, revision store.Revision) share.MemberStatus {
	var refused *ConnectionRefusedError
	switch {
	case errors.As(outcome.err, &refused):
		return share.Exited
	case outcome.err != nil:
		return share.Unresponsive
	case outcome.result.Member != id:
		// Another process listens at the member's address.
		return share.Exited
	case outcome.result.Revision >= revision:
		return share.Confirmed
	}
	return share.Unconfirmed
}

type probeOutcome struct {
	result ProbeResult
	err    error
}

// probeAll probes members concurrently. This process supplies its own result.
func (mgr *Manager) probeAll(ctx context.Context, members []share.Member) map[string]probeOutcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := make(map[string]probeOutcome, len(members))
	record := func(id string, outcome probeOutcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes[id] = outcome
	}
	for _, m := range members {
		if m.ID == mgr.Self.ID {
			record(m.ID, probeOutcome{result: ProbeResult{Member: m.ID, Revision: store.Revision(mgr.confirmed.Load())}})
			continue
		}
		wg.Go(func() {
			result, err := mgr.Prober.Probe(ctx, m)
			record(m.ID, probeOutcome{result: result, err: err})
		})
	}
	wg.Wait()
	return outcomes
}

// maxLeaveAttempts bounds the attempts to record that this gateway leaves.
const maxLeaveAttempts = 5

// InUseError reports that a gateway that leaves still uses slots, its own or borrowed
// ones, or has lent some.
type InUseError struct{}

func (e *InUseError) Error() string { return "slots are still in use or lent" }

// leavePollInterval is the delay between two checks for slots still in use or lent.
const leavePollInterval = 20 * time.Millisecond

// Leave records that this gateway has stopped using its share, so that the others need
// not wait for its lease to expire. Call it after the last request. If it is not
// called, or the store is unavailable, the others wait.
func (mgr *Manager) Leave(ctx context.Context) error {
	mgr.leaving.Store(true)
	mgr.Usage.CloseIdle()
	for !mgr.Usage.WithinAllocation(connectionsOnly) || !mgr.Usage.LoansMatchPolicy() {
		pause.For(ctx, leavePollInterval)
		if ctx.Err() != nil {
			return &InUseError{}
		}
	}
	var err error
	for range maxLeaveAttempts {
		var entry store.Entry
		if entry, err = mgr.Store.Get(ctx, storekeys.SharesKey); err != nil {
			return err
		}
		var current share.Agreement
		if current, err = share.Parse(entry); err != nil {
			return err
		}
		next := current.WithoutMember(mgr.Self.ID)
		next.WriteID = uuid.NewString()
		_, err = store.IdempotentCAS(ctx, mgr.Store, store.SwapRequest{Key: storekeys.SharesKey, Expect: entry.ModRevision, Value: next.Encode()})
		if !store.IsConflict(err) {
			return err
		}
	}
	return err
}

func connectionsOnly(string, string) share.Allocation {
	return share.Allocation{Connections: math.MaxInt32}
}
