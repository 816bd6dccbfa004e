package jobstore

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/platform"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxInFlight bounds the transactions on their way, so that one whose
	// answer is lost does not hold up the others.
	maxInFlight = 4
	// retryPause is the wait before a write without an answer or refused for
	// the rate is tried again.
	retryPause = 50 * clock.Millis(1)
	// refuseAfter is how long the store may refuse a new job before its caller
	// is told that it was not stored.
	refuseAfter = 400 * clock.Millis(1)
)

// Settings of a Committer.
type Settings struct {
	Keys Keys
	Self ownership.Incarnation
	// Interval is the shortest time between two transactions: the entry's share
	// of the store's write rate.
	Interval clock.Millis
	// MaxTxnOperations bounds the conditions, writes and deletions of a transaction.
	MaxTxnOperations int
}

// Result is the outcome of a write.
type Result struct {
	scheduler.Save
	Outcome scheduler.SaveResult
	// StoredRevision is the revision of the record after SaveDone.
	StoredRevision int64
}

// Committer writes the records of jobs. Writes that come while others are on
// their way go together in one transaction. A write without an answer is tried
// again until the store tells what became of it.
type Committer struct {
	settings Settings
	store    platform.Transactor
	clock    clock.Clock
	deliver  func([]Result)
	deposed  func()

	mu       sync.Mutex
	waiting  []*write
	inFlight int
	interval clock.Millis
	wake     chan struct{}
}

// write is a record on its way to the store.
type write struct {
	scheduler.Save
	value   []byte
	addedAt clock.Millis
	// unsure is true after an attempt without an answer.
	unsure bool
}

// NewCommitter returns a Committer. deliver is told of results and deposed that
// another entry has taken over; both are called from several goroutines.
func NewCommitter(store platform.Transactor, s Settings, clk clock.Clock, deliver func([]Result), deposed func()) *Committer {
	return &Committer{settings: s, store: store, clock: clk, deliver: deliver, deposed: deposed, interval: s.Interval, wake: make(chan struct{}, 1)}
}

// SetInterval sets the shortest time between two transactions.
func (c *Committer) SetInterval(d clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interval = d
}

func (c *Committer) currentInterval() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interval
}

// Enqueue queues a write.
func (c *Committer) Enqueue(s scheduler.Save) {
	w := &write{Save: s, addedAt: c.clock.Now()}
	var record proto.Message = s.Job
	if s.Kind == scheduler.SaveEnd {
		record = s.End
	}
	value, err := proto.Marshal(record)
	if err != nil {
		// Only text that is not UTF-8 cannot be encoded; the callers' API
		// refuses it.
		c.deliver([]Result{{Save: s, Outcome: scheduler.SaveRefused}})
		return
	}
	w.value = value
	c.mu.Lock()
	c.waiting = append(c.waiting, w)
	c.mu.Unlock()
	c.signal()
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	var lastSent clock.Millis
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for {
			if pause := lastSent + c.currentInterval() - c.clock.Now(); pause > 0 {
				if !sleep(ctx, pause) {
					return
				}
			}
			group := c.next()
			if len(group) == 0 {
				break
			}
			lastSent = c.clock.Now()
			go c.commit(ctx, group)
		}
	}
}

func sleep(ctx context.Context, d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// next takes the writes of the next transaction.
func (c *Committer) next() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= maxInFlight || len(c.waiting) == 0 {
		return nil
	}
	room := c.settings.MaxTxnOperations - 1 // the condition on the deposed mark
	n := 0
	for n < len(c.waiting) && room >= entriesOf(c.waiting[n]) {
		room -= entriesOf(c.waiting[n])
		n++
	}
	group := append([]*write(nil), c.waiting[:n]...)
	c.waiting = append(c.waiting[:0], c.waiting[n:]...)
	c.inFlight++
	return group
}

// entriesOf counts what a write takes of a transaction.
func entriesOf(w *write) int {
	if w.Kind == scheduler.SaveProgress {
		return 2
	}
	return 3
}

func (c *Committer) txn(group []*write) platform.Txn {
	keys := c.settings.Keys
	txn := platform.Txn{Conditions: []platform.Condition{{Key: keys.deposed(c.settings.Self)}}}
	for _, w := range group {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: keys.open(w.ID), Revision: platform.Revision(w.Revision)})
		switch w.Kind {
		case scheduler.SaveNew:
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: keys.ended(w.ID)})
			txn.Puts = append(txn.Puts, platform.Put{Key: keys.open(w.ID), Value: w.value})
		case scheduler.SaveProgress:
			txn.Puts = append(txn.Puts, platform.Put{Key: keys.open(w.ID), Value: w.value})
		case scheduler.SaveEnd:
			txn.Puts = append(txn.Puts, platform.Put{Key: keys.ended(w.ID), Value: w.value})
			txn.Deletes = append(txn.Deletes, keys.open(w.ID))
		}
	}
	return txn
}

// commit sends one transaction and settles its writes.
func (c *Committer) commit(ctx context.Context, group []*write) {
	result, err := c.store.Txn(ctx, c.txn(group))
	var done []Result
	var again []*write
	switch {
	case err == nil && result.Succeeded:
		for _, w := range group {
			done = append(done, Result{Save: w.Save, Outcome: scheduler.SaveDone, StoredRevision: int64(result.Revision)})
		}
	case err == nil:
		done, again = c.conflicts(ctx, group, result.Current)
	default:
		done, again = c.failed(group, platform.NoEffect(err))
	}
	if len(done) > 0 {
		c.deliver(done)
	}
	if len(again) > 0 && (err != nil || len(done) == 0) {
		sleep(ctx, retryPause)
	}
	c.mu.Lock()
	c.inFlight--
	c.waiting = append(again, c.waiting...)
	c.mu.Unlock()
	c.signal()
}

// failed sorts writes whose transaction failed. A new job that the store has
// refused each time for a while is not stored and never will be.
func (c *Committer) failed(group []*write, noEffect bool) (done []Result, again []*write) {
	now := c.clock.Now()
	for _, w := range group {
		w.unsure = w.unsure || !noEffect
		if w.Kind == scheduler.SaveNew && !w.unsure && now-w.addedAt >= refuseAfter {
			done = append(done, Result{Save: w.Save, Outcome: scheduler.SaveRefused})
			continue
		}
		again = append(again, w)
	}
	return done, again
}

// conflicts sorts writes of a transaction whose conditions did not hold. The
// others of the group are tried again.
func (c *Committer) conflicts(ctx context.Context, group []*write, current []platform.KeyValue) (done []Result, again []*write) {
	found := make(map[string]platform.KeyValue, len(current))
	for _, kv := range current {
		found[kv.Key] = kv
	}
	if found[c.settings.Keys.deposed(c.settings.Self)].ModRevision != 0 {
		c.deposed()
		return nil, nil
	}
	for _, w := range group {
		open := found[c.settings.Keys.open(w.ID)]
		ended := found[c.settings.Keys.ended(w.ID)]
		if revision, same := sameRecord(w, open); same {
			w.Revision = revision
			again = append(again, w)
			continue
		}
		if open.ModRevision == platform.Revision(w.Revision) && ended.ModRevision == 0 {
			again = append(again, w)
			continue
		}
		r := Result{Save: w.Save, Outcome: scheduler.SaveConflict}
		if w.Kind == scheduler.SaveEnd && open.ModRevision == 0 && w.unsure {
			kv, err := c.store.Get(ctx, c.settings.Keys.ended(w.ID))
			if err != nil {
				again = append(again, w)
				continue
			}
			ended = kv
		}
		if revision, ok := ours(w, open, ended); ok {
			r.Outcome = scheduler.SaveDone
			r.StoredRevision = revision
		}
		done = append(done, r)
	}
	return done, again
}

// sameRecord reports whether the open record is the one that the write replaces,
// at another revision than the answer to its own write told.
func sameRecord(w *write, open platform.KeyValue) (int64, bool) {
	if w.Kind == scheduler.SaveNew || open.ModRevision == 0 || open.ModRevision == platform.Revision(w.Revision) {
		return 0, false
	}
	var job wire.StoredJob
	return int64(open.ModRevision), proto.Unmarshal(open.Value, &job) == nil && job.GetNonce() == w.Nonce
}

// ours reports whether an earlier attempt of the write has taken effect.
func ours(w *write, open, ended platform.KeyValue) (int64, bool) {
	if w.Kind == scheduler.SaveEnd {
		var end wire.StoredEnd
		ok := ended.ModRevision != 0 && proto.Unmarshal(ended.Value, &end) == nil && end.GetNonce() == w.End.GetNonce()
		return int64(ended.ModRevision), ok
	}
	var job wire.StoredJob
	ok := open.ModRevision != 0 && proto.Unmarshal(open.Value, &job) == nil && job.GetNonce() == w.Job.GetNonce()
	return int64(open.ModRevision), ok
}
