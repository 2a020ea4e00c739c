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

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
	keys  map[string]bool
}

// kvStore is the platform's metadata store.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]kvItem
	history []kvItem
	leases  map[int64]*kvLease
	next    int64
	changed chan struct{}
	// late, while it is set, picks writes that get no answer and are done lateBy later;
	// writes and lates count the writes since then, and those picked.
	late          func(txnRequest) bool
	writes, lates int
}

// lateBy is how much later a write without an answer is done: 1 to 6 s.
const lateBy = 3500 * time.Millisecond

// unanswered is how long a call without an answer is held before its connection ends.
const unanswered = 3 * time.Second

// loseAnswers sets which writes are late; nil for none. It returns how many writes there
// were since it was last called, and how many of them were late.
func (s *kvStore) loseAnswers(late func(txnRequest) bool) (writes, lates int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes, lates = s.writes, s.lates
	s.late, s.writes, s.lates = late, 0, 0
	return writes, lates
}

// isLate counts a write and reports whether it is late.
func (s *kvStore) isLate(txn txnRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.late == nil || !s.late(txn) {
		return false
	}
	s.lates++
	return true
}

func newStore() *kvStore {
	return &kvStore{rev: 100, items: make(map[string]kvItem), leases: make(map[int64]*kvLease), next: 1000, changed: make(chan struct{})}
}

// expire ends the leases that have run out, until done is closed.
func (s *kvStore) expire(done <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) endLeaseLocked(id int64) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		if s.items[key].Lease == id {
			s.rev++
			s.deleteLocked(key)
		}
	}
	s.notifyLocked()
}

func (s *kvStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// deleteLocked removes a key at the current revision.
func (s *kvStore) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, kvItem{Key: key, Rev: s.rev, Tombstone: true})
}

// writeLocked writes a key at the current revision.
func (s *kvStore) writeLocked(key string, value []byte, lease int64) {
	item := kvItem{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	if l := s.leases[lease]; l != nil {
		l.keys[key] = true
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

// put is a write by the operator or a minion.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.writeLocked(key, data, 0)
	s.notifyLocked()
}

// remove is a delete by the platform.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.deleteLocked(key)
	s.notifyLocked()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /auburnglade/kv-key", s.serveKey)
	mux.HandleFunc("GET /auburnglade/kv-range", s.serveRange)
	mux.HandleFunc("GET /auburnglade/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /auburnglade/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /auburnglade/kv-lease", s.serveLease)
	mux.HandleFunc("POST /auburnglade/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /auburnglade/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		At int64 `json:"at"`
	}{item, at})
}

// maxPage is how many items a page has at most.
const maxPage = 500

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := make([]kvItem, 0)
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(storeDelay)
	for waiting := true; ; {
		s.mu.Lock()
		events := make([]kvItem, 0)
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

type txnRequest struct {
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

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn txnRequest
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	if s.isLate(txn) {
		time.AfterFunc(lateBy, func() { s.commit(txn) })
		time.Sleep(unanswered)
		panic(http.ErrAbortHandler)
	}
	status, body := s.commit(txn)
	reply(w, status, body)
}

func (s *kvStore) commit(txn txnRequest) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, map[string]int64{"at": s.rev}
		}
	}
	met, current := true, make([]kvItem, 0)
	for _, expect := range txn.ExpectRev {
		item, ok := s.items[expect.Key]
		if !ok {
			item = kvItem{Key: expect.Key}
		}
		met = met && item.Rev == expect.Rev
		current = append(current, item)
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "at": s.rev}
	}
	s.rev++
	for _, key := range txn.Deletes {
		s.deleteLocked(key)
	}
	for _, write := range txn.Writes {
		s.writeLocked(write.Key, write.Value, write.Lease)
	}
	s.notifyLocked()
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	ttl := max(time.Second, time.Duration(request.TTLMs)*time.Millisecond)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &kvLease{ttl: ttl, until: time.Now().Add(ttl), keys: make(map[string]bool)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(storeDelay)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.until = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.endLeaseLocked(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}
