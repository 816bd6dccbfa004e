// Package jobstore keeps stored jobs in the platform's store. Committer writes the
// records of jobs in groups; other functions read records, cancel jobs and depose
// entries.
//
// An open job has a record under "open/", an ended one under "ended/"; the
// transaction that ends a job deletes the former and writes the latter. Each
// transaction of a Committer requires that its entry has not been deposed, so the
// open records of a deposed entry can only decrease in number.
package jobstore

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Keys builds the store keys of jobs and of deposed entries.
type Keys struct {
	// Prefix is the prefix of all keys, with a trailing slash.
	Prefix string
}

func (k Keys) open(id batch.JobID) string  { return k.Prefix + "open/" + string(id) }
func (k Keys) ended(id batch.JobID) string { return k.Prefix + "ended/" + string(id) }

// OpenPrefix returns the key prefix of the records of open jobs.
func (k Keys) OpenPrefix() string { return k.Prefix + "open/" }

// DeposedPrefix returns the key prefix of the marks of deposed entries.
func (k Keys) DeposedPrefix() string { return k.Prefix + "deposed/" }

func (k Keys) deposed(id ownership.Incarnation) string { return k.DeposedPrefix() + string(id) }

// DecodeDeposed decodes the marks of deposed entries into a map from each deposed
// entry to its successor. Marks that another writer left and that do not name two
// entries are returned separately; they are not sent to other processes.
func (k Keys) DecodeDeposed(kvs []platform.KeyValue) (successors map[ownership.Incarnation]ownership.Incarnation, unreadable []platform.UnreadableValue) {
	successors = make(map[ownership.Incarnation]ownership.Incarnation, len(kvs))
	for _, kv := range kvs {
		deposed, successor := ownership.Incarnation(strings.TrimPrefix(kv.Key, k.DeposedPrefix())), ownership.Incarnation(kv.Value)
		if !deposed.IsWellFormed() || !successor.IsWellFormed() {
			err := &Error{Op: "read deposed entry", Kind: Malformed, Key: kv.Key, Err: errors.Errorf("%.100q does not name a successor", successor)}
			unreadable = append(unreadable, platform.UnreadableValue{KeyValue: kv, Err: err})
			continue
		}
		successors[deposed] = successor
	}
	return successors, unreadable
}

// IsDeposed reports whether there is a mark of an entry, whatever its value is: any
// mark makes the writes of the entry's Committer fail.
func (k Keys) IsDeposed(kvs []platform.KeyValue, entry ownership.Incarnation) bool {
	return slices.ContainsFunc(kvs, func(kv platform.KeyValue) bool { return kv.Key == k.deposed(entry) })
}

// Error is the error type of this package. Op is the operation that failed, Key the
// key concerned, if any.
type Error struct {
	Op   string
	Kind ErrorKind
	Key  string
	Err  error
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of errors.
const (
	// Unavailable means that the call to the store failed or got no answer.
	Unavailable ErrorKind = "unavailable"
	// Malformed means that a record cannot be decoded or encoded.
	Malformed ErrorKind = "malformed"
	// StillRegistered means that the entry to be deposed is still registered.
	StillRegistered ErrorKind = "alive"
	// AlreadyDeposed means that another successor has already deposed the entry.
	AlreadyDeposed ErrorKind = "taken"
	// Changed means that the record has changed since it was read.
	Changed ErrorKind = "changed"
)

// Error implements error.
func (e *Error) Error() string {
	text := "jobstore: " + e.Op + ": " + string(e.Kind)
	if e.Key != "" {
		text += ": " + e.Key
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error, if any.
func (e *Error) Unwrap() error { return e.Err }

// ReadState returns the state of a job in the store, and the open record if the job
// has not ended. It reads the open record first, so that a job that ends between
// the two reads is found as ended. Errors are of kind Unavailable or Malformed.
func ReadState(ctx context.Context, store platform.Store, keys Keys, id batch.JobID) (batch.State, *scheduler.OpenJob, error) {
	kv, err := store.Get(ctx, keys.open(id))
	if err != nil {
		return "", nil, &Error{Op: "read state", Kind: Unavailable, Key: keys.open(id), Err: err}
	}
	if kv.ModRevision != 0 {
		open, decodeErr := decodeOpen(keys, kv)
		return batch.Active, open, decodeErr
	}
	kv, err = store.Get(ctx, keys.ended(id))
	if err != nil {
		return "", nil, &Error{Op: "read state", Kind: Unavailable, Key: keys.ended(id), Err: err}
	}
	if kv.ModRevision == 0 {
		return batch.Absent, nil, nil
	}
	var end wire.StoredEnd
	if err = proto.Unmarshal(kv.Value, &end); err != nil {
		return "", nil, &Error{Op: "read state", Kind: Malformed, Key: kv.Key, Err: err}
	}
	return stateOf(end.GetState()), nil, nil
}

func stateOf(s wire.StoredEnd_State) batch.State {
	switch s {
	case wire.StoredEnd_STATE_COMPLETE:
		return batch.Complete
	case wire.StoredEnd_STATE_FAILED:
		return batch.Failed
	}
	return batch.Cancelled
}

func decodeOpen(keys Keys, kv platform.KeyValue) (*scheduler.OpenJob, error) {
	var record wire.StoredJob
	if err := proto.Unmarshal(kv.Value, &record); err != nil {
		return nil, &Error{Op: "read open job", Kind: Malformed, Key: kv.Key, Err: err}
	}
	return &scheduler.OpenJob{
		ID: jobOf(keys, kv), Revision: int64(kv.ModRevision), Record: &record,
	}, nil
}

// jobOf returns the job of an open record.
func jobOf(keys Keys, kv platform.KeyValue) batch.JobID {
	return batch.JobID(strings.TrimPrefix(kv.Key, keys.OpenPrefix()))
}

// OpenListing holds the records of open jobs.
type OpenListing struct {
	scheduler.OpenJobs
	// Unreadable holds the records that are malformed. Their jobs stay open.
	Unreadable []platform.UnreadableValue
}

// checkRecord checks the values that an entry relies on when it takes a job over:
// the scheduler allocates each task and uses the dependencies as indexes. It must
// accept all that an entry stores, or the job would never be taken over.
func checkRecord(keys Keys, job *scheduler.OpenJob) error {
	r := job.Record
	malformed := func(format string, args ...any) error {
		return &Error{Op: "check open job", Kind: Malformed, Key: keys.open(job.ID), Err: errors.Errorf(format, args...)}
	}
	tasks := 0
	for i, step := range r.GetSteps() {
		for _, dependency := range step.GetAfter() {
			if int(dependency) >= i {
				return malformed("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
		tasks += int(step.GetCount())
		if step.GetCount() < 1 || tasks > batch.MaxTasks || min(step.GetCpu(), step.GetMemoryMb(), step.GetAccelerators(), step.GetEstimatedMs()) < 0 {
			return malformed("step %d has a value out of range, or the job has too many tasks", i)
		}
	}
	if tasks == 0 || len(r.GetTasks()) > tasks {
		return malformed("%d tasks with the progress of %d", tasks, len(r.GetTasks()))
	}
	if owner := ownership.Incarnation(r.GetOwner()); !owner.IsWellFormed() {
		return malformed("the owner %.100q is not an incarnation", owner)
	}
	return nil
}

// ListOpen returns all open jobs. A malformed record, which another writer may have
// left, does not hide the others. Errors are of kind Unavailable.
func ListOpen(ctx context.Context, store platform.Store, keys Keys) (OpenListing, error) {
	listing, err := store.Range(ctx, platform.Prefix(keys.OpenPrefix()), 0)
	if err != nil {
		return OpenListing{}, &Error{Op: "list open jobs", Kind: Unavailable, Err: err}
	}
	open := OpenListing{OpenJobs: scheduler.OpenJobs{Revision: int64(listing.Revision), Jobs: make([]scheduler.OpenJob, 0, len(listing.KeyValues))}}
	for _, kv := range listing.KeyValues {
		job, err := decodeOpen(keys, kv)
		if err == nil {
			err = checkRecord(keys, job)
		}
		if err != nil {
			open.Unreadable = append(open.Unreadable, platform.UnreadableValue{KeyValue: kv, Err: err})
			open.Malformed = append(open.Malformed, jobOf(keys, kv))
			continue
		}
		open.Jobs = append(open.Jobs, *job)
	}
	return open, nil
}

// Cancel ends an open job, possibly of another entry, with the record end. The error
// is of kind Changed if the open record has changed or gone.
func Cancel(ctx context.Context, store platform.Transactor, keys Keys, open *scheduler.OpenJob, end *wire.StoredEnd) error {
	value, err := proto.Marshal(end)
	if err != nil {
		return &Error{Op: "cancel", Kind: Malformed, Err: err}
	}
	result, err := store.Txn(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: keys.open(open.ID), Revision: platform.Revision(open.Revision)}},
		Puts:       []platform.Put{{Key: keys.ended(open.ID), Value: value}},
		Deletes:    []string{keys.open(open.ID)},
	})
	if err != nil {
		return &Error{Op: "cancel", Kind: Unavailable, Key: keys.open(open.ID), Err: err}
	}
	if !result.Succeeded {
		return &Error{Op: "cancel", Kind: Changed, Key: keys.open(open.ID)}
	}
	return nil
}

// Depose marks an entry as deposed by successor unless the key registration exists,
// which gives an error of kind StillRegistered. A mark that names no successor is
// replaced, because nobody would take over the entry's jobs. After an error of kind
// Unavailable it can be repeated, with the same effect as one call.
func Depose(ctx context.Context, store platform.Transactor, keys Keys, entry, successor ownership.Incarnation, registration string) error {
	mark, err := writeMark(ctx, store, keys, entry, successor, registration, 0)
	if err == nil && mark.ModRevision != 0 && !ownership.Incarnation(mark.Value).IsWellFormed() {
		mark, err = writeMark(ctx, store, keys, entry, successor, registration, mark.ModRevision)
	}
	switch {
	case err != nil:
		return &Error{Op: "depose", Kind: Unavailable, Key: keys.deposed(entry), Err: err}
	case string(mark.Value) == string(successor):
		return nil
	case mark.ModRevision != 0:
		return &Error{Op: "depose", Kind: AlreadyDeposed, Key: mark.Key}
	}
	return &Error{Op: "depose", Kind: StillRegistered, Key: registration}
}

// writeMark writes the mark of a deposed entry if the entry is not registered and
// the mark is at revision expected, 0 for none. It returns the present mark.
func writeMark(ctx context.Context, store platform.Transactor, keys Keys, entry, successor ownership.Incarnation, registration string, expected platform.Revision) (platform.KeyValue, error) {
	mark := platform.KeyValue{Key: keys.deposed(entry), Value: []byte(successor)}
	result, err := store.Txn(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: registration}, {Key: mark.Key, Revision: expected}},
		Puts:       []platform.Put{{Key: mark.Key, Value: mark.Value}},
	})
	if err != nil || result.Succeeded {
		mark.ModRevision = result.Revision
		return mark, err
	}
	for _, kv := range result.Current {
		if kv.Key == mark.Key {
			return kv, nil
		}
	}
	return platform.KeyValue{}, nil
}
