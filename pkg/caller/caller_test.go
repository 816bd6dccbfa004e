package caller

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

const validJob = `{"team":"t","service":"s","key":"k","not-repeatable":true,"deadline-ms":1000,"expires-at-ms":1800000000000,` +
	`"tasks":[{"payload": {"a" : "<1>"} ,"declared-ms":50,"memory-mib":512,"cpus":1,"accelerators":2}]}`

// Guards against accepting a body of which a part is ignored, and against
// values that are not valid in URL paths and headers.
func TestDecodeJobRefuses(t *testing.T) {
	if _, err := DecodeJob([]byte(validJob)); err != nil {
		t.Fatal(err)
	}
	edits := [][2]string{
		{`"team":"t"`, `"team":""`},
		{`"team":"t"`, `"team":"a/b"`},
		{`"team":"t"`, `"team":"a\r\nX: y"`},
		{`"key":"k"`, `"key":".."`},
		{`"key":"k"`, `"key":"auto-1"`},
		{`"key":"k"`, `"key":"` + strings.Repeat("x", 129) + `"`},
		{`"key":"k"`, `"keys":"k"`},
		{`"deadline-ms":1000`, `"deadline-ms":-1`},
		{`"deadline-ms":1000`, `"deadline-ms":9000000000000000000`},
		{`"expires-at-ms":1800000000000`, `"expires-at-ms":"tomorrow"`},
		{`"cpus":1`, `"cpus":-1`},
		{`"cpus":1`, `"gpus":1`},
		{`"payload": {"a" : "<1>"} ,`, ``},
		{`"payload": {"a" : "<1>"}`, `"payload": {a}`},
		{`"tasks":[`, `"tasks":[null,`},
		{`}]}`, `}]} {}`},
		{`}]}`, `}]}]`},
		{`}]}`, `}]`},
	}
	for _, e := range edits {
		if _, err := DecodeJob([]byte(strings.Replace(validJob, e[0], e[1], 1))); err == nil {
			t.Errorf("accepted with %s", e[1])
		}
	}
	if _, err := DecodeJob([]byte(`{"team":"t","service":"s","tasks":[]}`)); err == nil {
		t.Error("accepted without tasks")
	}
}

// Guards against a hash that changes between versions, because resubmissions
// would be rejected after an upgrade, and against fields missing from the hash.
func TestHash(t *testing.T) {
	hash := func(body string) string {
		j, err := DecodeJob([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return hex.EncodeToString(j.Wire(5, false).GetBodyHash())
	}
	base := hash(validJob)
	if want := "4c5e698c4d7e80d9c2b453fae59dd2c96350b8a6a8ffcf72e2111f5c91da7b96"; base != want {
		t.Errorf("got %s, want %s", base, want)
	}
	for edit, same := range map[[2]string]bool{
		{`"deadline-ms":1000`, `"deadline-ms":2000`}:                       true,
		{`"key":"k"`, `"key":"l"`}:                                         true,
		{`"team":"t"`, `"team":"u"`}:                                       false,
		{`"service":"s"`, `"service":"u"`}:                                 false,
		{`"not-repeatable":true,`, ``}:                                     false,
		{`"not-repeatable":true`, `"not-repeatable":false`}:                false,
		{`"expires-at-ms":1800000000000`, `"expires-at-ms":1800000000001`}: false,
		{`"<1>"`, `"<2>"`}:                                                 false,
		{`"declared-ms":50`, `"declared-ms":51`}:                           false,
		{`"memory-mib":512`, `"memory-mib":513`}:                           false,
		{`"cpus":1`, `"cpus":2`}:                                           false,
		{`"accelerators":2`, `"accelerators":3`}:                           false,
	} {
		if got := hash(strings.Replace(validJob, edit[0], edit[1], 1)) == base; got != same {
			t.Errorf("%s: got same %v, want %v", edit[1], got, same)
		}
	}
}

// Guards against results that are modified or truncated in the answer, and
// against an invalid document when a backend server returns no JSON.
func TestAnswerJSON(t *testing.T) {
	results := [][]byte{[]byte(`{"a" : "<&>"}`), []byte("1e2")}
	got, err := AnswerOf(&wire.Answer{Ran: wire.Ran_RAN_COMPLETE, Service: "s", Key: "k", Results: results}).JSON()
	if err != nil {
		t.Fatal(err)
	}
	if want := append(append(results[0], ','), results[1]...); !json.Valid(got) || !bytes.Contains(got, want) {
		t.Errorf("got %s, want it to hold %s", got, want)
	}
	broken := AnswerOf(&wire.Answer{Ran: wire.Ran_RAN_COMPLETE, Results: [][]byte{[]byte(`"ok"`), []byte(`}{`)}})
	if broken.Ran != Failed || broken.Code != InvalidResult || broken.Results != nil {
		t.Errorf("got %+v, want a failure without results", broken)
	}
}

// Guards against HTTP statuses that give a caller the wrong outcome.
func TestStatus(t *testing.T) {
	for want, answers := range map[int][]Answer{
		200: {{Ran: Complete}},
		202: {{Ran: Running}},
		400: {{Ran: NotRun, Code: MalformedRequest}},
		409: {{Ran: NotRun, Code: KeyConflict}},
		429: {{Ran: NotRun, Code: "over-quota"}},
		500: {{Ran: Unknown}, {}},
		502: {{Ran: Failed, Code: "task-failed"}},
		503: {{Ran: NotRun, Code: Draining}, {Ran: NotRun, Code: "no-worker"}},
	} {
		for _, a := range answers {
			if got := a.Status(); got != want {
				t.Errorf("%+v: got %d, want %d", a, got, want)
			}
		}
	}
}

// Guards against a job that starts twice: the client must not resend a job
// without a key once it may have reached an entry.
func TestClientResubmitsOnlyWithKey(t *testing.T) {
	var calls atomic.Int64
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(503)
		w.Write([]byte(`{"ran":"not-run","code":"draining"}`))
	}))
	defer draining.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"ran":"complete","results":[1]}`))
	}))
	defer good.Close()
	job := &Job{Team: "t", Service: "s", Tasks: []Task{{Payload: json.RawMessage("1")}}}
	a, err := New("http://127.0.0.1:1", draining.URL, good.URL).Submit(t.Context(), job)
	if err != nil || a.Ran != Complete {
		t.Fatalf("got %+v, %v, want a complete answer", a, err)
	}
	_, err = New(lossy.URL, good.URL).Submit(t.Context(), job)
	if !mayHaveRun(err) || calls.Load() != 1 {
		t.Fatalf("got %v after %d calls, want an unknown outcome after 1", err, calls.Load())
	}
	job.Key = "k"
	if a, err = New(lossy.URL, good.URL).Submit(t.Context(), job); err != nil || a.Ran != Complete {
		t.Fatalf("got %+v, %v, want a complete answer", a, err)
	}
	if _, err = New(lossy.URL, draining.URL).Submit(t.Context(), job); !mayHaveRun(err) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
}
