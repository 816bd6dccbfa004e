// Package store is a stand-in for the platform's store, for tests and the
// demo. It serves the calls of the etcd v3 JSON gateway that teaseltide uses
// from memory, and faults on request:
//
//	POST /faults  sets the Faults, GET /faults returns them
//	GET /counts   returns the Counts
//
// It uses net/http, because watches stream a response without end and faults
// cut connections, which nbhttp's server does not offer.
package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/etcdjson"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxRequestBytes leaves room for a value of the largest size in base64.
	maxRequestBytes = 2 << 20
	// expiryInterval is how often leases are checked between calls.
	expiryInterval = 20 * time.Millisecond
	headerTimeout  = 5 * time.Second
)

// Faults are the faults to simulate. Setting them replaces all of them.
type Faults struct {
	// Down cuts every call before it takes effect, and all open watches.
	// Leases expire meanwhile.
	Down bool `json:"down"`
	// DelayMs delays every call before it takes effect. It takes effect also
	// if the client gives up in between.
	DelayMs int `json:"delay-ms"`
	// LoseNextAnswers is the number of writes (txn, lease grant and revoke)
	// that take effect while their response is cut.
	LoseNextAnswers int `json:"lose-next-answers"`
	// LoseAnswersTo are prefixes of keys. For each one, the response to the next
	// txn that puts such a key is cut after the txn has taken effect. A prefix
	// that is listed twice loses two answers.
	LoseAnswersTo []string `json:"lose-answers-to"`
	// ExpireLeases ends all present leases once.
	ExpireLeases bool `json:"expire-leases"`
	// CutWatches closes all open watches once.
	CutWatches bool `json:"cut-watches"`
	// SilenceWatches stops all deliveries on the open watches once, without
	// closing them.
	SilenceWatches bool `json:"silence-watches"`
}

// Counts are the calls since the start and the watches that wait now.
type Counts struct {
	// Calls by kind: range, txn, lease-grant, lease-keepalive, lease-revoke
	// and watch. Calls that Down cut are left out.
	Calls       map[string]int `json:"calls"`
	OpenWatches int            `json:"waiting-watches"`
}

// Settings configures Run.
type Settings struct {
	// Listen is the ip:port to listen on.
	Listen string
	// OnListen, if not nil, is told the URL once the server listens.
	OnListen func(url string)
}

// Run serves until ctx ends.
func Run(ctx context.Context, settings Settings) error {
	s, err := New(settings.Listen)
	if err != nil {
		return err
	}
	defer s.Close()
	if settings.OnListen != nil {
		settings.OnListen(s.URL())
	}
	select {
	case <-ctx.Done():
		return nil
	case <-s.ended:
		return errors.New("stand-in store: stopped serving")
	}
}

// Server is a running stand-in.
type Server struct {
	memory   *memory
	listener net.Listener
	http     *http.Server
	// ended is closed when the server no longer serves.
	ended chan struct{}

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
	// cut is closed to end the open watches, and then replaced.
	cut chan struct{}
}

// New starts a stand-in that listens on an ip:port.
func New(listen string) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in store")
	}
	s := &Server{
		memory:   newMemory(clock.NewSystem()),
		listener: listener,
		ended:    make(chan struct{}),
		calls:    map[string]int{},
		cut:      make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(s.ended)
		_ = s.http.Serve(listener)
	}()
	go s.expireLeases()
	return s, nil
}

// URL returns the base URL, http://ip:port.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops serving and cuts all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.ended
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	if f.Down || f.CutWatches {
		close(s.cut)
		s.cut = make(chan struct{})
	}
	s.mu.Unlock()
	if f.ExpireLeases {
		s.memory.expireAll()
	}
	if f.SilenceWatches {
		s.memory.silence()
	}
}

// Counts returns the present counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		calls[kind] = n
	}
	return Counts{Calls: calls, OpenWatches: s.memory.waiting()}
}

// Keys returns the present keys with a prefix, ordered.
func (s *Server) Keys(prefix string) []string { return s.memory.names(prefix) }

func (s *Server) expireLeases() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.memory.expireDue()
		case <-s.ended:
			return
		}
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+etcdjson.PathRange, call(s, "range", false, func(r etcdjson.RangeRequest) (any, *refusal) {
		return s.memory.rangeKeys(r), nil
	}))
	mux.HandleFunc("POST "+etcdjson.PathTxn, call(s, "txn", true, func(r etcdjson.TxnRequest) (any, *refusal) {
		response, refused := s.memory.txn(r)
		if response.Succeeded && s.losesAnswerTo(r.Success) {
			panic(http.ErrAbortHandler)
		}
		return response, refused
	}))
	mux.HandleFunc("POST "+etcdjson.PathGrant, call(s, "lease-grant", true, func(r etcdjson.Lease) (any, *refusal) {
		response, refused := s.memory.grant(r.TTL)
		return response, refused
	}))
	mux.HandleFunc("POST "+etcdjson.PathKeepAlive, call(s, "lease-keepalive", false, func(r etcdjson.Lease) (any, *refusal) {
		response := s.memory.keepAlive(r.ID)
		return etcdjson.KeepAliveResponse{Result: &response}, nil
	}))
	mux.HandleFunc("POST "+etcdjson.PathRevoke, call(s, "lease-revoke", true, func(r etcdjson.Lease) (any, *refusal) {
		response, refused := s.memory.revoke(r.ID)
		return response, refused
	}))
	mux.HandleFunc("POST "+etcdjson.PathWatch, s.watch)
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, s.faults)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Counts())
	})
	return mux
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, invalid(err.Error()).body)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

// call returns the handler of a call with one response. A write's answer can
// be lost.
func call[T any](s *Server, kind string, write bool, serve func(T) (any, *refusal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request T
		if !receive(w, r, &request) {
			return
		}
		s.arrive(kind)
		response, refused := serve(request)
		if write && s.loses() {
			panic(http.ErrAbortHandler)
		}
		if refused != nil {
			reply(w, refused.status, refused.body)
			return
		}
		reply(w, http.StatusOK, response)
	}
}

func receive(w http.ResponseWriter, r *http.Request, request any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(request)
	if err != nil {
		reply(w, http.StatusBadRequest, invalid(err.Error()).body)
	}
	return err == nil
}

// arrive counts a call and applies the faults that precede its effect.
func (s *Server) arrive(kind string) {
	s.mu.Lock()
	f := s.faults
	if !f.Down {
		s.calls[kind]++
	}
	s.mu.Unlock()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
}

func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseNextAnswers <= 0 {
		return false
	}
	s.faults.LoseNextAnswers--
	return true
}

// losesAnswerTo reports whether the answer to these operations is to be lost,
// and takes the prefix that says so off the list.
func (s *Server) losesAnswerTo(ops []etcdjson.RequestOp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.faults.LoseAnswersTo, func(prefix string) bool {
		return slices.ContainsFunc(ops, func(op etcdjson.RequestOp) bool {
			return op.Put != nil && strings.HasPrefix(string(op.Put.Key), prefix)
		})
	})
	if i < 0 {
		return false
	}
	s.faults.LoseAnswersTo = slices.Delete(s.faults.LoseAnswersTo, i, i+1)
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// watch streams the events of a watch until the client or a fault ends it.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.WatchRequest
	if !receive(w, r, &request) {
		return
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	s.arrive("watch")
	opened, header, first := s.memory.open(request.Create)
	if opened == nil {
		send(w, etcdjson.WatchResult{Header: header, Created: true})
		send(w, etcdjson.WatchResult{Header: header, Canceled: true, CompactRevision: first})
		return
	}
	defer s.memory.close(opened)
	send(w, etcdjson.WatchResult{Header: header, Created: true})
	for {
		select {
		case <-opened.wake:
			events, header := s.memory.take(opened)
			if len(events) > 0 {
				send(w, etcdjson.WatchResult{Header: header, Events: events})
			}
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-s.ended:
			return
		}
	}
}

func send(w http.ResponseWriter, result etcdjson.WatchResult) {
	_ = json.NewEncoder(w).Encode(etcdjson.WatchResponse{Result: &result})
	_ = http.NewResponseController(w).Flush()
}
