package proptest

import (
	"fmt"
	"maps"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// call carries out a call of an entry to the store. The request or its answer may be
// lost, and a lost request may be carried out seconds later.
func (s *storedCores) call(e *coreEntry, carryOut func() func(), lost func()) {
	w := s.w
	answered := false
	settle := func(f func()) {
		e.do(func() {
			if !answered {
				answered = true
				f()
				e.tick()
			}
		})
	}
	fail := func() {
		// A connection that breaks fails its call at once.
		if w.rng.IntN(2) == 0 {
			w.after(5, func() { settle(lost) })
		}
	}
	if w.now < w.refusedUntil[e.slot] {
		w.after(1, func() { settle(lost) })
		return
	}
	w.after(storedCallTimeout, func() { settle(lost) })
	delay := clock.Millis(1 + w.rng.IntN(4))
	if w.now < s.slowUntil {
		delay = clock.Millis(60 + w.rng.IntN(180))
	}
	if w.chance(5) {
		if w.rng.IntN(2) == 0 {
			w.after(clock.Millis(200+w.rng.IntN(3000)), func() { carryOut() })
		}
		fail()
		return
	}
	w.after(delay, func() {
		answer := carryOut()
		if w.chance(6) {
			fail()
			return
		}
		w.after(delay, func() { settle(answer) })
	})
}

func (s *storedCores) renew(e *coreEntry) {
	sentAt := s.w.now
	s.call(e, func() func() {
		if s.marks[e.id] != "" {
			return func() { s.endDeposed(e) }
		}
		if e.alive {
			s.leases[e.id] = s.w.now + storedLease
		}
		return func() { e.core.RecordStoreContact(sentAt) }
	}, func() {})
}

// watch delivers changes of the registrations and the marks to the entries.
func (s *storedCores) watch() {
	w := s.w
	var live []ownership.Incarnation
	for id, until := range s.leases {
		if until > w.now {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	state := fmt.Sprint(live, len(s.marks))
	marks := maps.Clone(s.marks)
	for _, e := range w.entries {
		if !e.alive || w.now < e.pausedUntil || s.seen[e.id] == state || w.chance(60) {
			continue
		}
		s.seen[e.id] = state
		w.after(w.latency(), func() {
			e.do(func() {
				if marks[e.id] != "" {
					s.endDeposed(e)
					return
				}
				e.core.SetEntries(live)
				e.core.ApplyFences(marks)
				e.tick()
			})
		})
	}
	w.after(20, s.watch)
}

// endDeposed ends an entry that has been deposed; the platform starts another.
func (s *storedCores) endDeposed(e *coreEntry) {
	if e.alive {
		s.w.logf("%s ends, deposed", e.id)
		e.alive = false
		s.w.after(200, func() { s.w.startEntry(e.slot) })
	}
}

// execute executes a command that needs the store or other entries.
func (s *storedCores) execute(e *coreEntry, c scheduler.Command) {
	w := s.w
	switch c := c.(type) {
	case scheduler.Save:
		(&storedWrite{s: s, e: e, Save: c}).attempt()
	case scheduler.Depose:
		s.depose(e, c.Entry)
	case scheduler.Recover:
		s.recover(e, c.Entry)
	case scheduler.ListOpenJobs:
		s.list(e)
	case scheduler.Lookup:
		s.lookUp(e, c)
	case scheduler.BroadcastNote:
		for _, other := range w.entries {
			if other != e && other.alive && !w.chance(20) {
				w.after(w.latency(), func() { other.do(func() { other.core.HandleEntryNote(w.now, e.id, c.Note); other.tick() }) })
			}
		}
	}
}

func (s *storedCores) depose(e *coreEntry, entry ownership.Incarnation) {
	s.call(e, func() func() {
		if s.leases[entry] <= s.w.now && s.marks[entry] == "" {
			s.marks[entry] = e.id
			s.revision++
			s.w.logf("%s deposes %s", e.id, entry)
		}
		if s.marks[entry] != e.id {
			return func() {}
		}
		return func() { e.core.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{entry: e.id}) }
	}, func() {})
}

// recover reads the marks and then the open jobs for a takeover.
func (s *storedCores) recover(e *coreEntry, entry ownership.Incarnation) {
	again := func() { s.w.after(200, func() { e.do(func() { s.recover(e, entry) }) }) }
	s.call(e, func() func() {
		marks := maps.Clone(s.marks)
		return func() {
			s.call(e, func() func() {
				open := s.listing()
				return func() {
					e.core.ApplyFences(marks)
					var jobs []scheduler.OpenJob
					for _, j := range open.Jobs {
						owner := ownership.Incarnation(j.Record.GetOwner())
						if current, previous := e.core.CurrentOwner(owner); owner != e.id && current == e.id {
							j.PreviousOwners = previous
							jobs = append(jobs, j)
						}
					}
					e.core.RecoverJobs(s.w.now, entry, jobs, []scheduler.Address{"w0", "w1", "w2"}, 0)
				}
			}, again)
		}
	}, again)
}

// listing returns the open jobs, ordered by ID.
func (s *storedCores) listing() scheduler.OpenJobs {
	open := scheduler.OpenJobs{Revision: s.revision}
	for _, id := range slices.Sorted(maps.Keys(s.open)) {
		open.Jobs = append(open.Jobs, scheduler.OpenJob{ID: id, Revision: s.open[id].revision, Record: s.open[id].record})
	}
	return open
}

func (s *storedCores) list(e *coreEntry) {
	readAt := s.w.now
	s.call(e, func() func() {
		open := s.listing()
		open.ReadAt = readAt
		return func() { e.core.Reconcile(s.w.now, open) }
	}, func() { e.core.HandleListingFailure(s.w.now) })
}

func (s *storedCores) lookUp(e *coreEntry, c scheduler.Lookup) {
	resolve := func(closed, unresolved []batch.RunID) {
		for i, x := range s.w.sidecars {
			if x.id == c.Sidecar {
				a := scheduler.Address(fmt.Sprint("w", i))
				e.core.ReleaseRuns(a, closed)
				e.core.RecordUnresolvedRuns(s.w.now, a, unresolved)
			}
		}
	}
	s.call(e, func() func() {
		var closed, unresolved []batch.RunID
		for _, id := range c.Runs {
			if _, ok := s.open[id.Job]; ok {
				unresolved = append(unresolved, id)
			} else {
				closed = append(closed, id)
			}
		}
		return func() { resolve(closed, unresolved) }
	}, func() { resolve(nil, c.Runs) })
}

// storedWrite is a write of an entry, repeated until its outcome is known, as by
// jobstore.Committer.
type storedWrite struct {
	scheduler.Save
	s          *storedCores
	e          *coreEntry
	unanswered bool
}

func (t *storedWrite) attempt() {
	t.s.call(t.e, t.carryOut, func() {
		t.unanswered = true
		t.again()
	})
}

func (t *storedWrite) again() { t.s.w.after(50, func() { t.e.do(t.attempt) }) }

func (t *storedWrite) carryOut() func() {
	s := t.s
	open, ended := s.open[t.ID], s.ended[t.ID]
	if s.marks[t.e.id] != "" {
		return func() { s.endDeposed(t.e) }
	}
	if open.revision != t.Revision || t.Kind == scheduler.SaveNew && ended != nil {
		return func() { t.handleConflict(open, ended) }
	}
	s.revision++
	revision := s.revision
	if t.Kind == scheduler.SaveEnd {
		delete(s.open, t.ID)
		s.ended[t.ID] = t.End
		s.w.logf("job %s ended %v by %s", t.ID, t.End.GetState(), t.e.id)
	} else {
		s.open[t.ID] = openRecord{revision, t.Job}
		s.w.logf("job %s written %s by %s", t.ID, t.Kind, t.e.id)
	}
	return func() { t.deliver(scheduler.SaveDone, revision) }
}

func (t *storedWrite) handleConflict(open openRecord, ended *wire.StoredEnd) {
	switch {
	case t.Kind != scheduler.SaveNew && open.revision != 0 && open.record.GetNonce() == t.Nonce:
		t.Revision = open.revision
		t.again()
	case t.Kind == scheduler.SaveEnd && ended.GetNonce() == t.End.GetNonce():
		t.deliver(scheduler.SaveDone, 0)
	case t.Kind != scheduler.SaveEnd && open.revision != 0 && open.record.GetNonce() == t.Job.GetNonce():
		t.deliver(scheduler.SaveDone, open.revision)
	default:
		t.deliver(scheduler.SaveConflict, 0)
	}
}

func (t *storedWrite) deliver(result scheduler.SaveResult, revision int64) {
	t.e.core.HandleSaveResult(t.s.w.now, t.ID, t.Kind, result, revision)
}
