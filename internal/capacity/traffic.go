package capacity

import (
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// traffic counts frames and their bytes by kind.
type traffic map[peer.MessageKind]*struct{ frames, bytes int }

func (t traffic) add(e *wire.Envelope) {
	kind := peer.MessageKindOf(e)
	if t[kind] == nil {
		t[kind] = &struct{ frames, bytes int }{}
	}
	t[kind].frames++
	t[kind].bytes += frameBytes(e)
}

func (t traffic) frames() int {
	n := 0
	for _, c := range t {
		n += c.frames
	}
	return n
}

func (t traffic) bytes() int {
	n := 0
	for _, c := range t {
		n += c.bytes
	}
	return n
}

// frameBytes returns the size of an envelope with its length.
func frameBytes(e *wire.Envelope) int {
	return proto.Size(e) + prefixBytes
}
