package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// watchInbox applies jobs and cancellations that were left in the store while no
// holder of the pool could be reached.
func (m *Manager) watchInbox(ctx context.Context) {
	w := listwatch.Watcher{
		Store: m.Store, Prefix: poolstore.InboxPrefix(m.Pool), MinInterval: inboxMinInterval,
		OnList:   m.applyInbox,
		OnEvents: func(events []store.Event) { m.applyInbox(listwatch.WrittenEntries(events)) },
		OnCurrent: func(at time.Time) {
			m.enqueue(m.ctx, func() { m.inboxCurrentAt = at })
		},
	}
	w.Run(ctx)
}

func (m *Manager) applyInbox(entries []store.Entry) {
	if len(entries) == 0 {
		return
	}
	m.enqueue(m.ctx, func() {
		for _, entry := range entries {
			m.applyInboxEntry(entry)
		}
	})
}

// applyInboxEntry applies one inbox entry. Its key is deleted by the commit that
// stores the job or cancellation, or by a later one.
func (m *Manager) applyInboxEntry(entry store.Entry) {
	id, cancel := poolstore.ParseInboxKey(m.Pool, entry.Key)
	if cancel {
		m.cancel(id)
		m.inboxApplied[entry.Key] = true
		return
	}
	record, err := work.DecodeRecord(entry.Value)
	if err != nil {
		m.Log.Error().Err(err).Str("job", id).Msg("Cannot decode a job in the inbox; leaving it there.")
		return
	}
	m.Log.Info().Str("job", id).Dur("age_ms", m.WallClock().Sub(time.UnixMilli(record.ArrivedMs))).Msg("Accepting a job from the inbox.")
	m.submit(record)
	if s := m.submissions[id]; s != nil {
		s.inInbox = true
		s.resolve(Stored)
	}
	m.inboxApplied[entry.Key] = true
}
