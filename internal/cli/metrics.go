package cli

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
)

// callCounter counts the calls to the store.
type callCounter struct {
	calls *prometheus.CounterVec
}

func newCallCounter(registry prometheus.Registerer) *callCounter {
	c := &callCounter{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "teaseltide_store_calls_total",
		Help: "Calls to the store by operation and result.",
	}, []string{"operation", "result"})}
	registry.MustRegister(c.calls)
	return c
}

func (c *callCounter) count(call platform.Call) {
	c.calls.WithLabelValues(string(call.Operation), call.Result).Inc()
}

// frameCounter counts the frames between processes, with separate byte counts for
// heartbeats.
type frameCounter struct {
	frames     *prometheus.CounterVec
	bytes      *prometheus.CounterVec
	heartbeats *prometheus.CounterVec
}

func newFrameCounter(registry prometheus.Registerer) *frameCounter {
	c := &frameCounter{
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_peer_frames_total",
			Help: "Frames between processes by kind and direction, heartbeats included.",
		}, []string{"kind", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_peer_bytes_total",
			Help: "Bytes of frames between processes by direction, heartbeats left out.",
		}, []string{"direction"}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_peer_heartbeat_bytes_total",
			Help: "Bytes of heartbeats between processes by direction.",
		}, []string{"direction"}),
	}
	registry.MustRegister(c.frames, c.bytes, c.heartbeats)
	return c
}

// CountFrame implements peer.FrameCounter.
func (c *frameCounter) CountFrame(kind peer.MessageKind, direction peer.Direction, bytes int) {
	c.frames.WithLabelValues(string(kind), string(direction)).Inc()
	if kind.IsHeartbeat() {
		c.heartbeats.WithLabelValues(string(direction)).Add(float64(bytes))
		return
	}
	c.bytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
