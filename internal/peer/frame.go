package peer

import (
	"encoding/binary"
	"io"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// prefixBytes is the size of the length prefix of each envelope.
const prefixBytes = 4

// appendFrame appends the frame of an envelope to dst.
func appendFrame(dst []byte, e *wire.Envelope) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, prefixBytes)...)
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, e)
	if err != nil {
		return dst[:start], &Error{Op: "encode", Kind: Malformed, Err: errors.WithStack(err)}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-prefixBytes))
	return dst, nil
}

// readFrame reads one frame with an envelope of at most limit bytes and
// returns it with the number of bytes read. The length is checked before
// memory is allocated for it.
func readFrame(r io.Reader, limit int) (*wire.Envelope, int, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, 0, &Error{Op: "read", Kind: Closed, Err: errors.WithStack(err)}
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if uint64(length) > uint64(limit) {
		return nil, 0, &Error{Op: "read", Kind: TooLarge, Err: errors.Errorf("frame of %d bytes exceeds %d", length, limit)}
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, &Error{Op: "read", Kind: Closed, Err: errors.WithStack(err)}
	}
	e := &wire.Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		return nil, 0, &Error{Op: "read", Kind: Malformed, Err: errors.WithStack(err)}
	}
	if err := checkEnvelope(e); err != nil {
		return nil, 0, &Error{Op: "read", Kind: Malformed, Err: err}
	}
	return e, prefixBytes + int(length), nil
}

// checkEnvelope rejects envelopes that no correct process sends, so that the decision
// cores need not check for missing fields and partitions out of range.
func checkEnvelope(e *wire.Envelope) error {
	switch b := e.GetBody().(type) {
	case nil:
		return errors.New("envelope of an unknown kind")
	case *wire.Envelope_Owned:
		return checkPartitions(slices.Concat(b.Owned.GetPartitions(), b.Owned.GetSeen()))
	case *wire.Envelope_Fence:
		return checkPartitions(b.Fence.GetPartitions())
	case *wire.Envelope_Dispatch:
		return checkJob(b.Dispatch.GetPartition(), b.Dispatch.GetJob() != nil)
	case *wire.Envelope_Cancel:
		return checkPartition(b.Cancel.GetPartition())
	case *wire.Envelope_Claim:
		return checkPartition(b.Claim.GetPartition())
	case *wire.Envelope_ClaimAck:
		return checkPartition(b.ClaimAck.GetPartition())
	case *wire.Envelope_FenceAck:
		return checkFenceAck(b.FenceAck)
	case *wire.Envelope_Fetch:
		return checkPartition(b.Fetch.GetPartition())
	case *wire.Envelope_Results:
		return checkPartition(b.Results.GetPartition())
	case *wire.Envelope_Rejected:
		return checkPartition(b.Rejected.GetPartition())
	case *wire.Envelope_Forward:
		return checkJob(0, b.Forward.GetJob() != nil)
	}
	return nil
}

func checkPartition(p uint32) error {
	if p >= ownership.Partitions {
		return errors.Errorf("partition %d is out of range", p)
	}
	return nil
}

func checkPartitions(all []*wire.PartitionEpoch) error {
	for _, p := range all {
		if err := checkPartition(p.GetPartition()); err != nil {
			return err
		}
	}
	return nil
}

func checkJob(partition uint32, present bool) error {
	if !present {
		return errors.New("the job is missing")
	}
	return checkPartition(partition)
}

func checkFenceAck(a *wire.FenceAck) error {
	for _, j := range a.GetJobs() {
		if j.GetJob() == nil {
			return errors.New("a known job has no reference")
		}
	}
	return checkPartition(a.GetPartition())
}
