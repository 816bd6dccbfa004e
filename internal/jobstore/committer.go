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
	// maxInFlight bounds the transactions in flight. It is more than one so that a
	// transaction whose answer is lost doesn't delay the others.
	maxInFlight = 4
	// retryDelay is the delay before the retry of a write that got no answer or
	// exceeded the store's rate limit.
	retryDelay = 50 * clock.Millis(1)
	// refusalTimeout is how long the write of a new job is retried after refusals
	// before the job is reported as not stored.
	refusalTimeout = 400 * clock.Millis(1)
)

// Settings configures a Committer.
type Settings struct {
	Keys Keys
	// Self is the entry that writes.
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
	// StoredRevision is the revision of the record if Outcome is SaveDone.
	StoredRevision int64
}

// Committer writes the records of jobs to the store. Writes that are enqueued while
// others are in flight are grouped into one transaction. A write without an answer
// is retried until its outcome is known.
type Committer struct {
	settings       Settings
	store          platform.Transactor
	clock          clock.Clock
	deliverResults func([]Result)
	onDeposed      func()

	mu       sync.Mutex
	pending  []*write
	inFlight int
	interval clock.Millis
	wake     chan struct{}
}

// write is a write that is pending or in flight.
type write struct {
	scheduler.Save
	value      []byte
	enqueuedAt clock.Millis
	// unanswered is true after an attempt that may have taken effect without the
	// store's answer.
	unanswered bool
}

// NewCommitter returns a Committer that passes results to deliverResults and calls
// onDeposed when another entry has taken over. Both are called from several
// goroutines.
func NewCommitter(store platform.Transactor, s Settings, clk clock.Clock, deliverResults func([]Result), onDeposed func()) *Committer {
	return &Committer{settings: s, store: store, clock: clk, deliverResults: deliverResults, onDeposed: onDeposed, interval: s.Interval, wake: make(chan struct{}, 1)}
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

// Enqueue adds a write to the pending ones. Its result is delivered later, or during
// the call if the record can't be encoded.
func (c *Committer) Enqueue(s scheduler.Save) {
	w := &write{Save: s, enqueuedAt: c.clock.Now()}
	var record proto.Message = s.Job
	if s.Kind == scheduler.SaveEnd {
		record = s.End
	}
	value, err := proto.Marshal(record)
	if err != nil {
		// Only text that is not UTF-8 can't be encoded, and the callers' API
		// refuses such text.
		c.deliverResults([]Result{{Save: s, Outcome: scheduler.SaveRefused}})
		return
	}
	w.value = value
	c.mu.Lock()
	c.pending = append(c.pending, w)
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp makes Run check for pending writes.
func (c *Committer) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends the pending writes until ctx ends.
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
			group := c.nextGroup()
			if len(group) == 0 {
				break
			}
			lastSent = c.clock.Now()
			go c.commit(ctx, group)
		}
	}
}

// sleep waits for d and reports whether ctx lasted that long.
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

// nextGroup removes the writes of the next transaction from the pending ones. It
// returns none if too many transactions are in flight.
func (c *Committer) nextGroup() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= maxInFlight || len(c.pending) == 0 {
		return nil
	}
	remaining := c.settings.MaxTxnOperations - 1 // one for the condition on the deposed mark
	n := 0
	for n < len(c.pending) && remaining >= operationsOf(c.pending[n]) {
		remaining -= operationsOf(c.pending[n])
		n++
	}
	group := append([]*write(nil), c.pending[:n]...)
	c.pending = append(c.pending[:0], c.pending[n:]...)
	c.inFlight++
	return group
}

// operationsOf returns the number of conditions, puts and deletions of a write.
func operationsOf(w *write) int {
	if w.Kind == scheduler.SaveProgress {
		return 2
	}
	return 3
}

// buildTxn returns the transaction of a group. It succeeds only if the entry has not
// been deposed and each record has the revision that its write replaces.
func (c *Committer) buildTxn(group []*write) platform.Txn {
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

// commit sends one transaction, delivers the results and returns the writes to be
// retried to the front of the pending ones.
func (c *Committer) commit(ctx context.Context, group []*write) {
	result, err := c.store.Txn(ctx, c.buildTxn(group))
	var done []Result
	var retry []*write
	switch {
	case err == nil && result.Succeeded:
		for _, w := range group {
			done = append(done, Result{Save: w.Save, Outcome: scheduler.SaveDone, StoredRevision: int64(result.Revision)})
		}
	case err == nil:
		done, retry = c.handleConflict(ctx, group, result.Current)
	default:
		done, retry = c.handleFailure(group, platform.NoEffect(err))
	}
	if len(done) > 0 {
		c.deliverResults(done)
	}
	if len(retry) > 0 && (err != nil || len(done) == 0) {
		sleep(ctx, retryDelay)
	}
	c.mu.Lock()
	c.inFlight--
	c.pending = append(retry, c.pending...)
	c.mu.Unlock()
	c.wakeUp()
}

// handleFailure separates the results from the writes to be retried after a failed
// transaction. A new job whose every attempt was refused during refusalTimeout is
// certainly not stored, so its write is given up as refused.
func (c *Committer) handleFailure(group []*write, noEffect bool) (done []Result, retry []*write) {
	now := c.clock.Now()
	for _, w := range group {
		w.unanswered = w.unanswered || !noEffect
		if w.Kind == scheduler.SaveNew && !w.unanswered && now-w.enqueuedAt >= refusalTimeout {
			done = append(done, Result{Save: w.Save, Outcome: scheduler.SaveRefused})
			continue
		}
		retry = append(retry, w)
	}
	return done, retry
}

// handleConflict separates the results from the writes to be retried after a
// transaction whose conditions did not hold. Writes without a conflict of their own
// are retried.
func (c *Committer) handleConflict(ctx context.Context, group []*write, current []platform.KeyValue) (done []Result, retry []*write) {
	found := make(map[string]platform.KeyValue, len(current))
	for _, kv := range current {
		found[kv.Key] = kv
	}
	if found[c.settings.Keys.deposed(c.settings.Self)].ModRevision != 0 {
		c.onDeposed()
		return nil, nil
	}
	for _, w := range group {
		open := found[c.settings.Keys.open(w.ID)]
		ended := found[c.settings.Keys.ended(w.ID)]
		if revision, same := isSameRecord(w, open); same {
			w.Revision = revision
			retry = append(retry, w)
			continue
		}
		if open.ModRevision == platform.Revision(w.Revision) && ended.ModRevision == 0 {
			retry = append(retry, w)
			continue
		}
		r := Result{Save: w.Save, Outcome: scheduler.SaveConflict}
		if w.Kind == scheduler.SaveEnd && open.ModRevision == 0 && w.unanswered {
			kv, err := c.store.Get(ctx, c.settings.Keys.ended(w.ID))
			if err != nil {
				retry = append(retry, w)
				continue
			}
			ended = kv
		}
		if revision, ok := alreadyApplied(w, open, ended); ok {
			r.Outcome = scheduler.SaveDone
			r.StoredRevision = revision
		}
		done = append(done, r)
	}
	return done, retry
}

// isSameRecord reports whether the open record is the one that the write replaces,
// but at a revision other than the one given in the answer to the record's own
// write. It also returns the actual revision.
func isSameRecord(w *write, open platform.KeyValue) (int64, bool) {
	if w.Kind == scheduler.SaveNew || open.ModRevision == 0 || open.ModRevision == platform.Revision(w.Revision) {
		return 0, false
	}
	var job wire.StoredJob
	return int64(open.ModRevision), proto.Unmarshal(open.Value, &job) == nil && job.GetNonce() == w.Nonce
}

// alreadyApplied reports whether an earlier attempt of the write has taken effect,
// and at which revision.
func alreadyApplied(w *write, open, ended platform.KeyValue) (int64, bool) {
	if w.Kind == scheduler.SaveEnd {
		var end wire.StoredEnd
		ok := ended.ModRevision != 0 && proto.Unmarshal(ended.Value, &end) == nil && end.GetNonce() == w.End.GetNonce()
		return int64(ended.ModRevision), ok
	}
	var job wire.StoredJob
	ok := open.ModRevision != 0 && proto.Unmarshal(open.Value, &job) == nil && job.GetNonce() == w.Job.GetNonce()
	return int64(open.ModRevision), ok
}
