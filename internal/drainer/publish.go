package drainer

import (
	"encoding/json"
	"sync"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// publisher writes the status of waves. The status is never read back for
// decisions.
type publisher struct {
	sink StatusSink

	mu sync.Mutex
	// finishedAt is the configuration revision at which a wave was found finished.
	finishedAt map[string]store.Revision
}

func newPublisher(sink StatusSink) *publisher {
	return &publisher{sink: sink, finishedAt: make(map[string]store.Revision)}
}

// finished reports whether the wave was found finished at its current configuration
// revision. It needs no reconcile until the configuration changes.
func (p *publisher) finished(w activeWave) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finishedAt[w.name] == w.revision
}

// publish writes the status. A wave that is done does not count as finished while
// any host is out for it, because a failed host may still recover.
func (p *publisher) publish(w activeWave, status wave.Status, hostsOut bool) {
	data, err := json.Marshal(status)
	if err != nil {
		// A Status holds only strings, numbers, maps and lists, which always encode.
		panic(err)
	}
	p.sink.Put(storekeys.Status(record.ID{Kind: record.KindWave, Name: status.Wave}), data)
	if status.Done() && !hostsOut {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.finishedAt[w.name] = w.revision
	}
}
