package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store, or the event of a change.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It answers all calls at once
// and keeps its whole history.
type store struct {
	listener net.Listener
	handler  http.Handler
	fronts   []*front
	server   *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*storeLease
	changed  chan struct{}
	closed   bool
}

const (
	pageItems = 500
	pageBytes = 1 << 20
	maxTxn    = 32
)

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	s.handler = mux
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() {
	s.mu.Lock()
	s.closed = true
	s.notify()
	s.mu.Unlock()
	_ = s.server.Close()
	for _, f := range s.fronts {
		_ = f.server.Close()
	}
}

// front is an address of the store for one machine, which the store may turn away.
type front struct {
	server *http.Server
	refuse atomic.Bool
}

func (s *store) newFront(address string) (*front, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &front{}
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handler.ServeHTTP(w, r)
	})}
	s.fronts = append(s.fronts, f)
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// notify wakes the waiting watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// change writes and deletes keys in one revision. The caller holds the lock.
func (s *store) change(writes []item, deletes []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.events = append(s.events, w)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	s.notify()
}

// put writes a key as the operator does.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: []byte(value)}}, nil)
}

// keys returns the keys below a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// value returns the value of a key, nil if it does not exist.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]int64{"as_of": revision})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(items) == pageItems || size > 0 && size+len(i.Value) > pageBytes {
			more = true
			break
		}
		items = append(items, i)
		size += len(i.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, revision int64) int { return int(e.Revision - revision) })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed, closed := s.revision, s.changed, s.closed
		s.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || over {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []item   `json:"writes"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expect)+len(body.Writes)+len(body.Delete) > maxTxn {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expect {
		i := s.items[e.Key]
		if i.Revision != 0 {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.change(body.Writes, body.Delete)
	respond(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	respond(w, http.StatusOK, struct{}{})
}
