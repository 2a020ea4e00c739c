package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store, as PROTOCOL.md shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// kv is a stand-in for the platform's store. A call is executed after half of the delay and
// answered after the other half.
type kv struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []change
	// compacted is the last revision that watches can't be told of any more.
	compacted int64
	leases    map[int64]*lease
	nextID    int64
	changed   chan struct{}
	delay     time.Duration
	// onWrite is called, without the lock, with each key that a call has written.
	onWrite func(key string)
}

const (
	// storeDelay is what the store takes for an answer, zoneDelay the way to another zone.
	storeDelay    = 4 * time.Millisecond
	zoneDelay     = 1400 * time.Microsecond
	maxValueBytes = 1 << 20
	// retention is how long changes are kept for watches.
	retention = 20 * time.Second
)

// change is an entry as it was written or deleted.
type change struct {
	item
	at time.Time
}

func newKV() *kv {
	return &kv{rev: 10, items: make(map[string]item), leases: make(map[int64]*lease), nextID: 100, changed: make(chan struct{}), delay: storeDelay}
}

func (s *kv) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *kv) halfDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay / 2
}

// expire removes the keys of leases that have run out.
func (s *kv) expire() {
	for range time.Tick(5 * time.Millisecond) {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > retention {
			s.compacted = s.history[0].Rev
			s.history = s.history[1:]
		}
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kv) endLeaseLocked(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.deleteLocked(key)
		}
	}
	s.wakeLocked()
}

func (s *kv) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{item{Key: key, Rev: s.rev, Tombstone: true}, time.Now()})
}

func (s *kv) putLocked(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, change{it, time.Now()})
}

func (s *kv) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry as the operator or a minion does.
func (s *kv) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, data, 0)
	s.wakeLocked()
}

// remove deletes an entry as the platform does.
func (s *kv) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.deleteLocked(key)
	s.wakeLocked()
}

func (s *kv) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *kv) withPrefix(prefix string) []item {
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_, _ = w.Write(data)
}

func (s *kv) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(s.halfDelay())
			status, body := serve(r)
			time.Sleep(s.halfDelay())
			reply(w, status, body)
		})
	}
	handle("GET /auburnglade/kv-key", s.serveKey)
	handle("GET /auburnglade/kv-range", s.serveRange)
	handle("GET /auburnglade/kv-watch", s.serveWatch)
	handle("POST /auburnglade/kv-txn", s.serveTxn)
	handle("POST /auburnglade/kv-lease", s.serveLease)
	handle("POST /auburnglade/kv-keep/{id}", s.serveKeep)
	handle("DELETE /auburnglade/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

type empty struct{}

func (s *kv) serveKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, empty{}
	}
	return http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, s.rev}
}

func (s *kv) serveRange(r *http.Request) (int, any) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	after, items := r.URL.Query().Get("after"), []item{}
	more := false
	for _, it := range s.withPrefix(r.URL.Query().Get("prefix")) {
		if it.Key <= after {
			continue
		}
		if len(items) == page {
			more = true
			break
		}
		items = append(items, it)
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.rev}
}

func (s *kv) serveWatch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	waitMs, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, empty{}
		}
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it.item)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, empty{}
		}
	}
}

type txn struct {
	ExpectRev []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expectRev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *kv) serveTxn(r *http.Request) (int, any) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, empty{}
	}
	status, body := s.execute(&t)
	if status == http.StatusOK && s.onWrite != nil {
		for _, write := range t.Writes {
			s.onWrite(write.Key)
		}
	}
	return status, body
}

func (s *kv) execute(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range t.ExpectRev {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Rev != e.Rev
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range t.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, empty{}
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, empty{}
		}
	}
	for _, write := range t.Writes {
		if len(write.Value) > maxValueBytes {
			return http.StatusBadRequest, empty{}
		}
	}
	s.rev++
	for _, write := range t.Writes {
		s.putLocked(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	s.wakeLocked()
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

func (s *kv) serveLease(r *http.Request) (int, any) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return http.StatusBadRequest, empty{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(1000, min(600_000, request.TTLMs))) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.nextID, "ttlMs": ttl.Milliseconds()}
}

func (s *kv) serveKeep(r *http.Request) (int, any) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, empty{}
	}
	l.until = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]int64{"lease": id, "ttlMs": l.ttl.Milliseconds()}
}

func (s *kv) serveLeaseEnd(r *http.Request) (int, any) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeaseLocked(id)
	return http.StatusOK, empty{}
}
