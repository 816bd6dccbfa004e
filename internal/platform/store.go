// Package platform accesses the store: the platform's key-value service with
// compare-and-swap, leases and watches. Store is the interface, Gateway its
// client over the etcd v3 JSON gateway, and Directory accesses teaseltide's own
// keys: the ownership record, the services text and the registrations.
//
// Calls use nbhttp. A watch is an unbounded chunked response, which nbhttp's
// client would deliver only when complete, so watches use net/http.
package platform

import (
	"context"
	"strings"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

type (
	// Revision orders the writes to the store. The mod revision of a key is
	// that of its last write; 0 means that the key does not exist.
	Revision int64
	// LeaseID identifies a lease; 0 means no lease.
	LeaseID int64
)

// Store is a client of the key-value service. Its methods return errors of type
// *Error and are safe for concurrent use.
type Store interface {
	// Get reads a key. An absent key has ModRevision 0.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Range reads the keys of a scope that were written at revision since or
	// later; 0 means all.
	Range(ctx context.Context, scope Scope, since Revision) (Listing, error)
	// CompareAndSwap writes a key if its mod revision equals expected; 0 means
	// that it must not exist. It returns the new mod revision.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete deletes a key, if it exists.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease. The Gateway rounds ttl up to whole seconds.
	Grant(ctx context.Context, ttl clock.Millis) (LeaseID, error)
	// KeepAlive renews a lease. An error of kind NotFound means that the lease
	// has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the changes of a scope from revision from on, in order,
	// until the stream fails or ctx ends. The error is never nil.
	Watch(ctx context.Context, scope Scope, from Revision, deliver func([]Event)) error
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision Revision
}

// Listing is the result of a Range.
type Listing struct {
	// Revision of the store at which the keys were read.
	Revision Revision
	// KeyValues is ordered by key.
	KeyValues []KeyValue
	// Count is the number of keys in the scope, regardless of when they were
	// written.
	Count int
}

// Event is the write or deletion of a key.
type Event struct {
	KeyValue
	// Deleted is true if the key was deleted, also by the end of its lease.
	Deleted bool
}

// Scope selects the keys of a Range or Watch: one key, or all keys with a
// prefix.
type Scope struct {
	key    string
	prefix bool
}

// Single selects one key.
func Single(key string) Scope { return Scope{key: key} }

// Prefix selects all keys that begin with prefix, which must not be empty.
func Prefix(prefix string) Scope { return Scope{key: prefix, prefix: true} }

// Key returns the selected key or the prefix.
func (s Scope) Key() string { return s.key }

// Contains reports whether the scope selects a key.
func (s Scope) Contains(key string) bool {
	if s.prefix {
		return strings.HasPrefix(key, s.key)
	}
	return key == s.key
}
