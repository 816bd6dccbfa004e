package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswer   = 4 * time.Millisecond
	storePageSize = 500
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md).
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	answer   time.Duration
	busy     bool
	// afterTxn, if not nil, is called once a transaction has been applied, before its
	// answer is sent. If it returns true, the answer is lost.
	afterTxn func(t txn) bool
	// writes counts the transactions that were applied, lost those whose answer was lost.
	writes, lost int
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Delete []string `json:"delete"`
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 100, changed: make(chan struct{}), items: make(map[string]item), leases: make(map[int64]*lease), answer: storeAnswer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A call takes effect in the middle of the time that its answer takes.
		time.Sleep(s.answerTime() / 2)
		if s.isBusy() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

// viewKey is the context key of the addresses that a caller sees instead of others.
type viewKey struct{}

// serveAt also serves the store at an address, for one machine. In the values that the
// machine reads, the addresses in view are replaced, so that it connects through links.
func (s *store) serveAt(address string, view map[string]string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.server.Handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), viewKey{}, view)))
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// seen returns an item as the caller of a request sees it.
func (i item) seen(r *http.Request) item {
	view, _ := r.Context().Value(viewKey{}).(map[string]string)
	for address, other := range view {
		i.Value = bytes.ReplaceAll(i.Value, []byte(`"`+address+`"`), []byte(`"`+other+`"`))
	}
	return i
}

func (s *store) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setAnswerTime sets how long answers take.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = d
}

// setBusy makes the store answer all calls with 503.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.notify()
}

// counts returns the numbers of writes and of lost answers so far.
func (s *store) counts() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}

func (s *store) setAfterTxn(f func(txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterTxn = f
}

// notify wakes up the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if !s.busy && now.After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// put writes a key as the operator does.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, []byte(value), 0)
	s.notify()
}

func (s *store) respond(w http.ResponseWriter, status int, body any) {
	time.Sleep(s.answerTime() / 2)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		s.respond(w, http.StatusNotFound, map[string]int64{"as_of": asOf})
		return
	}
	s.respond(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i.seen(r), asOf})
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
	items := []item{}
	for _, key := range keys[:min(len(keys), storePageSize)] {
		items = append(items, s.items[key].seen(r))
	}
	asOf := s.revision
	s.mu.Unlock()
	s.respond(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > storePageSize, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e.seen(r))
			}
		}
		asOf, changed, busy := s.revision, s.changed, s.busy
		s.mu.Unlock()
		if busy {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || expired {
			s.respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Writes)+len(t.Delete) > 32 {
		s.respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	status, body, applied := s.apply(t)
	if applied != nil && applied(t) {
		s.mu.Lock()
		s.lost++
		s.mu.Unlock()
		// A connection on which a response is lost returns nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.respond(w, status, body)
}

func (s *store) apply(t txn) (int, any, func(txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, e := range t.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}, nil
	}
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}, nil
		}
	}
	s.revision++
	s.writes++
	for _, p := range t.Writes {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.revision}, s.afterTxn
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		s.respond(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	s.respond(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		s.respond(w, http.StatusNotFound, struct{}{})
		return
	}
	s.respond(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	if s.leases[id] != nil {
		s.dropLease(id)
	}
	s.mu.Unlock()
	s.respond(w, http.StatusOK, struct{}{})
}
