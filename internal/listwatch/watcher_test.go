package listwatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// timeoutWatchStore serves all calls but watches, which time out.
type timeoutWatchStore struct{ *memstore.Store }

func (timeoutWatchStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	pause.For(ctx, 1600*time.Millisecond)
	return store.WatchBatch{}, &store.UnavailableError{Op: "watch", Cause: context.DeadlineExceeded}
}

// While the store drops its history, watches get no response and time out although
// lists work. Watching again would take as long, and nothing would be done for hosts
// for up to three seconds, so the watcher must list instead.
func TestRelistAfterWatchTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		base := memstore.New()
		_, err := base.CompareAndSwap(ctx, store.SwapRequest{Key: "p/k", Value: []byte("v")})
		must.NoError(t, err)
		lists := make(chan time.Time, 16)
		w := Watcher{
			Store: timeoutWatchStore{base}, Prefix: "p/", RelistOnError: true,
			OnList:   func([]store.Entry) { lists <- time.Now() },
			OnEvents: func([]store.Event) {},
		}
		go w.Run(ctx)
		start := <-lists
		must.Between(t, 1600*time.Millisecond, (<-lists).Sub(start), 1900*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}
