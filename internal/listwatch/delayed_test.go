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

// delayedStore serves watches at once with the state at their arrival; the responses
// arrive after delay.
type delayedStore struct {
	*memstore.Store
	delay    time.Duration
	servedAt time.Time
}

func (s *delayedStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	batch, err := s.Store.Watch(ctx, prefix, after)
	s.servedAt = time.Now()
	pause.For(ctx, s.delay)
	return batch, err
}

// Guards against a replaced holder that counts its claim as confirmed up to two seconds
// longer than its successor waits: a response shows no state later than its sending.
func TestDelayedResponseShowsNoLaterState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &delayedStore{Store: memstore.New(), delay: 900 * time.Millisecond}
		s.SetWatchWait(time.Second)
		_, err := s.CompareAndSwap(ctx, store.SwapRequest{Key: "p/k", Value: []byte("v")})
		must.NoError(t, err)
		type seen struct{ at, served time.Time }
		shown := make(chan seen, 16)
		w := Watcher{
			Store: s, Prefix: "p/", OnList: func([]store.Entry) {}, OnEvents: func([]store.Event) {},
			OnCurrent: func(at time.Time) { shown <- seen{at, s.servedAt} },
		}
		go w.Run(ctx)
		<-shown
		watched := <-shown
		cancel()
		synctest.Wait()
		must.LessEq(t, 0, watched.at.Sub(watched.served), must.Sprint("the state shown is older than claimed"))
	})
}
