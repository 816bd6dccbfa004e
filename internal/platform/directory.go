package platform

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Limits and defaults of a Directory.
const (
	DefaultPrefix = "/teaseltide/"
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes = 1_000_000
	// DefaultEntryLease is the duration of an entry's lease: the time that
	// it stays registered without renewal.
	DefaultEntryLease = 2 * clock.Second
	// DefaultWatchCheckInterval is how often a watch is verified with a
	// read. A connection that fails silently delays a change by about this
	// time, within the 5 s in which a configuration must take effect.
	DefaultWatchCheckInterval = 2 * clock.Second
	// DefaultMaxBackoff bounds the delay before a failed watch is reopened. It is
	// short enough for a change to be delivered within 5 s after an outage of the
	// store.
	DefaultMaxBackoff = 1500 * clock.Millis(1)
	// writeAttempts bounds the attempts of a write whose outcome is unknown.
	writeAttempts = 3
)

// Keys below the prefix.
const (
	keyRecord   = "ownership"
	keyText     = "text"
	keySidecars = "sidecars/"
	keyEntries  = "entries/"
)

// Operations of a Directory.
const (
	OpReadRecord      Operation = "read-record"
	OpWriteRecord     Operation = "write-record"
	OpReadText        Operation = "read-text"
	OpWriteText       Operation = "write-text"
	OpRegisterSidecar Operation = "register-sidecar"
	OpFindSidecar     Operation = "find-sidecar"
	OpDeleteSidecar   Operation = "delete-sidecar"
	OpListSidecars    Operation = "list-sidecars"
	OpRegisterEntry   Operation = "register-entry"
	OpListEntries     Operation = "list-entries"
)

// DirectorySettings configures a Directory. Zero values mean the defaults.
type DirectorySettings struct {
	// Prefix of all keys; it ends in a slash.
	Prefix string
	// EntryLease defaults to DefaultEntryLease.
	EntryLease clock.Millis
	// WatchCheckInterval defaults to DefaultWatchCheckInterval.
	WatchCheckInterval clock.Millis
	// MaxBackoff bounds the delay before a failed watch is reopened; it defaults to
	// DefaultMaxBackoff.
	MaxBackoff clock.Millis
	// Recovery defaults to one of the directory's own.
	Recovery *Recovery
	// OnError, if not nil, is called for errors after which a watch or
	// registration is retried: with the first error after a success, and with
	// each value that cannot be decoded. A malformed registration is passed once
	// per value. Calls may be concurrent.
	OnError func(error)
}

// Directory reads and writes teaseltide's keys in a Store. It is safe for
// concurrent use.
type Directory struct {
	store    Store
	settings DirectorySettings
	// unreadableSidecars and unreadableEntries hold the registrations that were
	// reported to OnError.
	unreadableSidecars, unreadableEntries UnreadableValues
}

// NewDirectory returns a Directory over store.
func NewDirectory(store Store, settings DirectorySettings) *Directory {
	if settings.Prefix == "" {
		settings.Prefix = DefaultPrefix
	}
	if settings.EntryLease <= 0 {
		settings.EntryLease = DefaultEntryLease
	}
	if settings.WatchCheckInterval <= 0 {
		settings.WatchCheckInterval = DefaultWatchCheckInterval
	}
	if settings.MaxBackoff <= 0 {
		settings.MaxBackoff = DefaultMaxBackoff
	}
	if settings.Recovery == nil {
		settings.Recovery = NewRecovery()
	}
	if settings.OnError == nil {
		settings.OnError = func(error) {}
	}
	return &Directory{store: store, settings: settings}
}

// ReadRecord returns the ownership record. An absent record has Revision 0.
func (d *Directory) ReadRecord(ctx context.Context) (ownership.Record, error) {
	kv, err := d.store.Get(ctx, d.key(keyRecord))
	if err != nil {
		return ownership.Record{}, withOperation(OpReadRecord, err)
	}
	return decodeRecord(kv)
}

func decodeRecord(kv KeyValue) (ownership.Record, error) {
	var record ownership.Record
	if kv.ModRevision == 0 {
		return record, nil
	}
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return ownership.Record{}, &Error{Operation: OpReadRecord, Kind: Malformed, Key: kv.Key, Err: err}
	}
	record.Revision = int64(kv.ModRevision)
	return record, nil
}

// WriteRecord replaces the ownership record if the stored one is at
// record.Revision, where 0 means that none exists, and returns it with its new
// nonce and revision. If the response is lost, it reads the record again and
// compares the nonce. The error's kind is Conflict, Superseded, Refused or
// Unknown.
func (d *Directory) WriteRecord(ctx context.Context, record ownership.Record) (ownership.Record, error) {
	record.Nonce = rand.Text()
	value, err := json.Marshal(record)
	if err != nil {
		return ownership.Record{}, &Error{Operation: OpWriteRecord, Kind: Refused, Err: err}
	}
	isOwnWrite := func(stored []byte) bool {
		var r ownership.Record
		return json.Unmarshal(stored, &r) == nil && r.Nonce == record.Nonce
	}
	revision, err := d.write(ctx, OpWriteRecord, d.key(keyRecord), Revision(record.Revision), value, isOwnWrite)
	if err != nil {
		return ownership.Record{}, err
	}
	record.Revision = int64(revision)
	return record, nil
}

// Text is the services text as stored.
type Text struct {
	Data []byte
	// Revision is 0 if no text was written yet.
	Revision Revision
}

// ReadText returns the services text.
func (d *Directory) ReadText(ctx context.Context) (Text, error) {
	kv, err := d.store.Get(ctx, d.key(keyText))
	if err != nil {
		return Text{}, withOperation(OpReadText, err)
	}
	return Text{Data: kv.Value, Revision: kv.ModRevision}, nil
}

// WriteText replaces the services text if the stored one is at revision
// expected, where 0 means that none exists, and returns the new revision. If
// the response is lost, it reads the text again and compares the content. The
// error's kind is Conflict, Superseded, Refused or Unknown.
func (d *Directory) WriteText(ctx context.Context, expected Revision, data []byte) (Revision, error) {
	isOwnWrite := func(stored []byte) bool { return bytes.Equal(stored, data) }
	return d.write(ctx, OpWriteText, d.key(keyText), expected, data, isOwnWrite)
}

// write is a compare-and-swap that determines the outcome when a response is
// lost. isOwnWrite reports whether a stored value was written by this call.
//
// A read that finds the key unchanged does not prove that the write failed,
// because the request may still be in flight. The write is then repeated: at
// most one of the attempts can take effect, since all expect the same revision.
func (d *Directory) write(ctx context.Context, op Operation, key string, expected Revision, value []byte, isOwnWrite func([]byte) bool) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, &Error{Operation: op, Kind: Refused, Key: key, Err: errors.Errorf("value of %d bytes exceeds %d", len(value), MaxValueBytes)}
	}
	unknownOutcome := &Error{Operation: op, Kind: Unknown, Key: key}
	responseLost := false
	for range writeAttempts {
		revision, err := d.store.CompareAndSwap(ctx, key, expected, value, 0)
		if err == nil {
			return revision, nil
		}
		if !responseLost && NoEffect(err) {
			return 0, withOperation(op, err)
		}
		responseLost = true
		unknownOutcome.Err = err
		kv, err := d.store.Get(ctx, key)
		switch {
		case err != nil:
			// The store fails reads as well; further attempts at once would only add load.
			unknownOutcome.Err = err
			if !sleep(ctx, jittered(initialBackoff)) {
				return 0, unknownOutcome
			}
		case kv.ModRevision != expected && isOwnWrite(kv.Value):
			return kv.ModRevision, nil
		case kv.ModRevision != expected:
			return 0, &Error{Operation: op, Kind: Superseded, Key: key, Revision: kv.ModRevision}
		}
	}
	return 0, unknownOutcome
}

func (d *Directory) key(name string) string { return d.settings.Prefix + name }
