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
	// renewalsPerLease is how often a lease is renewed within its time, so
	// that one lost answer does not let it lapse.
	renewalsPerLease = 4
	// registerAttempts bounds the writes of an entry's key against races
	// with the end of its previous lease.
	registerAttempts = 4
)

// SidecarRegistration is the key of a sidecar. Its fields are those of
// dispatch.Registration, to which it converts.
type SidecarRegistration struct {
	Sidecar ownership.Incarnation `json:"sidecar"`
	Domain  ownership.Domain      `json:"domain"`
	// Address is the ip:port that entries dial.
	Address string `json:"address"`
}

// SidecarListing are all registrations of sidecars, ordered by incarnation.
type SidecarListing struct {
	// Revision of the store at which they were read.
	Revision      Revision
	Registrations []SidecarRegistration
}

// EntryRegistration is the key of an entry, which lives as long as its lease.
type EntryRegistration struct {
	Incarnation ownership.Incarnation `json:"incarnation"`
	Domain      ownership.Domain      `json:"domain"`
	// PeerAddress is the ip:port that other entries dial.
	PeerAddress string `json:"peer-address"`
}

// RegisterSidecar creates the registration of a sidecar. It succeeds if an
// equal registration exists, so it can be repeated after any error.
func (d *Directory) RegisterSidecar(ctx context.Context, r SidecarRegistration) error {
	value, err := json.Marshal(r)
	if err != nil {
		return &Error{Operation: OpRegisterSidecar, Kind: Refused, Err: err}
	}
	key := d.key(keySidecars) + string(r.Sidecar)
	ours := func(stored []byte) bool { return bytes.Equal(stored, value) }
	_, err = d.write(ctx, OpRegisterSidecar, key, 0, value, ours)
	if KindOf(err) != Conflict {
		return err
	}
	kv, readErr := d.store.Get(ctx, key)
	if readErr != nil {
		return during(OpRegisterSidecar, readErr)
	}
	if !ours(kv.Value) {
		return err
	}
	return nil
}

// HasSidecar tells whether a registration of the sidecar exists.
func (d *Directory) HasSidecar(ctx context.Context, sidecar ownership.Incarnation) (bool, error) {
	kv, err := d.store.Get(ctx, d.key(keySidecars)+string(sidecar))
	if err != nil {
		return false, during(OpFindSidecar, err)
	}
	return kv.ModRevision != 0, nil
}

// DeleteSidecar deletes the registration of a sidecar, if it exists.
func (d *Directory) DeleteSidecar(ctx context.Context, sidecar ownership.Incarnation) error {
	err := d.store.Delete(ctx, d.key(keySidecars)+string(sidecar))
	if err != nil {
		return during(OpDeleteSidecar, err)
	}
	return nil
}

// ListSidecars reads all registrations of sidecars, ordered by incarnation. A
// malformed one fails the call: a takeover must not overlook a sidecar.
func (d *Directory) ListSidecars(ctx context.Context) (SidecarListing, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keySidecars)), 0)
	if err != nil {
		return SidecarListing{}, during(OpListSidecars, err)
	}
	all, err := decodeAll[SidecarRegistration](OpListSidecars, listing.KeyValues)
	return SidecarListing{Revision: listing.Revision, Registrations: all}, err
}

// ListEntries reads all registrations of entries, ordered by incarnation.
func (d *Directory) ListEntries(ctx context.Context) ([]EntryRegistration, error) {
	listing, err := d.store.Range(ctx, Prefix(d.key(keyEntries)), 0)
	if err != nil {
		return nil, during(OpListEntries, err)
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
// returns the lease. KeepEntry calls it as often as needed.
func (d *Directory) RegisterEntry(ctx context.Context, e EntryRegistration) (LeaseID, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, &Error{Operation: OpRegisterEntry, Kind: Refused, Err: err}
	}
	lease, err := d.store.Grant(ctx, d.settings.EntryLease)
	if err != nil {
		return 0, during(OpRegisterEntry, err)
	}
	key := d.key(keyEntries) + string(e.Incarnation)
	expected := Revision(0)
	// The key may still exist under an earlier lease of this entry, also from
	// a write whose answer was lost. It is then moved to the new lease.
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
	return 0, during(OpRegisterEntry, err)
}

// KeepEntry keeps an entry registered until ctx ends and then revokes the
// lease, so that the others see the entry leave at once. A lapsed lease is
// granted again and the key written again. registered, if not nil, is told
// when the registration begins to hold and when its lease may have lapsed.
func (d *Directory) KeepEntry(ctx context.Context, e EntryRegistration, registered func(bool)) {
	k := &keeper{directory: d, entry: e, registered: registered, clock: clock.NewSystem()}
	interval := d.settings.EntryLease / renewalsPerLease
	failures := failureReport{report: d.settings.OnError}
	for {
		err := k.step(ctx)
		if ctx.Err() != nil {
			break
		}
		failures.note(err)
		if !sleep(ctx, jittered(interval)) {
			break
		}
	}
	k.leave()
}

// keeper holds the state of KeepEntry.
type keeper struct {
	directory  *Directory
	entry      EntryRegistration
	registered func(bool)
	clock      clock.Clock

	lease LeaseID
	// renewed is the time before the last renewal that succeeded.
	renewed clock.Millis
	holds   bool
}

// step registers the entry or renews its lease.
func (k *keeper) step(ctx context.Context) error {
	ttl := k.directory.settings.EntryLease
	start := k.clock.Now()
	err := k.renew(ctx)
	if err == nil {
		k.renewed = start
		k.set(true)
		return nil
	}
	if k.lease == 0 || k.clock.Now()-k.renewed >= ttl {
		k.set(false)
	}
	return err
}

func (k *keeper) renew(ctx context.Context) error {
	if k.lease != 0 {
		// A renewal that takes longer than half of the lease is given up,
		// to leave time for another one.
		limited, cancel := context.WithTimeout(ctx, (k.directory.settings.EntryLease / 2).Duration())
		err := k.directory.store.KeepAlive(limited, k.lease)
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

func (k *keeper) set(holds bool) {
	if holds != k.holds && k.registered != nil {
		k.registered(holds)
	}
	k.holds = holds
}

// leave revokes the lease, within a lease's time; later it has lapsed anyway.
func (k *keeper) leave() {
	if k.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.directory.settings.EntryLease.Duration())
	defer cancel()
	_ = k.directory.store.Revoke(ctx, k.lease)
	k.set(false)
}

// failureReport passes on the first error after a success.
type failureReport struct {
	report  func(error)
	failing bool
}

func (f *failureReport) note(err error) {
	if err != nil && !f.failing {
		f.report(err)
	}
	f.failing = err != nil
}

// sleep reports whether it waited for the whole of d before ctx ended.
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
