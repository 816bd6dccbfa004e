package fleet

import (
	"bytes"
	"context"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/teaseltide/teaseltide/internal/peer"
)

// peerTraffic is what entries sent to and received from other processes,
// heartbeats left out.
type peerTraffic struct {
	frames, bytes float64
}

// parsePeerTraffic reads the metrics of an entry in the text format.
func parsePeerTraffic(text []byte) (peerTraffic, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return peerTraffic{}, errors.Wrap(err, "fleet: metrics")
	}
	frames, bytesTotal := families["teaseltide_peer_frames_total"], families["teaseltide_peer_bytes_total"]
	if frames == nil || bytesTotal == nil {
		return peerTraffic{}, errors.New("fleet: the metrics have no peer frames or bytes")
	}
	var t peerTraffic
	for _, m := range frames.GetMetric() {
		if !peer.MessageKind(label(m, "kind")).IsHeartbeat() {
			t.frames += m.GetCounter().GetValue()
		}
	}
	// This counter has no heartbeats.
	for _, m := range bytesTotal.GetMetric() {
		t.bytes += m.GetCounter().GetValue()
	}
	return t, nil
}

func label(m *dto.Metric, name string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// peerTraffic returns the sum over all entries. A frame between two entries
// counts at both.
func (f *Fleet) peerTraffic(ctx context.Context) (peerTraffic, error) {
	var sum peerTraffic
	for i := range f.Entries {
		text, err := get(ctx, f.OperatorURL(i)+"/metrics", f.Token())
		if err != nil {
			return sum, err
		}
		t, err := parsePeerTraffic(text)
		if err != nil {
			return sum, err
		}
		sum.frames += t.frames
		sum.bytes += t.bytes
	}
	return sum, nil
}
