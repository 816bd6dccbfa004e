package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/standin/store"
)

const (
	roleStore = "store"
	// storeWindow is how long the calls of idle entries are counted.
	storeWindow = 8 * time.Second
	// storeStart lets the entries register and open their watches first.
	storeStart = 500 * time.Millisecond
)

// storeCalls counts the calls that the real client makes to the stand-in of the
// store. A waiting watch counts as one call.
func storeCalls(r *Report) error {
	if err := storeIdle(r); err != nil {
		return err
	}
	if err := storeEvents(r); err != nil {
		return err
	}
	return storeValues(r)
}

func openStore() (*store.Server, *platform.Directory, func(), error) {
	server, err := store.New("127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	gateway, err := platform.NewGateway(platform.GatewaySettings{Endpoints: []string{server.URL()}})
	if err != nil {
		server.Close()
		return nil, nil, nil, err
	}
	closeAll := func() {
		gateway.Close()
		server.Close()
	}
	return server, platform.NewDirectory(gateway, platform.DirectorySettings{}), closeAll, nil
}

// storeIdle counts what entries call when nothing changes.
func storeIdle(r *Report) error {
	var keep, refresh, waiting []Point
	for _, entries := range entrySizes {
		x := float64(entries)
		server, directory, closeStore, err := openStore()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for e := range entries {
			follow(ctx, &running, directory, e)
		}
		time.Sleep(storeStart)
		before := server.Counts()
		time.Sleep(storeWindow)
		after := server.Counts()
		cancel()
		running.Wait()
		closeStore()
		keep = append(keep, Point{x, perSecond(before, after, "lease-keepalive")})
		refresh = append(refresh, Point{x, perSecond(before, after, "range")})
		waiting = append(waiting, Point{x, float64(after.OpenWatches)})
	}
	r.add(roleStore, "keep-alives of leases", "calls/s", "entry", keep...)
	r.add(roleStore, "reads that refresh watches", "calls/s", "entry", refresh...)
	r.add(roleStore, "waiting watches", "calls", "entry", waiting...)
	return nil
}

func perSecond(before, after store.Counts, kind string) float64 {
	return float64(after.Calls[kind]-before.Calls[kind]) / storeWindow.Seconds()
}

// follow does what an entry does at the store.
func follow(ctx context.Context, running *sync.WaitGroup, d *platform.Directory, entry int) {
	id := ownership.Incarnation(fmt.Sprintf("entry-%d-abcdefghij", entry))
	running.Go(func() { d.KeepEntry(ctx, platform.EntryRegistration{Incarnation: id, Domain: domainName(entry)}, nil) })
	running.Go(func() { d.WatchRecord(ctx, func(ownership.Record) {}) })
	running.Go(func() { d.WatchEntries(ctx, func(platform.EntryListing) {}) })
	running.Go(func() { d.WatchSidecars(ctx, func(platform.SidecarListing) {}) })
	running.Go(func() { d.WatchText(ctx, func(platform.Text) {}) })
}

// storeEvents counts the calls of single events.
func storeEvents(r *Report) error {
	server, d, closeStore, err := openStore()
	if err != nil {
		return err
	}
	defer closeStore()
	ctx := context.Background()
	for _, e := range storeEventsOf(ctx, d) {
		before := total(server.Counts())
		if err := e.run(); err != nil {
			return err
		}
		r.add(roleStore, e.name, "calls", "", Point{1, float64(total(server.Counts()) - before)})
	}
	return nil
}

// storeEvent is an event whose calls to the store are counted.
type storeEvent struct {
	name string
	run  func() error
}

func storeEventsOf(ctx context.Context, d *platform.Directory) []storeEvent {
	registration := platform.SidecarRegistration{Sidecar: sidecarName(0), Domain: domainName(0), Address: "10.0.0.1:7300"}
	return []storeEvent{
		{"start of a sidecar: register, read the record", func() error {
			if err := d.RegisterSidecar(ctx, registration); err != nil {
				return err
			}
			_, err := d.ReadRecord(ctx)
			return err
		}},
		{"stop of a sidecar: delete the registration", func() error { return d.DeleteSidecar(ctx, registration.Sidecar) }},
		{"write of the record", func() error {
			_, err := d.WriteRecord(ctx, ownership.Record{})
			return err
		}},
		{"list of registrations by a new owner", func() error {
			_, err := d.ListSidecars(ctx)
			return err
		}},
		{"write of the services text by teaseltide apply", func() error {
			text, err := d.ReadText(ctx)
			if err == nil {
				_, err = d.WriteText(ctx, text.Revision, []byte("services: []"))
			}
			return err
		}},
		{"start of an entry: lease and key", func() error {
			_, err := d.RegisterEntry(ctx, platform.EntryRegistration{Incarnation: self, Domain: "domain-0"})
			return err
		}},
	}
}

func total(c store.Counts) int {
	n := 0
	for _, calls := range c.Calls {
		n += calls
	}
	return n
}

// storeValues measures the sizes of the stored values.
func storeValues(r *Report) error {
	var record ownership.Record
	for p := range record.Partitions {
		record.Partitions[p] = ownership.Assignment{Owner: self, Successor: other, Epoch: 300}
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	r.add(roleStore, "value of the record", "B", "", Point{1, float64(len(value))})
	value, err = json.Marshal(platform.SidecarRegistration{Sidecar: sidecarName(0), Domain: domainName(0), Address: "10.0.0.1:7300"})
	if err != nil {
		return err
	}
	r.add(roleStore, "value of a sidecar's registration", "B", "", Point{1, float64(len(value))})
	return nil
}
