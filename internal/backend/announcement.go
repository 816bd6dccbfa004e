package backend

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// Bounds of an announcement. They are far above any worker in use and reject
// values in a wrong unit, which would mislead placement.
const (
	maxServices    = 256
	maxNameBytes   = 128
	maxSlots       = 4096
	maxConnections = 65536
	maxMemoryMiB   = 64 << 20
	maxCPUs        = 65536
)

// Phase is the lifecycle phase that a backend server announces as its state.
type Phase string

// Phases of a backend server.
const (
	Serving Phase = "serving"
	Leaving Phase = "leaving"
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Services []string `json:"services"`
	// Slots is the number of tasks that the server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the server accepts; 0
	// means one for each slot.
	Connections  int   `json:"connections"`
	MemoryMiB    int64 `json:"memory-mib"`
	CPUs         int   `json:"cpus"`
	Accelerators int   `json:"accelerators"`
	// Address is the IP address and port at which the server accepts tasks.
	Address string `json:"address"`
	State   Phase  `json:"state"`
}

func parseAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, &Error{Op: "announce", Kind: KindMalformed, Err: err}
	}
	if err := a.validate(); err != nil {
		return a, &Error{Op: "announce", Kind: KindMalformed, Err: err}
	}
	if a.Connections == 0 {
		a.Connections = a.Slots
	}
	return a, nil
}

func (a *Announcement) validate() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address %q is not an IP address with a port", a.Address)
	}
	if a.State != Serving && a.State != Leaving {
		return fmt.Errorf("state %q is neither %q nor %q", a.State, Serving, Leaving)
	}
	if len(a.Services) > maxServices {
		return fmt.Errorf("%d services, at most %d are allowed", len(a.Services), maxServices)
	}
	for _, s := range a.Services {
		if s == "" || len(s) > maxNameBytes {
			return fmt.Errorf("service name of %d bytes, 1 to %d are allowed", len(s), maxNameBytes)
		}
	}
	return a.validateSizes()
}

func (a *Announcement) validateSizes() error {
	for _, f := range []struct {
		name       string
		value, max int64
	}{
		{"slots", int64(a.Slots), maxSlots},
		{"connections", int64(a.Connections), maxConnections},
		{"memory-mib", a.MemoryMiB, maxMemoryMiB},
		{"cpus", int64(a.CPUs), maxCPUs},
		{"accelerators", int64(a.Accelerators), maxCPUs},
	} {
		if f.value < 0 || f.value > f.max {
			return fmt.Errorf("%s is %d, 0 to %d are allowed", f.name, f.value, f.max)
		}
	}
	return nil
}

func (a *Announcement) equal(b *Announcement) bool {
	x, y := *a, *b
	x.Services, y.Services = nil, nil
	return slices.Equal(a.Services, b.Services) && fmt.Sprint(x) == fmt.Sprint(y)
}

// State is the state of the backend server as known to its sidecar.
type State struct {
	Announcement
	// Lost is true if no announcement has arrived for the heartbeat timeout.
	Lost bool
}

// ToWire returns the part of the state that is sent to entries.
func (s *State) ToWire() *wire.SidecarState {
	return &wire.SidecarState{
		Services:     slices.Clone(s.Services),
		Slots:        uint32(s.Slots),
		Connections:  uint32(s.Connections),
		MemoryMib:    s.MemoryMiB,
		Cpus:         uint32(s.CPUs),
		Accelerators: uint32(s.Accelerators),
		Leaving:      s.State == Leaving,
	}
}
