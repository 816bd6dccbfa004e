package entry

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// announceSpread is the interval over which the pings after a change of the text
// are spread. The first entry to ping a sidecar sends it the text; the others
// find it up to date. Sessions are pinged at different times, because sending the
// text to all sidecars takes a large part of a second.
const announceSpread = clock.Second

// source is the origin of a services text.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// activeServices is an adopted services text, encoded and parsed.
type activeServices struct {
	wire   *wire.Text
	parsed *operator.Text
}

// activeText holds the services text in force. Its revision never decreases.
type activeText struct {
	p      *Process
	active atomic.Pointer[activeServices]

	mu sync.Mutex
	// highestRefused is the highest revision that was refused. It keeps a text
	// that peers and the store offer repeatedly from being reported again.
	highestRefused int64
}

func (h *activeText) current() *wire.Text {
	if s := h.active.Load(); s != nil {
		return s.wire
	}
	return nil
}

func (h *activeText) revision() int64 { return h.current().GetRevision() }

// notRepeatable returns the service's default for jobs that do not set it.
func (h *activeText) notRepeatable(service string) bool {
	s := h.active.Load()
	if s == nil {
		return false
	}
	found := s.parsed.Service(service)
	return found != nil && found.NotRepeatable
}

// adopt activates a text with a higher revision. A text that does not parse was
// not written by the operators' command; it is refused and the former one stays
// in force. The lock is held until the event is queued, so that the core receives
// the revisions in order.
func (h *activeText) adopt(t *wire.Text, from source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision := t.GetRevision()
	if revision <= h.revision() || revision <= h.highestRefused {
		return
	}
	log := h.p.deps.Log.With(zap.Int64("revision", revision), zap.String("source", string(from)))
	parsed, err := operator.Parse("services", t.GetText())
	if err != nil {
		h.highestRefused = revision
		h.p.metrics.textsRefused.Inc()
		log.Warn("services text refused", zap.Error(err))
		return
	}
	h.active.Store(&activeServices{wire: t, parsed: parsed})
	log.Info("services text adopted")
	h.p.loop.pushCore(dispatch.TextAdopted{Revision: revision, Text: parsed})
	go h.p.announceText()
}

func (h *activeText) handleStoreText(t platform.Text) {
	h.adopt(&wire.Text{Revision: int64(t.Revision), Text: t.Data}, fromStore)
}

// announceText pings all peers, which tells them the revision in force. It waits
// for started, because a text can arrive on an accepted session before p.node is
// set.
func (p *Process) announceText() {
	select {
	case <-p.started:
		p.node.PingAll(announceSpread)
	case <-p.loop.exited:
	}
}
