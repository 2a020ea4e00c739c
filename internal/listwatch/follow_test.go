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

// muteStore answers everything but watches, which hear nothing until their
// time is up.
type muteStore struct{ *memstore.Store }

func (muteStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	pause.For(ctx, 1600*time.Millisecond)
	return store.WatchBatch{}, &store.UnavailableError{Op: "watch", Cause: context.DeadlineExceeded}
}

// Nothing is done for hosts for up to three seconds though the store serves:
// watches fall silent while its history is being dropped, one runs into its
// time-out, and whoever follows asks for news again, which takes as long. A
// list answers at once.
func TestAListAnswersWhereWatchesAreMute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		kept := memstore.New()
		_, err := kept.CompareAndSwap(ctx, store.Write{Key: "p/k", Value: []byte("v")})
		must.NoError(t, err)
		heard := make(chan time.Time, 16)
		f := Watcher{
			Store: muteStore{kept}, Prefix: "p/", RelistOnError: true,
			OnList:   func([]store.Entry) { heard <- time.Now() },
			OnEvents: func([]store.Event) {},
		}
		go f.Run(ctx)
		began := <-heard
		must.Between(t, 1600*time.Millisecond, (<-heard).Sub(began), 1900*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}
