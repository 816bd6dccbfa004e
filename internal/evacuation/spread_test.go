package evacuation_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
)

// network is a store and processes with sessions: two entries, a and b, and two sidecars,
// s and t, with sessions to both entries.
type network struct {
	t         *testing.T
	revision  int64
	evacuated []ownership.Domain
	holders   map[string]*evacuation.Holder
	sessions  map[[2]string]*evacuation.Peer
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	n := &network{t: t, revision: 100, holders: make(map[string]*evacuation.Holder), sessions: make(map[[2]string]*evacuation.Peer)}
	for _, name := range []string{"a", "b", "s", "t"} {
		n.restart(name)
	}
	n.read("a", "b", "s", "t")
	n.exchange()
	return n
}

// restart replaces a process by one without a set, with new sessions.
func (n *network) restart(name string) {
	n.holders[name] = evacuation.NewHolder(nil)
	for _, pair := range []string{"ab", "as", "at", "bs", "bt"} {
		if from, to := pair[:1], pair[1:]; from == name || to == name {
			n.sessions[[2]string{from, to}], n.sessions[[2]string{to, from}] = &evacuation.Peer{}, &evacuation.Peer{}
		}
	}
}

// write changes the store.
func (n *network) write(evacuated ...ownership.Domain) {
	n.revision++
	n.evacuated = evacuated
}

// read makes processes read the store.
func (n *network) read(names ...string) {
	for _, name := range names {
		n.holders[name].Adopt(1, evacuation.New(n.revision, n.evacuated...), "store")
	}
}

// exchange lets the processes send their sets until none is due.
func (n *network) exchange() {
	n.t.Helper()
	for sent, messages := true, 0; sent; {
		sent = false
		for link, peer := range n.sessions {
			own, to := n.holders[link[0]].Current(), link[1]
			if !peer.Due(own) {
				continue
			}
			peer.Note(own)
			received := evacuation.FromWire(own.Wire())
			n.holders[to].Adopt(1, received, link[0])
			n.sessions[[2]string{to, link[0]}].Note(received)
			sent = true
			if messages++; messages > 100 {
				n.t.Fatal("the exchange does not end")
			}
		}
	}
}

// Guards against a process that keeps an old set in one of the failures of the design note.
func TestSetsReachEveryProcess(t *testing.T) {
	for name, test := range map[string]struct {
		play func(*network)
		want []ownership.Domain
	}{
		"store refuses an entry":          {func(n *network) { n.write("z"); n.read("a", "s", "t") }, []ownership.Domain{"z"}},
		"store refuses all but a sidecar": {func(n *network) { n.write("z"); n.read("t") }, []ownership.Domain{"z"}},
		"two at once, one after another":  {func(n *network) { n.write("y", "z"); n.read("a"); n.write("x", "y", "z"); n.read("s") }, []ownership.Domain{"x", "y", "z"}},
		"removal seen by one":             {func(n *network) { n.write("z"); n.read("a", "b", "s", "t"); n.write(); n.read("b") }, nil},
		"removed and written, seen by parts": {func(n *network) {
			n.write("z")
			n.read("a")
			n.write()
			n.read("s")
			n.write("z")
			n.read("t")
		}, []ownership.Domain{"z"}},
		"entry restarts without the store":   {func(n *network) { n.write("z"); n.read("a", "b"); n.exchange(); n.restart("a") }, []ownership.Domain{"z"}},
		"sidecar restarts without the store": {func(n *network) { n.write("z"); n.read("a"); n.exchange(); n.restart("s") }, []ownership.Domain{"z"}},
		"entries restart without the store":  {func(n *network) { n.write("z"); n.read("s"); n.exchange(); n.restart("a"); n.restart("b") }, []ownership.Domain{"z"}},
		"removal while an entry restarts": {func(n *network) {
			n.write("z")
			n.read("b")
			n.exchange()
			n.restart("a")
			n.write()
			n.read("a")
		}, nil},
		"higher revision with the same zones": {func(n *network) { n.write("z"); n.read("a"); n.exchange(); n.write("z"); n.read("b") }, []ownership.Domain{"z"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t)
			test.play(n)
			n.exchange()
			for name, h := range n.holders {
				if got := h.Current(); got == nil || !slices.Equal(got.Domains, test.want) {
					t.Errorf("process %s: got %+v, want %v", name, got, test.want)
				}
			}
		})
	}
}
