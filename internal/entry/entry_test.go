package entry

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/peer"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/caller"
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

const (
	echoJob  = `{"team":"t","service":"echo","tasks":[{"payload":{"a" : 1}},{"payload":2}]}`
	slowJob  = `{"team":"t","service":"slow","key":"k","tasks":[{"payload":1}]}`
	pumpText = "teams: [{name: t, share: 1}]\nservices: [{name: pump}]\n"
)

// Guards against answers that are not in the documented form, and against jobs
// that reach the core without a key, hash or traceparent.
func TestCallerRequests(t *testing.T) {
	e := startEntry(t, testSettings("a"), &fakeStore{})
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	status, body := sendRequest(t, "POST", e.url()+"/v1/jobs", echoJob, "traceparent", parent)
	if status != 200 || !strings.Contains(body, `"results":[{"a" : 1},2]`) {
		t.Errorf("got %d %s, want the payloads", status, body)
	}
	job := nextEvent[dispatch.Submit](t, e.core).Job
	if !strings.HasPrefix(job.GetKey(), "auto-") || job.GetCallerKey() || len(job.GetBodyHash()) != 32 || job.GetTraceparent() != parent {
		t.Errorf("got job %v, want a generated key, a hash and the caller's traceparent", job)
	}
	cases := []struct {
		method, path, body string
		status             int
		code               caller.Code
	}{
		{"POST", "/v1/jobs", `{`, 400, caller.MalformedRequest},
		{"POST", "/v1/jobs", `{"team":"t","service":"s","tasks":[]}`, 400, caller.MalformedRequest},
		{"POST", "/v1/jobs", strings.Repeat("x", 3000), 413, caller.RequestTooLarge},
		{"PUT", "/v1/jobs", echoJob, 405, caller.MethodNotAllowed},
		{"GET", "/v1/jobs", "", 405, caller.MethodNotAllowed},
		{"GET", "/v2/jobs", "", 404, caller.UnknownPath},
		{"GET", "/v1/jobs/s/t", "", 404, caller.UnknownPath},
		{"GET", "/v1/jobs/s/t/a%20b", "", 400, caller.MalformedRequest},
		{"GET", "/v1/jobs/s/t/a%2Fb", "", 400, caller.MalformedRequest},
		{"GET", "/metrics", "", 404, caller.UnknownPath},
		{"GET", "/debug/pprof/", "", 404, caller.UnknownPath},
	}
	for _, c := range cases {
		status, body = sendRequest(t, c.method, e.url()+c.path, c.body)
		if status != c.status || !strings.Contains(body, `"ran":"not-run","code":"`+string(c.code)+`"`) {
			t.Errorf("%s %s: got %d %s, want %d %s", c.method, c.path, status, body, c.status, c.code)
		}
	}
	if got := e.metric(t, "refusals_total"); got != float64(len(cases)) {
		t.Errorf("got %v refusals counted, want %d", got, len(cases))
	}
	go func() {
		fetch := nextEvent[dispatch.FetchRequest](t, e.core)
		e.core.queue(dispatch.Reply{Request: fetch.Request, Answer: &wire.Answer{Key: fetch.Key, Ran: wire.Ran_RAN_RUNNING}})
	}()
	if status, body = sendRequest(t, "GET", e.url()+"/v1/jobs/s/t/k", ""); status != 202 || !strings.Contains(body, `"key":"k"`) {
		t.Errorf("got %d %s, want a running job", status, body)
	}
	if got := e.metric(t, "answers_total"); got != 1 {
		t.Errorf("got %v answers counted, want 1: queries are not jobs", got)
	}
}

// Guards against requests kept after their caller disconnected, against an
// unbounded number of pending requests, and against a query about a running job
// that is answered with not-run.
func TestCallerDisconnectAndRequestLimit(t *testing.T) {
	s := testSettings("a")
	s.MaxPendingRequests = 1
	e := startEntry(t, s, &fakeStore{})
	c, err := net.Dial("tcp", e.callers.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 63\r\n\r\n" + slowJob))
	submitted := nextEvent[dispatch.Submit](t, e.core)
	if status, body := sendRequest(t, "POST", e.url()+"/v1/jobs", echoJob); status != 503 || !strings.Contains(body, `"ran":"not-run","code":"overloaded"`) {
		t.Errorf("got %d %s, want a refusal", status, body)
	}
	keyed := `{"team":"t","service":"echo","key":"k","tasks":[{"payload":1}]}`
	if status, body := sendRequest(t, "POST", e.url()+"/v1/jobs", keyed); status != 503 || !strings.Contains(body, `"ran":"unknown","code":"overloaded"`) {
		t.Errorf("got %d %s, want a refusal that does not rule out another request for the key", status, body)
	}
	if status, body := sendRequest(t, "GET", e.url()+"/v1/jobs/slow/t/k", ""); status != 503 || !strings.Contains(body, `"ran":"unknown","code":"overloaded"`) {
		t.Errorf("got %d %s, want a refusal that states nothing about the job", status, body)
	}
	c.Close()
	if got := nextEvent[dispatch.CallerDisconnected](t, e.core).Request; got != submitted.Request {
		t.Errorf("got request %d, want %d", got, submitted.Request)
	}
	e.core.queue(dispatch.Reply{Request: submitted.Request, Answer: &wire.Answer{}})
	eventually(t, "the request is released", func() bool { return e.metric(t, "requests_waiting") == 0 })
	if status, _ := sendRequest(t, "POST", e.url()+"/v1/jobs", echoJob); status != 200 {
		t.Errorf("got %d after the caller disconnected, want 200", status)
	}
}

// Guards against jobs without a key that start although their callers left before the
// control thread, late in a process that was paused, read the request.
func TestUnkeyedJobOfACallerThatLeftIsNotSubmitted(t *testing.T) {
	e := startEntry(t, testSettings("a"), &fakeStore{})
	stall := make(chan struct{})
	e.core.mu.Lock()
	e.core.stall = stall
	e.core.mu.Unlock()
	<-stall
	keyed := `{"team":"t","service":"slow","key":"k","tasks":[{"payload":1}]}`
	unkeyed := `{"team":"t","service":"slow","tasks":[{"payload":1}]}`
	for n, body := range []string{unkeyed, keyed} {
		c, err := net.Dial("tcp", e.callers.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		eventually(t, "the request is queued", func() bool { return len(e.loop.submissions) == n+1 })
		c.Close()
	}
	e.core.mu.Lock()
	e.core.stall = nil
	e.core.mu.Unlock()
	close(stall)
	if got, want := nextEvent[dispatch.Submit](t, e.core).Job.GetKey(), "k"; got != want {
		t.Errorf("key of the first submitted job: got %q, want %q", got, want)
	}
	eventually(t, "the requests are released", func() bool { return e.requests.inFlight.Load() == 0 })
}

// Guards against an unbounded wait of callers for a control thread that lags
// behind: requests beyond its queue are refused immediately with not-run, and a
// refused job never reaches the core.
func TestOverload(t *testing.T) {
	e := startEntry(t, testSettings("a"), &fakeStore{})
	stall := make(chan struct{})
	e.core.mu.Lock()
	e.core.stall = stall
	e.core.mu.Unlock()
	<-stall
	const extra = 50
	var mu sync.Mutex
	counts := map[int]int{}
	var sent sync.WaitGroup
	for range submitBuffer + extra {
		sent.Go(func() {
			status, body := sendRequest(t, "POST", e.url()+"/v1/jobs", echoJob)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
			if status == 503 && !strings.Contains(body, `"ran":"not-run","code":"overloaded"`) {
				t.Errorf("got refusal %s", body)
			}
		})
	}
	eventually(t, "requests beyond the queue are refused while the others are pending", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return counts[503] == extra
	})
	e.core.mu.Lock()
	e.core.stall = nil
	e.core.mu.Unlock()
	close(stall)
	sent.Wait()
	accepted := 0
	for len(e.core.events) > 0 {
		if _, ok := (<-e.core.events).(dispatch.Submit); ok {
			accepted++
		}
	}
	if counts[200]+counts[503] != submitBuffer+extra || accepted != counts[200] {
		t.Errorf("got statuses %v and %d jobs at the core", counts, accepted)
	}
}

// Guards against a graceful shutdown that loses the answer to a pending request,
// accepts jobs that it cannot finish, or does not revoke its lease.
func TestDrain(t *testing.T) {
	store := &fakeStore{}
	e := startEntry(t, testSettings("a"), store)
	answered := make(chan string, 1)
	go func() {
		_, body := sendRequest(t, "POST", e.url()+"/v1/jobs", slowJob)
		answered <- body
	}()
	submitted := nextEvent[dispatch.Submit](t, e.core)
	if status, _ := sendRequest(t, "GET", e.url()+"/v1/healthz", ""); status != 200 {
		t.Errorf("got %d before the drain, want 200", status)
	}
	e.stop()
	nextEvent[dispatch.Drain](t, e.core)
	if status, _ := sendRequest(t, "GET", e.url()+"/v1/healthz", ""); status != 503 {
		t.Errorf("got %d while draining, want 503", status)
	}
	if status, body := sendRequest(t, "POST", e.url()+"/v1/jobs", echoJob); status != 503 || !strings.Contains(body, `"draining"`) {
		t.Errorf("got %d %s, want a refusal", status, body)
	}
	e.core.queue(dispatch.Drained{})
	time.Sleep(300 * time.Millisecond)
	e.core.queue(dispatch.Reply{Request: submitted.Request, Answer: &wire.Answer{Ran: wire.Ran_RAN_COMPLETE, Results: [][]byte{[]byte("1")}}})
	if body := <-answered; !strings.Contains(body, `"results":[1]`) {
		t.Errorf("got %s, want the result", body)
	}
	err := <-e.ended
	e.ended <- err
	if err != nil {
		t.Error(err)
	}
	if !store.leaseRevoked {
		t.Error("got the lease not revoked")
	}
}

// Guards against a shutdown that never ends, and against one that fails without
// an error.
func TestDrainTimeout(t *testing.T) {
	s := testSettings("a")
	s.DrainTimeout = 100
	e := startEntry(t, s, &fakeStore{})
	e.stop()
	err := <-e.ended
	e.ended <- err
	var got *Error
	if !errors.As(err, &got) || got.Kind != DrainTimeout {
		t.Errorf("got %v, want an error of kind %s", err, DrainTimeout)
	}
}

// Guards against a lost response to a record write that is taken for a failure or
// a success without reading the record, a revision that is published before the
// core has the record, and a list or a deletion that is abandoned in an outage.
func TestStoreCommands(t *testing.T) {
	store := &fakeStore{}
	store.sidecars.Registrations = []platform.SidecarRegistration{{Sidecar: "s", Address: "127.0.0.1:1"}}
	e := startEntry(t, testSettings("a"), store)
	core := e.core
	core.queue(dispatch.WriteRecord{})
	if got := nextEvent[dispatch.RecordRead](t, core).Record; got.Revision != 1 {
		t.Errorf("got revision %d, want 1", got.Revision)
	}
	store.update(func() { store.loseNextResponse = true })
	core.queue(dispatch.WriteRecord{Record: ownership.Record{Revision: 1}})
	if got := nextEvent[dispatch.RecordRead](t, core).Record; got.Revision != 2 {
		t.Errorf("lost response: got revision %d, want 2", got.Revision)
	}
	nextEvent[dispatch.RecordWriteFailed](t, core)
	core.queue(dispatch.WriteRecord{Record: ownership.Record{Revision: 1}})
	if got := nextEvent[dispatch.RecordRead](t, core).Record; got.Revision != 2 {
		t.Errorf("conflict: got revision %d, want 2", got.Revision)
	}
	nextEvent[dispatch.RecordWriteFailed](t, core)
	eventually(t, "the revision is published", func() bool { return e.metric(t, "record_revision") == 2 })

	store.update(func() { store.unavailable = true })
	for range 100 {
		core.queue(dispatch.ListRegistrations{RecordRevision: 1})
	}
	core.queue(dispatch.ListRegistrations{RecordRevision: 2})
	core.queue(dispatch.DeleteRegistration{Sidecar: "s"})
	time.Sleep(100 * time.Millisecond)
	store.update(func() { store.unavailable = false })
	listed := func() dispatch.RegistrationsListed {
		for {
			if got := nextEvent[dispatch.RegistrationsListed](t, core); got.RecordRevision != 0 {
				return got
			}
		}
	}
	if got := listed(); got.RecordRevision != 2 {
		t.Errorf("got a list for record revision %d, want 2", got.RecordRevision)
	}
	eventually(t, "the registration is deleted", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.sidecars.Registrations) == 0
	})
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.listCalls > 10 {
		t.Errorf("got %d calls for the requests of one outage, want at most 10", store.listCalls)
	}
}

// Guards against a services text replaced by an older one, an invalid or too
// large one that is adopted, and a refused text that is parsed again with each
// ping.
func TestServicesTextRevisions(t *testing.T) {
	store := &fakeStore{}
	store.text = platform.Text{Revision: 3, Data: []byte(pumpText)}
	e := startEntry(t, testSettings("a"), store)
	if got := nextEvent[dispatch.TextAdopted](t, e.core); got.Revision != 3 || got.Text.Service("pump") == nil {
		t.Errorf("got %+v, want revision 3", got)
	}
	for _, text := range []*wire.Text{
		{Revision: 2, Text: []byte(pumpText)},
		{Revision: 6, Text: []byte(pumpText)},
		{Revision: 5, Text: []byte(pumpText)},
		{Revision: 7, Text: []byte("services: 1")},
		{Revision: 7, Text: []byte("services: 1")},
		{Revision: 8, Text: []byte("#" + strings.Repeat("x", operator.MaxTextBytes))},
	} {
		localPeer{e.Process}.AdoptText(text)
	}
	if got := nextEvent[dispatch.TextAdopted](t, e.core).Revision; got != 6 {
		t.Errorf("got revision %d, want 6", got)
	}
	if got := e.metric(t, "texts_refused_total"); got != 2 {
		t.Errorf("got %v texts refused, want 2", got)
	}
	if got := e.metric(t, "text_revision"); got != 6 {
		t.Errorf("got revision %v in force, want 6", got)
	}
}

// fakePeer is the remote end of a session.
type fakePeer struct {
	role     wire.Hello_Role
	id       string
	messages chan *wire.Envelope
	sessions chan *peer.Session
	texts    chan *wire.Text
}

func newFakePeer(role wire.Hello_Role) *fakePeer {
	return &fakePeer{
		role:     role,
		id:       "s-1",
		messages: make(chan *wire.Envelope, 10),
		sessions: make(chan *peer.Session, 10),
		texts:    make(chan *wire.Text, 10),
	}
}

func (s *fakePeer) Hello() *wire.Hello                { return &wire.Hello{Role: s.role, Incarnation: s.id} }
func (s *fakePeer) Revisions() (int64, int64)         { return 0, 0 }
func (s *fakePeer) Text() *wire.Text                  { return nil }
func (s *fakePeer) AdoptText(text *wire.Text)         { s.texts <- text }
func (s *fakePeer) Disconnected(*peer.Session, error) {}
func (s *fakePeer) Connected(session *peer.Session, _ *wire.Hello) error {
	s.sessions <- session
	return nil
}
func (s *fakePeer) Message(_ *peer.Session, e *wire.Envelope) { s.messages <- e }
func (s *fakePeer) PeerRevisions(*peer.Session, int64, int64) {}

func (s *fakePeer) node(t *testing.T) *peer.Node {
	t.Helper()
	cfg := peer.DefaultConfig()
	cfg.Listen, cfg.Token = "127.0.0.1:0", "peers"
	node, err := peer.New(cfg, clock.NewSystem(), s, s, noFrames{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close(t.Context()) })
	return node
}

func fetchEnvelope(key string) *wire.Envelope { return wire.Wrap(&wire.Fetch{Key: key}) }

// Guards against frames sent to the wrong process, a services text that a sidecar
// does not receive, and a session that outlives its registration.
func TestSidecarSession(t *testing.T) {
	s := newFakePeer(wire.Hello_ROLE_SIDECAR)
	node := s.node(t)
	store := &fakeStore{text: platform.Text{Revision: 5, Data: []byte(pumpText)}}
	store.sidecars.Registrations = []platform.SidecarRegistration{{Sidecar: "s-1", Address: node.Addr()}}
	e := startEntry(t, testSettings("a"), store)
	nextEvent[dispatch.SidecarConnected](t, e.core)
	if text := <-s.texts; text.GetRevision() != 5 {
		t.Errorf("got revision %d, want 5", text.GetRevision())
	}
	e.core.queue(dispatch.SendSidecar{Sidecar: "s-1", Envelope: fetchEnvelope("k")})
	if got := (<-s.messages).GetFetch().GetKey(); got != "k" {
		t.Errorf("got key %q, want k", got)
	}
	(<-s.sessions).Send(wire.Wrap(&wire.Results{Key: "k"}))
	if got := nextEvent[dispatch.SidecarMessage](t, e.core); got.Sidecar != "s-1" || got.Envelope.GetResults().GetKey() != "k" {
		t.Errorf("got %v", got)
	}
	// The fake peer reports revision 0, so that each ping after a change makes
	// the entry send the new text.
	store.update(func() { store.text = platform.Text{Revision: 6, Data: []byte(pumpText)} })
	select {
	case text := <-s.texts:
		if text.GetRevision() != 6 {
			t.Errorf("got revision %d, want 6", text.GetRevision())
		}
	case <-time.After(5 * time.Second):
		t.Error("got no new text within 5 s")
	}
	store.update(func() { store.sidecars.Registrations = nil })
	nextEvent[dispatch.SidecarDisconnected](t, e.core)
	eventually(t, "the closed session is counted", func() bool { return e.metric(t, "sessions_closed_total") == 1 })
}

// Guards against handling frames of a session that a newer one of the same
// process has replaced, and against taking the end of the old session for the
// end of the new one.
func TestSessionReplaced(t *testing.T) {
	e := startEntry(t, testSettings("a"), &fakeStore{})
	s := newFakePeer(wire.Hello_ROLE_ENTRY)
	node := s.node(t)
	dial := func() *peer.Session {
		t.Cleanup(node.Dial(peer.Target{Incarnation: "a", Address: e.node.Addr()}, s).Close)
		return <-s.sessions
	}
	first, second := dial(), dial()
	core := newFakeCore()
	l := newProcess(testSettings("b"), Deps{Clock: clock.NewSystem(), Log: zap.NewNop()}, core).loop
	message := dispatch.PeerMessage{Entry: "a"}
	disconnected := dispatch.PeerDisconnected{Entry: "a"}
	for _, step := range []struct {
		session *peer.Session
		event   dispatch.Event
		want    int
	}{
		{first, message, 0},
		{first, dispatch.PeerConnected{Entry: "a"}, 1},
		{first, message, 1},
		{second, dispatch.PeerConnected{Entry: "a"}, 2}, // preceded by the disconnection of the first
		{first, message, 0},
		{first, disconnected, 0},
		{second, message, 1},
		{second, disconnected, 1},
		{second, message, 0},
	} {
		l.handle(event{session: step.session, core: step.event})
		if got := len(core.events); got != step.want {
			t.Errorf("%T: got %d events at the core, want %d", step.event, got, step.want)
		}
		for len(core.events) > 0 {
			<-core.events
		}
	}
}

// Guards against more than one session between two entries, an answer above the
// frame limit that ends the session instead of failing its job, and processes of
// another role that are accepted as entries.
func TestEntrySessions(t *testing.T) {
	store := &fakeStore{text: platform.Text{Revision: 5, Data: []byte(pumpText)}}
	a := startEntry(t, testSettings("a"), store)
	// Entry b gets the text from a, not from its store.
	b := startEntry(t, testSettings("b"), &fakeStore{entries: []platform.EntryRegistration{{Incarnation: "a", PeerAddress: a.node.Addr()}}})
	store.update(func() {
		store.entries = append(store.entries, platform.EntryRegistration{Incarnation: "b", PeerAddress: b.node.Addr()})
	})
	nextEvent[dispatch.PeerConnected](t, a.core)
	nextEvent[dispatch.PeerConnected](t, b.core)
	if got := nextEvent[dispatch.TextAdopted](t, b.core); got.Revision != 5 {
		t.Errorf("got revision %d, want 5", got.Revision)
	}
	time.Sleep(200 * time.Millisecond)
	for len(a.core.events) > 0 {
		if event, again := (<-a.core.events).(dispatch.PeerConnected); again {
			t.Errorf("got a second session: %v", event)
		}
	}
	b.core.queue(dispatch.SendPeer{Entry: "a", Envelope: wire.Wrap(&wire.Answer{
		Request: 9, Key: "k", Ran: wire.Ran_RAN_COMPLETE, Results: [][]byte{make([]byte, 17<<20)},
	})})
	got := nextEvent[dispatch.PeerMessage](t, a.core).Envelope.GetAnswer()
	if got.GetRequest() != 9 || got.GetRan() != wire.Ran_RAN_FAILED || got.GetCode() != string(caller.AnswerTooLarge) {
		t.Errorf("got %v, want a failure in place of the large answer", got)
	}
	if got := a.metric(t, "sessions_closed_total") + b.metric(t, "sessions_closed_total"); got != 0 {
		t.Errorf("got %v sessions closed, want 0", got)
	}
	s := newFakePeer(wire.Hello_ROLE_SIDECAR)
	d := s.node(t).Dial(peer.Target{Incarnation: "a", Address: a.node.Addr()}, s)
	defer d.Close()
	<-s.sessions
	time.Sleep(100 * time.Millisecond)
	for len(a.core.events) > 0 {
		switch event := (<-a.core.events).(type) {
		case dispatch.PeerConnected, dispatch.SidecarConnected:
			t.Errorf("got a session that a sidecar opened: %v", event)
		}
	}
}
