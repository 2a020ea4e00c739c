package drainer

import (
	"encoding/json"
	"sync"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// publisher has the status of waves written. Nothing reads it to decide.
type publisher struct {
	sink StatusSink

	mu sync.Mutex
	// overAt is the configuration at which a wave was found to be over.
	overAt map[string]store.Revision
}

func newPublisher(sink StatusSink) *publisher {
	return &publisher{sink: sink, overAt: make(map[string]store.Revision)}
}

// over reports whether the wave was found to be over in this very
// configuration: nothing is due before the next change.
func (p *publisher) over(w waveInForce) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overAt[w.name] == w.revision
}

// publish has the status written. A wave that is done isn't over while any host
// is out for it: one that failed may still come back.
func (p *publisher) publish(w waveInForce, status wave.Status, out bool) {
	data, err := json.Marshal(status)
	if err != nil {
		// A Status holds strings, numbers and lists of them only.
		panic(err)
	}
	p.sink.Put(storekeys.Status(record.ID{Kind: record.KindWave, Name: status.Wave}), data)
	if status.Done() && !out {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.overAt[w.name] = w.revision
	}
}
