package peer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

func pingEnvelope(sequence uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Ping{Ping: &wire.Ping{Sequence: sequence}}}
}

func withPrefix(length int, data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(length)), data...)
}

// Guards against allocation for a length prefix beyond the limit, and against
// envelopes with missing fields that reach the decision cores.
func TestReadFrameRefuses(t *testing.T) {
	noJob, _ := appendFrame(nil, &wire.Envelope{Body: &wire.Envelope_Forward{Forward: &wire.Forward{}}})
	farPartition, _ := appendFrame(nil, &wire.Envelope{Body: &wire.Envelope_Cancel{Cancel: &wire.Cancel{Partition: 64}}})
	cases := []struct {
		name string
		data []byte
		want ErrorKind
	}{
		{"oversized", withPrefix(1<<20+1, nil), TooLarge},
		{"huge", withPrefix(1<<32-1, nil), TooLarge},
		{"cut", withPrefix(10, []byte("abc")), Closed},
		{"no body", withPrefix(0, nil), Malformed},
		{"no protobuf", withPrefix(3, []byte{0xff, 0xff, 0xff}), Malformed},
		{"forward without job", noJob, Malformed},
		{"partition out of range", farPartition, Malformed},
	}
	for _, c := range cases {
		_, _, err := readFrame(bytes.NewReader(c.data), 1<<20)
		if got := KindOf(err); got != c.want {
			t.Errorf("%s: got kind %q (%v), want %q", c.name, got, err, c.want)
		}
	}
}

// Guards against panics on malformed frames and against accepted frames that are
// refused when they are encoded again.
func FuzzReadFrame(f *testing.F) {
	seed, _ := appendFrame(nil, pingEnvelope(7))
	f.Add(seed)
	f.Add(withPrefix(1<<31, []byte("x")))
	f.Add(withPrefix(2, []byte{0x52, 0x00}))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, size, err := readFrame(bytes.NewReader(data), 1<<16)
		if err != nil {
			return
		}
		if size > len(data) {
			t.Fatalf("got size %d of %d bytes", size, len(data))
		}
		again, err := appendFrame(nil, e)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err = readFrame(bytes.NewReader(again), 1<<17); err != nil {
			t.Fatalf("the frame encoded again is refused: %v", err)
		}
	})
}
