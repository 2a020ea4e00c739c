package hostmanager

import (
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/store/memstore"
)

// Guards against a process that ends by a concurrent write of a map: a wave begins while
// hosts of another one are sent to their maintenance.
func TestWaveBeginsWhileHostsOfAnotherGoDown(t *testing.T) {
	m := New(Config{Store: memstore.New(), Log: zerolog.Nop(), Metrics: NewMetrics(nil)}, 1, 1, nil)
	first := Wave{Number: 1, Hosts: []string{"h"}, MaxDown: 1}
	must.NotNil(t, m.loadWaveState(t.Context(), first))
	m.operations["h"] = &operation{wave: first.Number}
	var reserving sync.WaitGroup
	reserving.Go(func() {
		for range 2000 {
			m.reserveDown(first, "h")
		}
	})
	for number := int64(2); number < 500; number++ {
		must.NotNil(t, m.loadWaveState(t.Context(), Wave{Number: number}))
	}
	reserving.Wait()
}
