package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
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

// store is a stand-in of the platform's metadata store. It serves every machine at
// an address of its own. A machine reads the addresses of other machines as those of
// the links to them, which stand for the network between the two.
type store struct {
	record *record

	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*storeLease
	servers  []*http.Server
}

// answerTime is how long the store takes to answer.
const answerTime = 4 * time.Millisecond

func newStore(r *record) *store {
	s := &store{record: r, revision: 100, items: make(map[string]item), leases: make(map[int64]*storeLease)}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// serve serves one machine. rewrite maps the addresses in registrations to those by
// which the machine reaches them.
func (s *store) serve(l net.Listener, rewrite func() map[string]string) {
	mux := http.NewServeMux()
	view := func(i item) item {
		if strings.Contains(i.Key, "/sidecars/") || strings.Contains(i.Key, "/entries/") {
			for from, to := range rewrite() {
				i.Value = bytes.ReplaceAll(i.Value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
			}
		}
		return i
	}
	mux.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, view) })
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, view) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, view) })
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: slow, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a key as the operator does and returns the time of the acknowledgement.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, []byte(value), 0)
	return time.Now()
}

func (s *store) write(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.note("store writes", i)
	s.changed.Broadcast()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	i := item{Key: key, Revision: s.revision, Tombstone: true}
	s.history = append(s.history, i)
	s.note("store removes", i)
	s.changed.Broadcast()
}

// note records the changes that matter for a case.
func (s *store) note(what string, i item) {
	if strings.Contains(i.Key, "/deposed/") {
		s.record.add(what, "key", i.Key, "value", string(i.Value))
		return
	}
	if strings.Contains(i.Key, "/entries/") || strings.Contains(i.Key, "/open/") || strings.Contains(i.Key, "/ended/") || strings.HasPrefix(i.Key, "op/") {
		s.record.add(what, "key", i.Key)
	}
}

// expire removes the keys of leases that have run out.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request, view func(item) item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]int64{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{view(i), s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request, view func(item) item) {
	const page = 500
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
	items := []item{}
	for _, key := range keys[:min(len(keys), page)] {
		items = append(items, view(s.items[key]))
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > page, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, view func(item) item) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, view(e))
			}
		}
		if len(events) > 0 || !time.Now().Before(until) {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": s.revision})
			return
		}
		if r.Context().Err() != nil {
			return
		}
		s.changed.Wait()
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expect)+len(body.Writes)+len(body.Delete) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.Writes {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Delete {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(body.TTL, 1000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	d := time.Duration(ttl) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: d, expires: time.Now().Add(d)}
	answer(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	answer(w, http.StatusOK, struct{}{})
}
