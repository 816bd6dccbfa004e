package backend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/teaseltide/teaseltide/internal/httpd"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// DefaultHeartbeatTimeout is the time without an announcement after which
	// the backend server counts as lost. It announces itself every second.
	DefaultHeartbeatTimeout = 3 * clock.Second
	// maxAnnounceBytes bounds the body of an announcement: maxServices names
	// of maxNameBytes and their JSON fit.
	maxAnnounceBytes = 64 << 10
	maxHeaderBytes   = 16 << 10
	// maxAnnounceConnections bounds the connections of the listener, whose only
	// client is the backend server.
	maxAnnounceConnections = 64
)

// announceLimits close a connection if no complete request arrives within 10 s
// of the last response, the sum of IdleTimeout and ReadTimeout.
var announceLimits = httpd.Limits{
	MaxBody:        maxAnnounceBytes,
	MaxHeader:      maxHeaderBytes,
	MaxConnections: maxAnnounceConnections,
	MaxPipelined:   4,
	MaxBuffered:    maxAnnounceConnections * (maxAnnounceBytes + maxHeaderBytes),
	ReadTimeout:    5 * clock.Second,
	IdleTimeout:    5 * clock.Second,
	WriteTimeout:   10 * clock.Second,
	HandleTimeout:  10 * clock.Second,
}

// ListenerConfig holds the settings of a Listener.
type ListenerConfig struct {
	// Address is the IP address and port to listen on.
	Address string
	// OnState is called for every change of the state, sequentially and in
	// order. It must not call the Listener.
	OnState func(State)
	Clock   clock.Clock
	// HeartbeatTimeout defaults to DefaultHeartbeatTimeout.
	HeartbeatTimeout clock.Millis
}

// Listener receives the announcements of the backend server.
type Listener struct {
	cfg    ListenerConfig
	server *httpd.Server

	mu          sync.Mutex
	state       State
	announced   bool
	announcedAt clock.Millis
	timer       *time.Timer
	closed      bool
}

// Listen starts a Listener. Its error is an *Error.
func Listen(cfg ListenerConfig) (*Listener, error) {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	l := &Listener{cfg: cfg}
	l.timer = time.AfterFunc(cfg.HeartbeatTimeout.Duration(), l.expire)
	l.timer.Stop()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/announce", l.serveAnnounce)
	server, err := httpd.New(cfg.Address, announceLimits, clock.NewSystem(), mux, encodeRefusal)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l.server = server
	return l, nil
}

// Addr returns the ip:port on which the listener accepts connections.
func (l *Listener) Addr() string {
	return l.server.Addr()
}

// Close stops the listener. OnState is not called after Close has returned.
func (l *Listener) Close() {
	l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.timer.Stop()
}

func (l *Listener) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeError(w, http.StatusMethodNotAllowed, &Error{Op: "announce", Kind: KindMethod, Detail: "use POST"})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnounceBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, &Error{Op: "announce", Kind: KindMalformed, Err: err})
		return
	}
	a, err := parseAnnouncement(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	l.applyAnnouncement(a)
	w.WriteHeader(http.StatusNoContent)
}

const contentTypeJSON = "application/json"

// errorBody is the JSON body of the response to a rejected announcement.
type errorBody struct {
	Code    Kind   `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	body := errorBody{Code: KindMalformed, Message: err.Error()}
	var e *Error
	if errors.As(err, &e) {
		body.Code = e.Kind
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	// If this fails, the peer gets a truncated response and announces itself
	// again anyway.
	_ = json.NewEncoder(w).Encode(body)
}

// encodeRefusal encodes a refusal of the HTTP server in the form used by
// serveAnnounce.
func encodeRefusal(r httpd.Refusal) (contentType string, body []byte) {
	code := Kind(r.Reason)
	if r.Reason == httpd.Malformed {
		code = KindMalformed
	}
	// A struct of strings can always be encoded.
	body, _ = json.Marshal(errorBody{Code: code, Message: r.Message})
	return contentTypeJSON, body
}

// applyAnnouncement restarts the heartbeat timeout and calls OnState if the
// state has changed.
func (l *Listener) applyAnnouncement(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.announcedAt = l.cfg.Clock.Now()
	l.timer.Reset(l.cfg.HeartbeatTimeout.Duration())
	if l.announced && !l.state.Lost && l.state.equal(&a) {
		return
	}
	l.announced = true
	l.state = State{Announcement: a}
	l.cfg.OnState(l.state)
}

// expire reports the backend server as lost. The timer can fire while an
// announcement is being handled, so expire checks the time of the last one.
func (l *Listener) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.Lost {
		return
	}
	left := l.announcedAt + l.cfg.HeartbeatTimeout - l.cfg.Clock.Now()
	if left > 0 {
		l.timer.Reset(left.Duration())
		return
	}
	l.state.Lost = true
	l.cfg.OnState(l.state)
}
