package peer

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// FuzzFetchResponse applies a peer's response with arbitrary bytes to an active
// configuration. It must not panic, decrease the revision, or accept contents
// whose digest differs from the announced one; a refused response must leave
// the configuration unchanged.
func FuzzFetchResponse(f *testing.F) {
	active := configstate.FromListing(nil, store.Listing{Revision: 5, Entries: []store.Entry{
		{Key: storekeys.Host("host-001"), Value: []byte(`{"host":"host-001","phase":"serving"}`), ModRevision: 4},
		{Key: storekeys.SpecPrefix + "Quota/a", Value: []byte(`{"kind":"Quota","name":"a","schema":1,"spec":{"team":"a","resources":{"milliCpu":1,"memoryMb":1}}}`), ModRevision: 5},
	}})
	f.Add(encoded(f, active.FullDelta()))
	later := active.Apply(store.WatchBatch{Revision: 9, Events: []store.Event{
		{Entry: store.Entry{Key: storekeys.Host("host-002"), Value: []byte(`{`), ModRevision: 9}},
		{Entry: store.Entry{Key: storekeys.Host("host-001"), ModRevision: 8}, Deleted: true},
	}})
	f.Add(encoded(f, later.FullDelta()))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var response peerpb.FetchResponse
		if proto.Unmarshal(data, &response) != nil {
			return
		}
		delta := decodeDelta(&response)
		next, err := active.ApplyDelta(delta)
		must.GreaterEq(t, active.Revision, next.Revision)
		if err != nil {
			must.True(t, next == active)
			return
		}
		if delta.Revision > active.Revision || delta.Full {
			must.EqOp(t, delta.Digest, next.Digest)
		}
		// An accepted configuration can be sent on and accepted again.
		again, err := configstate.Empty().ApplyDelta(next.FullDelta())
		must.NoError(t, err)
		must.EqOp(t, next.Digest, again.Digest)
	})
}

func encoded(f *testing.F, delta configstate.Delta) []byte {
	f.Helper()
	var response peerpb.FetchResponse
	encodeDelta(&response, delta)
	data, err := proto.Marshal(&response)
	must.NoError(f, err)
	return data
}
