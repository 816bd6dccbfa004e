package platform_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
)

// oddRegistrations maps a fault to the value of a registration with it under a key
// that ends in odd-1.
var oddRegistrations = map[string]string{
	"deeply nested":           strings.Repeat("[", 20_000),
	"deeply nested field":     `{"sidecar":"odd-1","incarnation":"odd-1","x":` + strings.Repeat("[", 2000) + strings.Repeat("]", 1999),
	"number out of range":     `{"sidecar":1e999,"incarnation":1e999}`,
	"other type":              `["odd-1"]`,
	"no value":                `null`,
	"broken JSON":             `{"sidecar":"odd-1"`,
	"invalid UTF-8":           "\xff\xfe",
	"port out of range":       `{"sidecar":"odd-1","incarnation":"odd-1","address":"127.0.0.1:65536","peer-address":"127.0.0.1:65536"}`,
	"port zero":               `{"sidecar":"odd-1","incarnation":"odd-1","address":"127.0.0.1:0","peer-address":"127.0.0.1:0"}`,
	"no port":                 `{"sidecar":"odd-1","incarnation":"odd-1","address":"127.0.0.1","peer-address":"127.0.0.1"}`,
	"host name":               `{"sidecar":"odd-1","incarnation":"odd-1","address":"host:80","peer-address":"host:80"}`,
	"no address":              `{"sidecar":"odd-1","incarnation":"odd-1"}`,
	"incarnation of a sister": `{"sidecar":"good-1","incarnation":"good-1","address":"127.0.0.1:9","peer-address":"127.0.0.1:9"}`,
	"oversized":               `{"sidecar":"odd-1","incarnation":"odd-1","address":"127.0.0.1:1","peer-address":"127.0.0.1:1","x":"` + strings.Repeat("x", 100_000) + `"}`,
}

// Guards against one odd registration that hides all others: the watches delivered
// nothing and the lists failed. A takeover must still learn of a sidecar whose
// registration cannot be read.
func TestOddRegistrationHidesNoOther(t *testing.T) {
	for fault, value := range oddRegistrations {
		t.Run(fault, func(t *testing.T) {
			f := setup(t, 0)
			ctx := t.Context()
			good := platform.SidecarRegistration{Sidecar: "good-1", Domain: "a", Address: "127.0.0.1:1"}
			entry := platform.EntryRegistration{Incarnation: "good-1", Domain: "a", PeerAddress: "127.0.0.1:1"}
			if err := f.directory.RegisterSidecar(ctx, good); err != nil {
				t.Fatal(err)
			}
			if _, err := f.directory.RegisterEntry(ctx, entry); err != nil {
				t.Fatal(err)
			}
			for _, key := range []string{"sidecars/odd-1", "entries/odd-1", "sidecars/odd", "entries/odd"} {
				if _, err := f.gateway.CompareAndSwap(ctx, platform.DefaultPrefix+key, 0, []byte(value), 0); err != nil {
					t.Fatal(err)
				}
			}
			checkOddListings(t, f, good, entry)
		})
	}
}

func checkOddListings(t *testing.T, f *fixture, good platform.SidecarRegistration, entry platform.EntryRegistration) {
	t.Helper()
	// A key that is no incarnation names no process.
	odd := []ownership.Incarnation{"odd-1"}
	sidecars, err := f.directory.ListSidecars(t.Context())
	if err != nil || !slices.Equal(sidecars.Registrations, []platform.SidecarRegistration{good}) || !slices.Equal(sidecars.Unreadable, odd) {
		t.Errorf("listed sidecars: got %v, unreadable %v, %v, want %v, unreadable %v", sidecars.Registrations, sidecars.Unreadable, err, good, odd)
	}
	entries, err := f.directory.ListEntries(t.Context())
	if err != nil || !slices.Equal(entries, []platform.EntryRegistration{entry}) {
		t.Errorf("listed entries: got %v, %v, want %v", entries, err, entry)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	watchedSidecars := first(ctx, f.directory.WatchSidecars)
	if !slices.Equal(watchedSidecars.Registrations, sidecars.Registrations) || !slices.Equal(watchedSidecars.Unreadable, odd) {
		t.Errorf("watched sidecars: got %v, want those listed", watchedSidecars)
	}
	watchedEntries := first(ctx, f.directory.WatchEntries)
	if !slices.Equal(watchedEntries.Registrations, entries) || !slices.Equal(watchedEntries.Unreadable, odd) {
		t.Errorf("watched entries: got %v, want those listed and unreadable %v", watchedEntries, odd)
	}
}

// first returns the first value that a watch delivers, the zero value if ctx ends
// before.
func first[T any](ctx context.Context, watch func(context.Context, func(T))) T {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var value T
	var once sync.Once
	watch(ctx, func(v T) {
		once.Do(func() { value = v })
		cancel()
	})
	return value
}

// Guards against a log that fills with one line for each read of an odd
// registration, and against a new odd value that is not reported.
func TestOddRegistrationIsReportedOncePerValue(t *testing.T) {
	f := setup(t, 0)
	ctx := t.Context()
	var reported []error
	directory := platform.NewDirectory(f.gateway, platform.DirectorySettings{OnError: func(err error) { reported = append(reported, err) }})
	const key = platform.DefaultPrefix + "sidecars/odd-1"
	revision := platform.Revision(0)
	for i, value := range []string{"[", "{"} {
		var err error
		if revision, err = f.gateway.CompareAndSwap(ctx, key, revision, []byte(value), 0); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if _, err = directory.ListSidecars(ctx); err != nil {
				t.Fatal(err)
			}
			if _, err = directory.ListEntries(ctx); err != nil {
				t.Fatal(err)
			}
		}
		if len(reported) != i+1 || !strings.Contains(reported[i].Error(), key) {
			t.Fatalf("reports of value %d: got %v, want one in all that names %s", i, reported, key)
		}
	}
}
