package caller

import (
	"bytes"
	"testing"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// FuzzDecodeJob guards against a request body that makes an entry panic, and
// against different hashes of the same job, which would make a resubmission a
// key conflict.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"team":"t","service":"s","key":"k","tasks":[{"payload":{"run-ms":5},"declared-ms":5}]}`,
		`{"team":"t","service":"s","not-repeatable":true,"deadline-ms":100,"expires-at-ms":9,"tasks":[{"payload":null}]}`,
		`{"team":"","service":"s","tasks":[]}`,
		`{"tasks":[{"payload":1e999}]}`,
		`[]`,
		"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := DecodeJob(body)
		if err != nil {
			return
		}
		now := clock.Millis(1000)
		got, want := j.Wire(now, false), j.Wire(now+1, true)
		if len(got.GetTasks()) != len(j.Tasks) {
			t.Errorf("got %d tasks, want %d", len(got.GetTasks()), len(j.Tasks))
		}
		if !bytes.Equal(got.GetBodyHash(), want.GetBodyHash()) {
			t.Errorf("got hash %x, want %x", got.GetBodyHash(), want.GetBodyHash())
		}
	})
}
