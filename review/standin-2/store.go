package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type itemAt struct {
	item
	At int64 `json:"at"`
}

// kvStore is the platform's store.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	log     []item
	leases  map[int64]time.Time
	ttls    map[int64]time.Duration
	nextID  int64
	changed chan struct{}
	// written, if not nil, is called after a transaction with the keys that it wrote.
	written func(keys []string)
}

func newStore() *kvStore {
	s := &kvStore{
		rev: 1000, nextID: 70000, items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}),
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *kvStore) endLeaseLocked(id int64) {
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.deleteLocked(key)
		}
	}
}

func (s *kvStore) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.noteLocked(item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *kvStore) putLocked(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.noteLocked(it)
}

func (s *kvStore) noteLocked(it item) {
	s.log = append(s.log, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put and remove are writes of the operator and of minions.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, data, 0)
}

func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.deleteLocked(key)
}

// value returns the value of a key, nil for none.
func (s *kvStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone away gets nothing.
	_, _ = w.Write(data)
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

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /auburnglade/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]int64{"at": at})
			return
		}
		reply(w, 200, itemAt{it, at})
	})
	mux.HandleFunc("GET /auburnglade/kv-range", s.list)
	mux.HandleFunc("GET /auburnglade/kv-watch", s.watch)
	mux.HandleFunc("POST /auburnglade/kv-txn", s.txn)
	mux.HandleFunc("POST /auburnglade/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, 400, struct{}{})
			return
		}
		ttl := max(time.Second, time.Duration(in.TTLMs)*time.Millisecond)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id], s.ttls[id] = time.Now().Add(ttl), ttl
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
	})
	mux.HandleFunc("POST /auburnglade/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		ttl, ok := s.ttls[id]
		if ok {
			s.leases[id] = time.Now().Add(ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, struct{}{})
			return
		}
		reply(w, 200, map[string]int64{"ttlMs": ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /auburnglade/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLeaseLocked(id)
		s.mu.Unlock()
		reply(w, 200, struct{}{})
	})
	return mux
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	keys = keys[:min(500, len(keys))]
	items := make([]item, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "at": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.log, after+1, func(it item, rev int64) int { return int(it.Rev - rev) })
		for _, it := range s.log[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.ExpectRev)+len(in.Writes)+len(in.Deletes) > 32 {
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range in.ExpectRev {
		it, ok := s.items[e.Key]
		failed = failed || it.Rev != e.Rev
		if ok {
			current = append(current, it)
		} else {
			current = append(current, item{Key: e.Key})
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range in.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, 404, struct{}{})
			return
		}
	}
	s.rev++
	for _, p := range in.Writes {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.deleteLocked(key)
	}
	reply(w, 200, map[string]int64{"rev": s.rev})
	if s.written != nil {
		keys := []string{}
		for _, p := range in.Writes {
			keys = append(keys, p.Key)
		}
		go s.written(keys)
	}
}
