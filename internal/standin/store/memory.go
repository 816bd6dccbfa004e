package store

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxValueBytes is the platform's limit of a value.
	maxValueBytes = 1_000_000
	// maxHistory bounds the events kept for watches that start in the past.
	maxHistory = 4096
)

// memory holds keys, leases, the history of changes and the open watches.
type memory struct {
	clock clock.Clock

	mu       sync.Mutex
	revision int64
	keys     map[string]etcdjson.KeyValue
	leases   map[int64]*lease
	lastID   int64
	history  []etcdjson.Event
	// compacted is the highest revision no longer in history.
	compacted int64
	watches   map[*watch]struct{}
}

type lease struct {
	ttl     clock.Millis
	expires clock.Millis
}

// watch is an open watch. Events wait in pending until its handler takes them.
type watch struct {
	key, end []byte
	pending  []etcdjson.Event
	silent   bool
	// wake has room for one signal.
	wake chan struct{}
}

// refusal is an error answer of the gateway.
type refusal struct {
	status int
	body   etcdjson.Error
}

func newMemory(c clock.Clock) *memory {
	return &memory{
		clock:    c,
		revision: 1,
		keys:     map[string]etcdjson.KeyValue{},
		leases:   map[int64]*lease{},
		watches:  map[*watch]struct{}{},
	}
}

func (m *memory) header() etcdjson.Header {
	return etcdjson.Header{ClusterID: 1, MemberID: 1, Revision: m.revision, RaftTerm: 1}
}

func (m *memory) rangeKeys(r etcdjson.RangeRequest) etcdjson.RangeResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	return m.lockedRange(r)
}

func (m *memory) lockedRange(r etcdjson.RangeRequest) etcdjson.RangeResponse {
	response := etcdjson.RangeResponse{Header: m.header()}
	for _, kv := range m.keys {
		if !selects(r.Key, r.RangeEnd, kv.Key) {
			continue
		}
		response.Count++
		if kv.ModRevision < r.MinModRevision {
			continue
		}
		if r.KeysOnly {
			kv.Value = nil
		}
		response.KeyValues = append(response.KeyValues, kv)
	}
	slices.SortFunc(response.KeyValues, func(a, b etcdjson.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return response
}

func selects(key, end, candidate []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, candidate)
	}
	return bytes.Compare(key, candidate) <= 0 && bytes.Compare(candidate, end) < 0
}

func (m *memory) txn(t etcdjson.TxnRequest) (etcdjson.TxnResponse, *refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	succeeded, refused := m.holds(t.Compare)
	if refused != nil {
		return etcdjson.TxnResponse{}, refused
	}
	ops := t.Failure
	if succeeded {
		ops = t.Success
	}
	for _, op := range ops {
		if r := m.checkPut(op.Put); r != nil {
			return etcdjson.TxnResponse{}, r
		}
	}
	response := etcdjson.TxnResponse{Succeeded: succeeded}
	next := m.revision + 1
	for _, op := range ops {
		response.Responses = append(response.Responses, m.run(op, next))
	}
	response.Header = m.header()
	return response, nil
}

func (m *memory) holds(compares []etcdjson.Compare) (bool, *refusal) {
	for _, c := range compares {
		if c.Target != etcdjson.CompareMod || (c.Result != "" && c.Result != etcdjson.CompareEqual) {
			return false, &refusal{http.StatusNotImplemented, etcdjson.Error{
				Code: etcdjson.CodeUnimplemented, Message: "the stand-in compares mod revisions for equality only",
			}}
		}
		if m.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, nil
		}
	}
	return true, nil
}

func (m *memory) checkPut(p *etcdjson.PutRequest) *refusal {
	switch {
	case p == nil:
		return nil
	case len(p.Key) == 0:
		return invalid("etcdserver: key is not provided")
	case len(p.Value) > maxValueBytes:
		return invalid("etcdserver: request is too large")
	case p.Lease != 0 && m.leases[p.Lease] == nil:
		return noLease()
	}
	return nil
}

func invalid(message string) *refusal {
	return &refusal{http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: message}}
}

func noLease() *refusal {
	return &refusal{http.StatusNotFound, etcdjson.Error{Code: etcdjson.CodeNotFound, Message: "etcdserver: requested lease not found"}}
}

// run executes one operation; writes take the revision next.
func (m *memory) run(op etcdjson.RequestOp, next int64) etcdjson.ResponseOp {
	switch {
	case op.Put != nil:
		m.put(*op.Put, next)
		return etcdjson.ResponseOp{Put: &etcdjson.PutResponse{Header: m.header()}}
	case op.DeleteRange != nil:
		deleted := m.deleteRange(*op.DeleteRange, next)
		return etcdjson.ResponseOp{DeleteRange: &etcdjson.DeleteRangeResponse{Header: m.header(), Deleted: deleted}}
	case op.Range != nil:
		r := m.lockedRange(*op.Range)
		return etcdjson.ResponseOp{Range: &r}
	}
	return etcdjson.ResponseOp{}
}

func (m *memory) put(p etcdjson.PutRequest, revision int64) {
	kv, exists := m.keys[string(p.Key)]
	if !exists {
		kv = etcdjson.KeyValue{Key: p.Key, CreateRevision: revision}
	}
	kv.ModRevision = revision
	kv.Version++
	kv.Value = p.Value
	kv.Lease = p.Lease
	m.keys[string(p.Key)] = kv
	m.record(etcdjson.Event{KeyValue: kv}, revision)
}

func (m *memory) deleteRange(d etcdjson.DeleteRangeRequest, revision int64) int64 {
	var deleted int64
	for name, kv := range m.keys {
		if selects(d.Key, d.RangeEnd, kv.Key) {
			m.remove(name, revision)
			deleted++
		}
	}
	return deleted
}

func (m *memory) remove(name string, revision int64) {
	delete(m.keys, name)
	kv := etcdjson.KeyValue{Key: []byte(name), ModRevision: revision}
	m.record(etcdjson.Event{Type: etcdjson.EventDelete, KeyValue: kv}, revision)
}

// record adds a change to the history and to the watches that select it.
func (m *memory) record(e etcdjson.Event, revision int64) {
	m.revision = revision
	m.history = append(m.history, e)
	if len(m.history) > maxHistory {
		m.compacted = m.history[0].KeyValue.ModRevision
		m.history = slices.Clone(m.history[1:])
	}
	for w := range m.watches {
		if !w.silent && selects(w.key, w.end, e.KeyValue.Key) {
			w.pending = append(w.pending, e)
			w.signal()
		}
	}
}

func (w *watch) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (m *memory) grant(ttlSeconds int64) (etcdjson.Lease, *refusal) {
	if ttlSeconds <= 0 {
		return etcdjson.Lease{}, invalid("etcdserver: too small lease TTL")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ttl := clock.Millis(ttlSeconds) * clock.Second
	m.lastID++
	m.leases[m.lastID] = &lease{ttl: ttl, expires: m.clock.Now() + ttl}
	h := m.header()
	return etcdjson.Lease{Header: &h, ID: m.lastID, TTL: ttlSeconds}, nil
}

// keepAlive answers without TTL if the lease does not exist, like the gateway.
func (m *memory) keepAlive(id int64) etcdjson.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	h := m.header()
	response := etcdjson.Lease{Header: &h, ID: id}
	if l := m.leases[id]; l != nil {
		l.expires = m.clock.Now() + l.ttl
		response.TTL = int64(l.ttl / clock.Second)
	}
	return response
}

func (m *memory) revoke(id int64) (etcdjson.Lease, *refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.leases[id] == nil {
		return etcdjson.Lease{}, noLease()
	}
	m.end(id)
	h := m.header()
	return etcdjson.Lease{Header: &h}, nil
}

// expire ends the leases whose time has passed.
func (m *memory) expire() {
	now := m.clock.Now()
	for id, l := range m.leases {
		if l.expires <= now {
			m.end(id)
		}
	}
}

// expireDue is expire for callers that do not hold the lock.
func (m *memory) expireDue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

// expireAll ends every lease at once.
func (m *memory) expireAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.end(id)
	}
}

// end deletes a lease and its keys, all at one revision.
func (m *memory) end(id int64) {
	delete(m.leases, id)
	next := m.revision + 1
	for name, kv := range m.keys {
		if kv.Lease == id {
			m.remove(name, next)
		}
	}
}

// open adds a watch with the events since its start revision pending. It
// returns the first revision that a watch can start from if the requested one
// is compacted.
func (m *memory) open(c etcdjson.WatchCreate) (w *watch, header etcdjson.Header, compacted int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.StartRevision != 0 && c.StartRevision <= m.compacted {
		return nil, m.header(), m.compacted + 1
	}
	w = &watch{key: c.Key, end: c.RangeEnd, wake: make(chan struct{}, 1)}
	for _, e := range m.history {
		if c.StartRevision != 0 && e.KeyValue.ModRevision >= c.StartRevision && selects(w.key, w.end, e.KeyValue.Key) {
			w.pending = append(w.pending, e)
		}
	}
	w.signal()
	m.watches[w] = struct{}{}
	return w, m.header(), 0
}

func (m *memory) close(w *watch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watches, w)
}

// take returns and clears the pending events.
func (m *memory) take(w *watch) ([]etcdjson.Event, etcdjson.Header) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := w.pending
	w.pending = nil
	return events, m.header()
}

// silence stops the deliveries of all open watches without closing them.
func (m *memory) silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.watches {
		w.silent = true
	}
}

func (m *memory) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.watches)
}

// names returns the keys with a prefix, ordered.
func (m *memory) names(prefix string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var names []string
	for name := range m.keys {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
