package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// hashVersion is the first field of the hashed form, so that a later form has
// different hashes.
const hashVersion = 1

// Values of not-repeatable in the hashed form. The caller's value is hashed
// without the default of the service, so that a changed default does not make a
// resubmission a key conflict.
const (
	repeatableDefault = iota
	repeatableFalse
	repeatableTrue
)

// Hash returns the SHA-256 of the job in a fixed binary form: version, team,
// service, not-repeatable, expires-at and the tasks with payload, sizes and
// declared run times. Strings and payloads are preceded by their length; all
// numbers have 8 bytes in network order. The key is not included, nor the
// deadline, because a resubmission may have a different one.
func (j *Job) Hash() []byte {
	h := hasher{Hash: sha256.New()}
	h.number(hashVersion)
	h.bytes([]byte(j.Team))
	h.bytes([]byte(j.Service))
	h.number(j.repeatable())
	h.number(int64(j.ExpiresAt))
	h.number(int64(len(j.Tasks)))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		h.bytes(t.Payload)
		h.number(int64(t.Declared))
		h.number(t.MemoryMiB)
		h.number(int64(t.CPUs))
		h.number(int64(t.Accelerators))
	}
	return h.Sum(nil)
}

func (j *Job) repeatable() int64 {
	switch {
	case j.NotRepeatable == nil:
		return repeatableDefault
	case *j.NotRepeatable:
		return repeatableTrue
	}
	return repeatableFalse
}

type hasher struct{ hash.Hash }

func (h hasher) number(n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

func (h hasher) bytes(b []byte) {
	h.number(int64(len(b)))
	_, _ = h.Write(b)
}
