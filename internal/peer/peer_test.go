package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

func newServer(id string) (*peer.Server, *configfeed.Feed) {
	f := configfeed.New(nil, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	return peer.NewServer(member.Member{ID: id, PeerAddress: id}, f), f
}

// listing returns a listing of hosts with records of the given size.
func listing(revision store.Revision, hosts, bytes int) store.Listing {
	list := store.Listing{Revision: revision}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		value, _ := json.Marshal(map[string]string{"host": name, "phase": "serving", "wave": strings.Repeat("w", bytes)})
		list.Entries = append(list.Entries, store.Entry{Key: storekeys.Host(name), Value: value, ModRevision: revision})
	}
	return list
}

// A configuration of 6 MB is transferred over HTTP in several responses of
// bounded size. Without pages the response would be cut off at the client's
// limit.
func TestFullSnapshotInPages(t *testing.T) {
	server, source := newServer("a")
	source.Install(configstate.FromListing(nil, listing(7, 12, 500<<10)))
	prefix, handler := server.Handler()
	web := httptest.NewServer(handler)
	defer web.Close()
	must.StrHasPrefix(t, "/twirp", prefix)
	result, err := peer.NewClient().Fetch(t.Context(), web.Listener.Addr().String(), 0, 0)
	must.NoError(t, err)
	_, target := newServer("b")
	must.NoError(t, target.ApplyDelta(result.Delta))
	must.Eq(t, source.Snapshot().Digest, target.Snapshot().Digest)
}

// slowWriter sends a response in pieces with a pause after each.
type slowWriter struct{ http.ResponseWriter }

func (w slowWriter) Write(p []byte) (int, error) {
	const pieces = 8
	for i := range pieces {
		_, _ = w.ResponseWriter.Write(p[i*len(p)/pieces : (i+1)*len(p)/pieces])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		time.Sleep(200 * time.Millisecond)
	}
	return len(p), nil
}

// Guards against changes that are never read over a thin link.
func TestLargeChangesAreNotGivenUp(t *testing.T) {
	server, source := newServer("a")
	source.Install(configstate.FromListing(nil, listing(7, 2, 100<<10)))
	_, handler := server.Handler()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(slowWriter{w}, r) }))
	defer web.Close()
	result, err := peer.NewClient().Fetch(t.Context(), web.Listener.Addr().String(), 0, time.Millisecond)
	must.NoError(t, err)
	must.EqOp(t, 7, result.Delta.Revision)
}

// changingPeer activates a newer snapshot after the first page.
type changingPeer struct {
	*peer.Server
	change func()
}

func (m changingPeer) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	response, err := m.Server.Fetch(ctx, r)
	m.change()
	return response, err
}

// The configuration changes while a client is paging through it, more often
// than old snapshots are kept. All pages of one result must have the same
// revision; a mix of revisions would be a configuration that never existed.
func TestPagesHaveOneRevision(t *testing.T) {
	server, source := newServer("a")
	revision := store.Revision(7)
	source.Install(configstate.FromListing(nil, listing(revision, 12, 200<<10)))
	changing := changingPeer{server, func() {
		// Five other clients evict the snapshot kept for this one.
		for range 5 {
			if revision < 12 {
				revision++
				source.Install(configstate.FromListing(nil, listing(revision, 12, 200<<10)))
				_, _ = server.Fetch(t.Context(), &peerpb.FetchRequest{})
			}
		}
	}}
	client := peer.NewClient(peer.WithDial(func(string) peerpb.Peer { return changing }))
	result, err := client.Fetch(t.Context(), "a", 0, 0)
	must.NoError(t, err)
	_, target := newServer("b")
	must.NoError(t, target.ApplyDelta(result.Delta))
}

// Any message must show a process that it is behind. A process with the same
// contents at a lower revision must advance without fetching.
func TestAnyMessageRevealsLag(t *testing.T) {
	ahead, source := newServer("a")
	source.Install(configstate.FromListing(nil, listing(7, 3, 10)))
	server, f := newServer("b")
	var notified []string
	server.OnPeerAhead(func(address string) { notified = append(notified, address) })
	server.HandlePresence(ahead.Presence())
	must.Eq(t, []string{"a"}, notified)
	must.Eq(t, 7, f.SeenRevision())
	f.Install(source.Snapshot())
	source.Install(source.Snapshot().Apply(store.WatchBatch{Revision: 9}))
	server.HandlePresence(ahead.Presence())
	must.Eq(t, []string{"a"}, notified)
	must.Eq(t, 9, f.Snapshot().Revision)
}

// A process must report the served revisions that it received from others, so
// that a controller calls a few relays instead of every gateway.
func TestConfirmedIncludesReportedRevisions(t *testing.T) {
	server, f := newServer("relay")
	f.Install(configstate.FromListing(nil, listing(7, 3, 10)))
	server.HandlePresence(&peerpb.Presence{Member: "g1", ServedRevision: 7})
	server.HandlePresence(&peerpb.Presence{Member: "g2", ServedRevision: 6})
	server.HandlePresence(&peerpb.Presence{Member: "g1", ServedRevision: 5})
	response, err := server.Confirmed(t.Context(), &peerpb.ConfirmedRequest{Revision: 7})
	must.NoError(t, err)
	must.SliceContainsAll(t, []string{"relay", "g1"}, response.Members)
}
