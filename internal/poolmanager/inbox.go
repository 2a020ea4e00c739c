package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

// watchInbox takes over jobs and cancels that were left in the store while
// this pool had no holder that could be reached.
func (k *Manager) watchInbox(ctx context.Context) {
	f := listwatch.Watcher{
		Store: k.Store, Prefix: poolstore.InboxPrefix(k.Pool), MinInterval: inboxPause,
		OnList:   k.takeInbox,
		OnEvents: func(events []store.Event) { k.takeInbox(listwatch.WrittenEntries(events)) },
	}
	f.Run(ctx)
}

func (k *Manager) takeInbox(entries []store.Entry) {
	if len(entries) == 0 {
		return
	}
	k.do(k.ctx, func() {
		for _, entry := range entries {
			k.takeLeft(entry)
		}
	})
}

// takeLeft takes one entry of the inbox over. Its key is deleted by the commit
// that stores what it asks for.
func (k *Manager) takeLeft(entry store.Entry) {
	id, cancel := poolstore.ParseInboxKey(k.Pool, entry.Key)
	if cancel {
		k.cancel(id)
		k.inboxDone[entry.Key] = true
		return
	}
	record, err := work.DecodeRecord(entry.Value)
	if err != nil {
		k.Log.Error().Err(err).Str("job", id).Msg("A job in the inbox can't be read and is left alone.")
		return
	}
	k.Log.Info().Str("job", id).Dur("age_ms", k.WallClock().Sub(time.UnixMilli(record.ArrivedMs))).Msg("Takes a job from the inbox.")
	k.submit(record)
	if s := k.submits[id]; s != nil {
		s.left = true
		s.tell(Stored)
	}
	k.inboxDone[entry.Key] = true
}
