package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
)

// LimitSource provides the limits of organisations.
type LimitSource interface {
	// Limits returns the limits in force.
	Limits() quota.Limits
	// LimitsCurrent reports whether the limits are known to be the newest, or to be in
	// force still although they are not.
	LimitsCurrent(now time.Time) bool
	// ConfigKey is the key of the configuration in the store.
	ConfigKey() string
}

const (
	// quotaMinInterval is the least time between two writes of the ledger by a pool.
	// Needs that arise within it share one.
	quotaMinInterval = 40 * time.Millisecond
	// quotaReadInterval is the least time between two reads of the ledger while tasks
	// wait for what other pools hold.
	quotaReadInterval = 150 * time.Millisecond
	// corruptLedgerPause is the pause after a ledger that can't be decoded was read.
	corruptLedgerPause = time.Second
	// quotaTimeout bounds one call about the ledger.
	quotaTimeout = 800 * time.Millisecond
)

// quotaKeeper keeps the pool's account of the ledger up to date. It is owned by the
// pool's goroutine.
type quotaKeeper struct {
	source  LimitSource
	account *quota.Account
	// busy is set while a call is in flight.
	busy bool
	// notBefore is the earliest time of the next call.
	notBefore time.Time
	// allFrozen is why no limited organisation may start tasks, frozen why single ones
	// may not, as last logged.
	allFrozen quota.Reason
	frozen    map[string]quota.Reason
}

func newQuotaKeeper(source LimitSource, pool string, fence int64) *quotaKeeper {
	return &quotaKeeper{source: source, account: quota.NewAccount(pool, fence), frozen: make(map[string]quota.Reason)}
}

// refreshQuotas gives the pool its quotas, before a plan.
func (m *Manager) refreshQuotas(now time.Time) {
	k := m.quotas
	if k.source == nil {
		return
	}
	limits := k.source.Limits()
	m.pool.SetShares(limits.Weights)
	if limits.Revision == 0 {
		m.pool.SetQuotas(nil, quota.LimitsUnknown)
		return
	}
	k.account.SetLimits(limits)
	m.findIdlePools()
	confirmed := k.source.LimitsCurrent(now)
	quotas := k.account.Quotas(confirmed)
	m.logFrozen(quotas)
	m.pool.SetQuotas(quotas, k.account.FrozenOthers(confirmed))
	unread := !k.account.Loaded() || !k.account.Verified() && len(limits.ByOrganisation) > 0
	if unread && !k.busy && !now.Before(k.notBefore) {
		m.readLedger(now)
	}
}

// findIdlePools tells the account in which of the pools that do not cover the limits nothing
// runs: they have had no holder for longer than any lease lasts. An organisation would wait
// for them for as long as they have none.
func (m *Manager) findIdlePools() {
	idle := make(map[string]bool)
	for _, pool := range m.quotas.account.Uncovered() {
		idle[pool] = m.UnheldFor(pool) > sched.LeaseUpperBound(m.Sched.MaxLeaseTTL)
	}
	m.quotas.account.SetIdle(idle)
}

// logFrozen logs when organisations may not start any task, and when they may again.
func (m *Manager) logFrozen(quotas map[string]quota.Quota) {
	var all quota.Reason
	for _, q := range quotas {
		if q.Frozen.OfAll() {
			all = q.Frozen
		}
	}
	if before := m.quotas.allFrozen; before != all {
		m.quotas.allFrozen = all
		m.Log.Info().Str("frozen", string(all)).Str("before", string(before)).Int64("limits_revision", int64(m.quotas.account.LimitsRevision())).
			Msg("Starts of all organisations are held back, or no longer.")
	}
	if all != "" {
		return
	}
	for name, q := range quotas {
		if before := m.quotas.frozen[name]; before != q.Frozen {
			m.quotas.frozen[name] = q.Frozen
			m.Log.Info().Str("organisation", name).Str("frozen", string(q.Frozen)).Str("before", string(before)).
				Strs("undeclared_pools", m.quotas.account.Uncovered()).Int("limit_millicores", q.Limit.MilliCPU).Int("held_millicores", q.Held.MilliCPU).Msg("An organisation's starts are held back, or no longer.")
		}
	}
}

// adjustQuotas asks for more of organisations' limits, or gives some back, after a plan.
func (m *Manager) adjustQuotas(now time.Time) {
	k := m.quotas
	if k.source == nil || k.busy || now.Before(k.notBefore) || !k.account.Loaded() || k.account.LimitsRevision() == 0 {
		return
	}
	demands := m.pool.QuotaDemands()
	if proposal := k.account.Propose(demands, now); proposal != nil {
		m.writeLedger(proposal, now)
		return
	}
	for _, demand := range demands {
		if !demand.Waiting.IsZero() {
			m.readLedger(now)
			return
		}
	}
}

func (m *Manager) readLedger(now time.Time) {
	k := m.quotas
	k.busy, k.notBefore = true, now.Add(quotaReadInterval)
	m.Metrics.quotaCalls.WithLabelValues("read").Inc()
	limits := k.account.LimitsRevision()
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, quotaTimeout)
		defer cancel()
		entry, err := m.Store.Get(ctx, quota.LedgerKey)
		m.enqueue(m.ctx, func() { m.ledgerRead(entry, limits, err) })
	}()
}

func (m *Manager) ledgerRead(entry store.Entry, limits store.Revision, err error) {
	m.quotas.busy = false
	if store.IsNotFound(err) {
		entry, err = store.Entry{Key: quota.LedgerKey}, nil
	}
	if err != nil {
		m.Log.Warn().Err(err).Msg("Failed to read the quota ledger.")
		return
	}
	m.applyLedger(entry, limits)
}

// applyLedger records the ledger as it is in the store. One that can't be decoded is not
// replaced: what other pools hold can't be known.
func (m *Manager) applyLedger(entry store.Entry, limits store.Revision) {
	account := m.quotas.account
	ledger, err := quota.DecodeLedger(entry)
	if err != nil {
		m.Log.Error().Err(err).Msg("Cannot decode the quota ledger; no pool gets more of a limit.")
		m.quotas.notBefore = time.Now().Add(corruptLedgerPause)
		return
	}
	first := !account.Loaded()
	account.Read(ledger, entry.ModRevision, limits)
	if account.Replaced() {
		m.Log.Warn().Int64("fence", m.takeover.Head.Fence).Int64("revision", int64(entry.ModRevision)).Msg("A later holder of the pool has written the quota ledger.")
		m.pool.SetFenced()
		return
	}
	if first {
		m.pool.SetInherited(account.Inherited())
	}
}

// writeLedger writes a proposal. The conditions keep out replaced holders, and limits
// that are no longer in force.
func (m *Manager) writeLedger(proposal *quota.Proposal, now time.Time) {
	k := m.quotas
	k.busy, k.notBefore = true, now.Add(quotaMinInterval)
	m.Metrics.quotaCalls.WithLabelValues("write").Inc()
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: quota.LedgerKey, Expect: proposal.Revision}, {Key: poolstore.FenceKey(m.Pool), Expect: m.takeover.Revision},
		},
		Puts: []store.Put{{Key: quota.LedgerKey, Value: proposal.Ledger.Encode()}},
	}
	if proposal.Limits != 0 {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: k.source.ConfigKey(), Expect: proposal.Limits})
	}
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, quotaTimeout)
		defer cancel()
		revision, err := m.Store.Commit(ctx, txn)
		m.enqueue(m.ctx, func() { m.ledgerWritten(proposal, revision, err) })
	}()
}

func (m *Manager) ledgerWritten(proposal *quota.Proposal, revision store.Revision, err error) {
	k := m.quotas
	k.busy = false
	if err == nil {
		k.account.Written(proposal, revision)
		if len(proposal.Changed) > 0 {
			m.Log.Info().Int64("revision", int64(revision)).Int64("limits_revision", int64(proposal.Limits)).Interface("held", proposal.Changed).
				Interface("covers", proposal.Ledger.Covers[m.Pool]).
				Msg("Changed what the pool holds of organisations' limits.")
		}
		return
	}
	conflict, conflicted := err.(*store.TxnConflictError)
	switch {
	case conflicted:
		m.Metrics.quotaCalls.WithLabelValues("conflict").Inc()
		k.account.Dropped(proposal)
		if fence := conflict.Find(poolstore.FenceKey(m.Pool)); fence.ModRevision != m.takeover.Revision {
			m.Log.Warn().Int64("fence_revision", int64(fence.ModRevision)).Msg("The pool was taken over by another process.")
			m.pool.SetFenced()
			return
		}
		if proposal.Limits != 0 && conflict.Find(k.source.ConfigKey()).ModRevision != proposal.Limits {
			// Other limits are in force, which this process will learn in a moment.
			k.notBefore = time.Now().Add(quotaReadInterval)
		}
		m.applyLedger(conflict.Find(quota.LedgerKey), proposal.Limits)
	case store.IsRefused(err):
		k.account.Dropped(proposal)
		m.Log.Debug().Err(err).Msg("The store refused a write of the quota ledger.")
	default:
		m.Log.Warn().Err(err).Msg("The store did not respond to a write of the quota ledger.")
		// What is stored must be known before the next proposal.
		m.readLedger(time.Now())
	}
}
