package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

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
	// maxRegistrationBytes bounds a stored registration; its three fields need a
	// few hundred bytes.
	maxRegistrationBytes = 4096
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
	// Unreadable holds the sidecars named by the keys whose values are not valid
	// registrations. They cannot be dialled, but may hold runs.
	Unreadable []ownership.Incarnation
}

// EntryRegistration is the stored registration of an entry, which is deleted
// when the entry's lease expires.
type EntryRegistration struct {
	Incarnation ownership.Incarnation `json:"incarnation"`
	Domain      ownership.Domain      `json:"domain"`
	// PeerAddress is the ip:port that other entries dial.
	PeerAddress string `json:"peer-address"`
}

// EntryListing holds all registrations of entries, ordered by incarnation.
type EntryListing struct {
	Registrations []EntryRegistration
	// Unreadable holds the entries named by the keys whose values are not valid
	// registrations. They cannot be dialled, but are registered.
	Unreadable []ownership.Incarnation
}

func (r SidecarRegistration) check(key ownership.Incarnation) error {
	return checkRegistration(key, r.Sidecar, r.Address)
}

func (e EntryRegistration) check(key ownership.Incarnation) error {
	return checkRegistration(key, e.Incarnation, e.PeerAddress)
}

// checkRegistration checks the required fields. The domain may be empty, because it
// only affects the choice between processes.
func checkRegistration(key, incarnation ownership.Incarnation, address string) error {
	if incarnation != key {
		return errors.Errorf("incarnation %.100q differs from the key", incarnation)
	}
	if !IsDialable(address) {
		return errors.Errorf("%.100q is not an IP address with a port", address)
	}
	return nil
}

// IsDialable reports whether address is an IP address with a port from 1 to 65535.
func IsDialable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
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

// ListSidecars returns all registrations of sidecars. Those that cannot be read
// are listed by their keys, because a takeover must not overlook a sidecar.
func (d *Directory) ListSidecars(ctx context.Context) (SidecarListing, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keySidecars)), 0)
	if err != nil {
		return SidecarListing{}, withOperation(OpListSidecars, err)
	}
	return d.sidecarListing(listing.KeyValues, listing.Revision), nil
}

func (d *Directory) sidecarListing(kvs []KeyValue, revision Revision) SidecarListing {
	all, unreadable, named := decodeRegistrations[SidecarRegistration](d.key(keySidecars), kvs)
	d.report(OpListSidecars, d.unreadableSidecars.Update(unreadable))
	return SidecarListing{Revision: revision, Registrations: all, Unreadable: named}
}

// ListEntries returns the valid registrations of entries, ordered by incarnation.
func (d *Directory) ListEntries(ctx context.Context) ([]EntryRegistration, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keyEntries)), 0)
	if err != nil {
		return nil, withOperation(OpListEntries, err)
	}
	return d.entryListing(listing.KeyValues).Registrations, nil
}

func (d *Directory) entryListing(kvs []KeyValue) EntryListing {
	all, unreadable, named := decodeRegistrations[EntryRegistration](d.key(keyEntries), kvs)
	d.report(OpListEntries, d.unreadableEntries.Update(unreadable))
	return EntryListing{Registrations: all, Unreadable: named}
}

// decodeRegistrations decodes each registration by itself, so that an invalid one,
// which another writer may have left, does not hide the others. It also returns the
// processes that the keys of invalid ones name.
func decodeRegistrations[T interface {
	check(key ownership.Incarnation) error
}](prefix string, kvs []KeyValue,
) (valid []T, unreadable []UnreadableValue, named []ownership.Incarnation) {
	for _, kv := range kvs {
		id := ownership.Incarnation(strings.TrimPrefix(kv.Key, prefix))
		var r T
		err := decodeBounded(kv.Value, &r)
		if err == nil {
			err = r.check(id)
		}
		if err == nil {
			valid = append(valid, r)
			continue
		}
		unreadable = append(unreadable, UnreadableValue{KeyValue: kv, Err: err})
		if id.IsWellFormed() {
			named = append(named, id)
		}
	}
	return valid, unreadable, named
}

func (d *Directory) report(op Operation, unreadable []UnreadableValue) {
	for _, v := range unreadable {
		d.settings.OnError(&Error{Operation: op, Kind: Malformed, Key: v.Key, Err: v.Err})
	}
}

func decodeBounded(value []byte, target any) error {
	if len(value) > maxRegistrationBytes {
		return errors.Errorf("%d bytes exceed %d", len(value), maxRegistrationBytes)
	}
	return errors.WithStack(json.Unmarshal(value, target))
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
			wait = d.settings.Recovery.Wait
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
		f.recovery.Announce()
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
