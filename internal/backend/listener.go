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
	// maxAnnounceBytes bounds the body of an announcement: 256 names of 128
	// bytes and their JSON fit.
	maxAnnounceBytes = 64 << 10
	maxHeaderBytes   = 16 << 10
	// announceConnections bounds the connections of the listener, which has
	// one client.
	announceConnections = 64
)

// announceLimits close a connection on which no whole request has arrived
// within 10 s of the last response, that is IdleTimeout and ReadTimeout.
var announceLimits = httpd.Limits{
	MaxBody:        maxAnnounceBytes,
	MaxHeader:      maxHeaderBytes,
	MaxConnections: announceConnections,
	MaxPipelined:   4,
	MaxBuffered:    announceConnections * (maxAnnounceBytes + maxHeaderBytes),
	ReadTimeout:    5 * clock.Second,
	IdleTimeout:    5 * clock.Second,
	WriteTimeout:   10 * clock.Second,
	HandleTimeout:  10 * clock.Second,
}

// ListenerConfig holds the properties of a Listener.
type ListenerConfig struct {
	// Address to listen on, an IP address and a port.
	Address string
	// OnState is called for every change of the state, one call at a time and
	// in order. It must not call the Listener.
	OnState func(State)
	Clock   clock.Clock
	// HeartbeatTimeout defaults to DefaultHeartbeatTimeout.
	HeartbeatTimeout clock.Millis
}

// Listener receives the announcements of the backend server.
type Listener struct {
	cfg    ListenerConfig
	server *httpd.Server

	mu      sync.Mutex
	state   State
	seen    bool
	seenAt  clock.Millis
	timer   *time.Timer
	stopped bool
}

// Listen starts a listener. Its error is an *Error.
func Listen(cfg ListenerConfig) (*Listener, error) {
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = DefaultHeartbeatTimeout
	}
	l := &Listener{cfg: cfg}
	l.timer = time.AfterFunc(cfg.HeartbeatTimeout.Duration(), l.expire)
	l.timer.Stop()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/announce", l.serveAnnounce)
	server, err := httpd.New(cfg.Address, announceLimits, clock.NewSystem(), mux, refusalBody)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l.server = server
	return l, nil
}

// Addr returns the ip:port that the listener is bound to.
func (l *Listener) Addr() string {
	return l.server.Addr()
}

// Close stops the listener. OnState is not called after Close has returned.
func (l *Listener) Close() {
	l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
}

func (l *Listener) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		refuse(w, http.StatusMethodNotAllowed, &Error{Op: "announce", Kind: KindMethod, Detail: "use POST"})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnounceBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, &Error{Op: "announce", Kind: KindMalformed, Err: err})
		return
	}
	a, err := parseAnnouncement(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	l.announce(a)
	w.WriteHeader(http.StatusNoContent)
}

const jsonType = "application/json"

// refusal is the JSON body of a refused announcement.
type refusal struct {
	Code    Kind   `json:"code"`
	Message string `json:"message"`
}

func refuse(w http.ResponseWriter, status int, err error) {
	body := refusal{Code: KindMalformed, Message: err.Error()}
	var e *Error
	if errors.As(err, &e) {
		body.Code = e.Kind
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	// The peer sees a cut response if this fails; it announces again anyway.
	_ = json.NewEncoder(w).Encode(body)
}

// refusalBody encodes the refusals of the HTTP server like those of serveAnnounce.
func refusalBody(r httpd.Refusal) (contentType string, body []byte) {
	code := Kind(r.Reason)
	if r.Reason == httpd.Malformed {
		code = KindMalformed
	}
	// A struct of strings can always be encoded.
	body, _ = json.Marshal(refusal{Code: code, Message: r.Message})
	return jsonType, body
}

func (l *Listener) announce(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.seenAt = l.cfg.Clock.Now()
	l.timer.Reset(l.cfg.HeartbeatTimeout.Duration())
	if l.seen && !l.state.Lost && l.state.equal(&a) {
		return
	}
	l.seen = true
	l.state = State{Announcement: a}
	l.cfg.OnState(l.state)
}

// expire reports the backend server as lost. The timer may fire while an
// announcement is being handled, so the time of the last one decides.
func (l *Listener) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.state.Lost {
		return
	}
	left := l.seenAt + l.cfg.HeartbeatTimeout - l.cfg.Clock.Now()
	if left > 0 {
		l.timer.Reset(left.Duration())
		return
	}
	l.state.Lost = true
	l.cfg.OnState(l.state)
}
