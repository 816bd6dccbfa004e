// Package caller defines the HTTP API of an entry for callers: the types of its
// JSON documents and the codes of its answers. It includes a client.
package caller

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Job is the body of POST /v1/jobs.
type Job struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	// Key is the caller's idempotency key. A job with a key can be resubmitted
	// when its answer was lost.
	Key string `json:"key,omitempty"`
	// NotRepeatable is nil to use the default of the service.
	NotRepeatable *bool `json:"not-repeatable,omitempty"`
	// Deadline is how long the caller waits, in ms; 0 for the default of the
	// service.
	Deadline clock.Millis `json:"deadline-ms,omitempty"`
	// ExpiresAt is the Unix time in ms after which the key is rejected; 0 if
	// not set.
	ExpiresAt clock.Millis `json:"expires-at-ms,omitempty"`
	Tasks     []Task       `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	// Payload is a JSON value, passed to the backend server byte for byte.
	Payload json.RawMessage `json:"payload"`
	// Declared is the expected run time in ms; 0 if not declared.
	Declared     clock.Millis `json:"declared-ms,omitempty"`
	MemoryMiB    int64        `json:"memory-mib,omitempty"`
	CPUs         int32        `json:"cpus,omitempty"`
	Accelerators int32        `json:"accelerators,omitempty"`
}

// Ran states whether a job ran.
type Ran string

// Outcomes of a job.
const (
	// NotRun means that no task started and none will.
	NotRun Ran = "not-run"
	// Complete means that every task ran and all results are present.
	Complete Ran = "complete"
	// Failed means that some task ran and the job did not finish.
	Failed Ran = "failed"
	// Unknown means that it is not known whether a task ran.
	Unknown Ran = "unknown"
	// Running is the state of a job that has no answer yet.
	Running Ran = "running"
)

// Answer is the body of every response.
type Answer struct {
	Service string `json:"service,omitempty"`
	Key     string `json:"key,omitempty"`
	Ran     Ran    `json:"ran"`
	// Code is empty for a complete answer.
	Code    Code   `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
	// Results holds one JSON value for each task, in the order of the tasks.
	Results []json.RawMessage `json:"results,omitempty"`
	// Elapsed is the time from acceptance to answer, Work the sum of the run
	// times and Longest the longest run time of one task, in ms.
	Elapsed clock.Millis `json:"elapsed-ms"`
	Work    clock.Millis `json:"work-ms"`
	Longest clock.Millis `json:"longest-ms"`
	// Messages counts the messages between processes that the job caused.
	Messages uint32 `json:"messages"`
}

// DecodeJob parses and validates the body of POST /v1/jobs. Errors are of type
// *Error with code MalformedRequest.
func DecodeJob(body []byte) (*Job, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	j := &Job{}
	if err := dec.Decode(j); err != nil {
		return nil, malformed(errors.Wrap(err, "the body is not a job"))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, malformed(errors.New("the body has data after the job"))
	}
	if err := j.check(); err != nil {
		return nil, malformed(err)
	}
	return j, nil
}

func malformed(err error) error {
	return &Error{Op: "decode", Code: MalformedRequest, Ran: NotRun, Err: err}
}

const (
	// maxNameBytes bounds keys and the names of teams and services.
	maxNameBytes = 128
	// maxQuantity bounds durations, in ms, and sizes, so that sums do not
	// overflow.
	maxQuantity = 1 << 40
	// maxTasks bounds the tasks of a job before the limits of its service are
	// known. A task takes at least 13 bytes of the body but several times that
	// in memory.
	maxTasks = 100_000
	// autoKeyPrefix is the prefix of the keys that entries generate for jobs
	// without a key.
	autoKeyPrefix = "auto-"
)

func (j *Job) check() error {
	if err := CheckName("team", j.Team); err != nil {
		return err
	}
	if err := CheckName("service", j.Service); err != nil {
		return err
	}
	if err := j.checkKey(); err != nil {
		return err
	}
	if err := checkQuantity("deadline-ms", int64(j.Deadline)); err != nil {
		return err
	}
	// Unix times in ms exceed maxQuantity.
	if j.ExpiresAt < 0 || j.ExpiresAt > maxQuantity<<4 {
		return errors.Errorf("expires-at-ms %d is out of range", j.ExpiresAt)
	}
	if len(j.Tasks) == 0 {
		return errors.New("tasks is empty")
	}
	if len(j.Tasks) > maxTasks {
		return errors.Errorf("%d tasks exceed %d", len(j.Tasks), maxTasks)
	}
	for i := range j.Tasks {
		if err := j.Tasks[i].check(); err != nil {
			return errors.Wrapf(err, "tasks[%d]", i)
		}
	}
	return nil
}

func (j *Job) checkKey() error {
	if j.Key == "" {
		return nil
	}
	if len(j.Key) >= len(autoKeyPrefix) && j.Key[:len(autoKeyPrefix)] == autoKeyPrefix {
		return errors.Errorf("a key must not start with %s", autoKeyPrefix)
	}
	return CheckName("key", j.Key)
}

func (t *Task) check() error {
	if len(t.Payload) == 0 {
		return errors.New("payload is absent")
	}
	if err := checkQuantity("declared-ms", int64(t.Declared)); err != nil {
		return err
	}
	if err := checkQuantity("memory-mib", t.MemoryMiB); err != nil {
		return err
	}
	if err := checkQuantity("cpus", int64(t.CPUs)); err != nil {
		return err
	}
	return checkQuantity("accelerators", int64(t.Accelerators))
}

func checkQuantity(field string, n int64) error {
	if n < 0 || n > maxQuantity {
		return errors.Errorf("%s %d is out of range", field, n)
	}
	return nil
}

// CheckName validates a key or the name of a team or service. Names are used in
// URL paths and headers, so only letters, digits and a few punctuation
// characters are allowed.
func CheckName(field, name string) error {
	if name == "" {
		return errors.Errorf("%s is empty", field)
	}
	if len(name) > maxNameBytes {
		return errors.Errorf("%s is longer than %d bytes", field, maxNameBytes)
	}
	if name == "." || name == ".." {
		return errors.Errorf("%s %q is not allowed", field, name)
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return errors.Errorf("%s has a character other than letters, digits and . _ - : @ + = ~", field)
		}
	}
	return nil
}

func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return bytes.IndexByte([]byte("._-:@+=~"), b) >= 0
}

// Wire converts a validated job received at now. notRepeatable is the default
// for a job that does not set NotRepeatable. Without a key from the caller, Key
// stays empty and CallerKey false.
func (j *Job) Wire(now clock.Millis, notRepeatable bool) *wire.Job {
	w := &wire.Job{
		Key:           j.Key,
		CallerKey:     j.Key != "",
		Team:          j.Team,
		Service:       j.Service,
		NotRepeatable: notRepeatable,
		ExpiresAtMs:   int64(j.ExpiresAt),
		Tasks:         make([]*wire.TaskSpec, len(j.Tasks)),
		BodyHash:      j.Hash(),
	}
	if j.NotRepeatable != nil {
		w.NotRepeatable = *j.NotRepeatable
	}
	if j.Deadline > 0 {
		w.DeadlineAtMs = int64(now + j.Deadline)
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		w.Tasks[i] = &wire.TaskSpec{
			Payload:      t.Payload,
			DeclaredMs:   int64(t.Declared),
			MemoryMib:    t.MemoryMiB,
			Cpus:         t.CPUs,
			Accelerators: t.Accelerators,
		}
	}
	return w
}

// AnswerOf converts an answer of the owner. If a result is not valid JSON, the
// answer becomes a failure with code InvalidResult.
func AnswerOf(w *wire.Answer) *Answer {
	a := &Answer{
		Service:  w.GetService(),
		Key:      w.GetKey(),
		Ran:      ranFromWire(w.GetRan()),
		Code:     Code(w.GetCode()),
		Message:  w.GetMessage(),
		Elapsed:  clock.Millis(w.GetElapsedMs()),
		Work:     clock.Millis(w.GetWorkMs()),
		Longest:  clock.Millis(w.GetLongestMs()),
		Messages: w.GetMessages(),
	}
	if a.Ran != Complete {
		return a
	}
	a.Results = make([]json.RawMessage, len(w.GetResults()))
	for i, r := range w.GetResults() {
		if !json.Valid(r) {
			a.Ran = Failed
			a.Code = InvalidResult
			a.Message = errors.Errorf("the result of task %d is not a JSON value", i).Error()
			a.Results = nil
			return a
		}
		a.Results[i] = r
	}
	return a
}

func ranFromWire(r wire.Ran) Ran {
	switch r {
	case wire.Ran_RAN_NOT_RUN:
		return NotRun
	case wire.Ran_RAN_COMPLETE:
		return Complete
	case wire.Ran_RAN_FAILED:
		return Failed
	case wire.Ran_RAN_RUNNING:
		return Running
	}
	return Unknown
}

// JSON encodes the answer. Unlike json.Marshal it copies the bytes of the results
// unchanged; each must be a valid JSON value.
func (a *Answer) JSON() ([]byte, error) {
	head := *a
	head.Results = nil
	out, err := json.Marshal(&head)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(a.Results) == 0 {
		return out, nil
	}
	out = append(out[:len(out)-1], `,"results":[`...)
	for i, r := range a.Results {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, r...)
	}
	return append(out, "]}"...), nil
}
