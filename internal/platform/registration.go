package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// renewalsPerLease is the number of renewals within the duration of a
	// lease, so that a single lost response does not let it expire.
	renewalsPerLease = 4
	// registerAttempts bounds the writes of an entry's key, which can conflict
	// with the expiry of its previous lease.
	registerAttempts = 4
)

// SidecarRegistration is the stored registration of a sidecar. Its fields are
// those of dispatch.Registration, to which it is converted.
type SidecarRegistration struct {
	Sidecar ownership.Incarnation `json:"sidecar"`
	Domain  ownership.Domain      `json:"domain"`
	// Address is the ip:port that entries dial.
	Address string `json:"address"`
}

// SidecarListing holds all registrations of sidecars, ordered by incarnation.
type SidecarListing struct {
	// Revision of the store at which the registrations were read.
	Revision      Revision
	Registrations []SidecarRegistration
}

// EntryRegistration is the stored registration of an entry, which is deleted
// when the entry's lease expires.
type EntryRegistration struct {
	Incarnation ownership.Incarnation `json:"incarnation"`
	Domain      ownership.Domain      `json:"domain"`
	// PeerAddress is the ip:port that other entries dial.
	PeerAddress string `json:"peer-address"`
}

// RegisterSidecar creates the registration of a sidecar. It also succeeds if an
// equal registration exists, so that it can be repeated after any error.
func (d *Directory) RegisterSidecar(ctx context.Context, r SidecarRegistration) error {
	value, err := json.Marshal(r)
	if err != nil {
		return &Error{Operation: OpRegisterSidecar, Kind: Refused, Err: err}
	}
	key := d.key(keySidecars) + string(r.Sidecar)
	isOwnWrite := func(stored []byte) bool { return bytes.Equal(stored, value) }
	_, err = d.write(ctx, OpRegisterSidecar, key, 0, value, isOwnWrite)
	if KindOf(err) != Conflict {
		return err
	}
	kv, readErr := d.store.Get(ctx, key)
	if readErr != nil {
		return withOperation(OpRegisterSidecar, readErr)
	}
	if !isOwnWrite(kv.Value) {
		return err
	}
	return nil
}

// HasSidecar reports whether the sidecar is registered.
func (d *Directory) HasSidecar(ctx context.Context, sidecar ownership.Incarnation) (bool, error) {
	kv, err := d.store.Get(ctx, d.key(keySidecars)+string(sidecar))
	if err != nil {
		return false, withOperation(OpFindSidecar, err)
	}
	return kv.ModRevision != 0, nil
}

// DeleteSidecar deletes the registration of a sidecar, if it exists.
func (d *Directory) DeleteSidecar(ctx context.Context, sidecar ownership.Incarnation) error {
	err := d.store.Delete(ctx, d.key(keySidecars)+string(sidecar))
	if err != nil {
		return withOperation(OpDeleteSidecar, err)
	}
	return nil
}

// ListSidecars returns all registrations of sidecars. It fails if one of them
// is malformed, because a takeover must not overlook a sidecar.
func (d *Directory) ListSidecars(ctx context.Context) (SidecarListing, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keySidecars)), 0)
	if err != nil {
		return SidecarListing{}, withOperation(OpListSidecars, err)
	}
	all, err := decodeAll[SidecarRegistration](OpListSidecars, listing.KeyValues)
	return SidecarListing{Revision: listing.Revision, Registrations: all}, err
}

// ListEntries returns all registrations of entries, ordered by incarnation.
func (d *Directory) ListEntries(ctx context.Context) ([]EntryRegistration, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keyEntries)), 0)
	if err != nil {
		return nil, withOperation(OpListEntries, err)
	}
	return decodeAll[EntryRegistration](OpListEntries, listing.KeyValues)
}

func decodeAll[T any](op Operation, kvs []KeyValue) ([]T, error) {
	out := make([]T, len(kvs))
	for i, kv := range kvs {
		if err := json.Unmarshal(kv.Value, &out[i]); err != nil {
			return nil, &Error{Operation: op, Kind: Malformed, Key: kv.Key, Err: err}
		}
	}
	return out, nil
}

// EntryKey returns the key under which an entry is registered.
func (d *Directory) EntryKey(entry ownership.Incarnation) string {
	return d.key(keyEntries) + string(entry)
}

// RegisterEntry writes the registration of an entry under a new lease and
// returns the lease. KeepEntry calls it whenever the lease has expired.
func (d *Directory) RegisterEntry(ctx context.Context, e EntryRegistration) (LeaseID, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, &Error{Operation: OpRegisterEntry, Kind: Refused, Err: err}
	}
	lease, err := d.store.Grant(ctx, d.settings.EntryLease)
	if err != nil {
		return 0, withOperation(OpRegisterEntry, err)
	}
	key := d.key(keyEntries) + string(e.Incarnation)
	expected := Revision(0)
	// The key may still exist under an earlier lease of this entry, also from
	// a write whose response was lost. It is then moved to the new lease.
	for range registerAttempts {
		_, err = d.store.CompareAndSwap(ctx, key, expected, value, lease)
		if err == nil {
			return lease, nil
		}
		if KindOf(err) != Conflict {
			break
		}
		expected = CurrentRevision(err)
	}
	return 0, withOperation(OpRegisterEntry, err)
}

// KeepEntry keeps an entry registered until ctx ends and then revokes the
// lease, so that other processes observe the departure at once. If the lease
// expires, the entry is registered again under a new one. onChange, if not nil,
// is called with true when the entry becomes registered and with false when its
// lease may have expired.
func (d *Directory) KeepEntry(ctx context.Context, e EntryRegistration, onChange func(bool)) {
	k := &entryKeeper{directory: d, entry: e, onChange: onChange, clock: clock.NewSystem()}
	interval := d.settings.EntryLease / renewalsPerLease
	failures := failureReporter{report: d.settings.OnError, recovery: d.settings.Recovery}
	for {
		err := k.renewAndNotify(ctx)
		if ctx.Err() != nil {
			break
		}
		failures.noteResult(err)
		wait := sleep
		if err != nil {
			wait = d.settings.Recovery.wait
		}
		if !wait(ctx, jittered(interval)) {
			break
		}
	}
	k.revoke()
}

// entryKeeper is the state of KeepEntry.
type entryKeeper struct {
	directory *Directory
	entry     EntryRegistration
	onChange  func(bool)
	clock     clock.Clock

	lease LeaseID
	// renewed is the start of the last successful renewal.
	renewed      clock.Millis
	isRegistered bool
}

// renewAndNotify registers the entry or renews its lease, and calls onChange if
// the state changes.
func (k *entryKeeper) renewAndNotify(ctx context.Context) error {
	ttl := k.directory.settings.EntryLease
	start := k.clock.Now()
	err := k.renewOrRegister(ctx)
	if err == nil {
		k.renewed = start
		k.setRegistered(true)
		return nil
	}
	if k.lease == 0 || k.clock.Now()-k.renewed >= ttl {
		k.setRegistered(false)
	}
	return err
}

func (k *entryKeeper) renewOrRegister(ctx context.Context) error {
	if k.lease != 0 {
		// A renewal is cancelled after half of the lease's duration, which
		// leaves time for another one.
		renewalCtx, cancel := context.WithTimeout(ctx, (k.directory.settings.EntryLease / 2).Duration())
		err := k.directory.store.KeepAlive(renewalCtx, k.lease)
		cancel()
		if KindOf(err) != NotFound {
			return err
		}
		k.lease = 0
	}
	lease, err := k.directory.RegisterEntry(ctx, k.entry)
	if err != nil {
		return err
	}
	k.lease = lease
	return nil
}

func (k *entryKeeper) setRegistered(isRegistered bool) {
	if isRegistered != k.isRegistered && k.onChange != nil {
		k.onChange(isRegistered)
	}
	k.isRegistered = isRegistered
}

// revoke revokes the lease. It stops trying after the duration of the lease,
// when the lease has expired anyway.
func (k *entryKeeper) revoke() {
	if k.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.directory.settings.EntryLease.Duration())
	defer cancel()
	_ = k.directory.store.Revoke(ctx, k.lease)
	k.setRegistered(false)
}

// failureReporter reports only the first error after a success, and announces the
// first success after an error.
type failureReporter struct {
	report   func(error)
	recovery *Recovery
	failing  bool
}

func (f *failureReporter) noteResult(err error) {
	if err != nil && !f.failing {
		f.report(err)
	}
	if err == nil && f.failing {
		f.recovery.announce()
	}
	f.failing = err != nil
}

// sleep waits for d and reports whether d elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
