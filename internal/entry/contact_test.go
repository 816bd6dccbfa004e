package entry

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against an owner that is cut off from all other processes and stays
// registered, so that nobody replaces it; against one that notices only by the
// idle ping after 20 s; and against one that stays away when it is back.
func TestRegistrationEndsWithoutSessions(t *testing.T) {
	sidecar, entry := newOther(wire.Hello_ROLE_SIDECAR), newOther(wire.Hello_ROLE_ENTRY)
	entry.id = "a"
	store := &fakeStore{}
	store.sidecars.Registrations = []platform.SidecarRegistration{{Sidecar: "s-1", Address: sidecar.node(t).Addr()}}
	e := start(t, testSettings("b"), store)
	next[dispatch.SidecarConnected](t, e.core)
	dialer := entry.node(t).Dial(peer.Target{Incarnation: "b", Address: e.node.Addr()}, entry)
	next[dispatch.PeerConnected](t, e.core)
	// A sidecar that takes no message answers no ping. No reply to a LeaveAck is
	// due, so the session counts as idle.
	for range cap(sidecar.messages) + 1 {
		e.core.queue(dispatch.SendSidecar{Sidecar: "s-1", Envelope: wire.Wrap(&wire.LeaveAck{})})
	}
	// A session that is held up keeps its node from closing.
	t.Cleanup(func() { release(sidecar) })
	eventually(t, "the sidecar is held up", func() bool { return len(sidecar.messages) == cap(sidecar.messages) })
	registrations := func() (entries int, left bool) {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.entries), store.left
	}
	if _, left := registrations(); left {
		t.Error("the registration ended while there were sessions")
	}
	dialer.Close()
	next[dispatch.SidecarDisconnected](t, e.core)
	eventually(t, "the registration has ended", func() bool { _, left := registrations(); return left })
	release(sidecar)
	next[dispatch.SidecarConnected](t, e.core)
	eventually(t, "the entry is registered again", func() bool { entries, _ := registrations(); return entries == 2 })
}

// release takes the messages that hold up a session.
func release(s *other) {
	for len(s.messages) > 0 {
		<-s.messages
	}
}
