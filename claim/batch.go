package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Limits on the use of the store.
const (
	callTimeout        = 2 * time.Second       // of one call of the store
	maxTxnsPerWrite    = 4                     // transactions sent with one write before it fails
	maxConcurrentReads = 8                     // after one transaction
	maxPendingWrites   = 4096                  // writes queued for a transaction
	readBackDelay      = 20 * time.Millisecond // after a failed transaction that is not a conflict
	minTxnInterval     = 20 * time.Millisecond // between the starts of consecutive transactions

	throttlePause = 50 * time.Millisecond // after a transaction rejected by the call rate limit
)

// errEffectUnknown means that a write was not confirmed: its record could not be
// read back, or maxTxnsPerWrite transactions did not confirm it.
var errEffectUnknown = errors.New("claim: write to the store not confirmed")

// errQueueFull means that maxPendingWrites are queued.
var errQueueFull = errors.New("claim: queue of writes to the store is full")

// write is one operation queued for the store.
type write struct {
	op        store.Op
	attemptID string // id of the attempt whose claim is written; "" if op writes an outcome
	txnCount  int
	done      chan struct{} // closed once result is set
	result    writeResult

	submitted time.Time
}

// writeResult is the result of a write.
type writeResult struct {
	err         error // nil if the write took effect or heldByOther is set
	notApplied  bool  // with err: the write is known to have had no effect
	existing    Record
	heldByOther bool // another attempt holds the key; existing is its record
}

// batcher queues writes while a transaction is in progress and sends them
// together in the next one (group commit). It runs one transaction at a time and
// starts at most one per minTxnInterval, which bounds the transactions of an
// instance at any load.
type batcher struct {
	store   store.Store
	mu      sync.Mutex
	pending []*write
	running bool
	idle    chan struct{} // closed when running becomes false
	started time.Time     // start of the last transaction; used by run only
	txns    atomic.Uint64
	reads   atomic.Uint64
}

// submit queues a write and starts run unless it is running. It returns
// errQueueFull if too many writes are queued.
func (b *batcher) submit(w *write) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPendingWrites {
		return errQueueFull
	}
	w.submitted = time.Now()
	b.pending = append(b.pending, w)
	if !b.running {
		b.running = true
		b.idle = make(chan struct{})
		go b.run()
	}
	return nil
}

// flush waits until all queued writes are complete or ctx ends.
func (b *batcher) flush(ctx context.Context) error {
	b.mu.Lock()
	idle, running := b.idle, b.running
	b.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends transactions until no write is queued.
func (b *batcher) run() {
	for b.hasPendingOrStop() {
		time.Sleep(time.Until(b.started.Add(minTxnInterval)))
		batch := b.nextBatch()
		b.started = time.Now()
		b.requeue(b.runTxn(batch))
	}
}

// hasPendingOrStop reports whether a write is queued. If none is, it marks the
// batcher as idle.
func (b *batcher) hasPendingOrStop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 {
		return true
	}
	b.running = false
	close(b.idle)
	return false
}

// nextBatch removes the writes of the next transaction from the queue.
func (b *batcher) nextBatch() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), store.MaxOps)
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// requeue puts writes at the front of the queue.
func (b *batcher) requeue(retry []*write) {
	if len(retry) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(retry, b.pending...)
}

// runTxn sends one batch as a transaction, completes the writes whose result is
// known, and returns the others for a further transaction.
func (b *batcher) runTxn(batch []*write) []*write {
	ops := make([]store.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op
		w.txnCount++
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b.txns.Add(1)
	err := b.store.Txn(ctx, ops)
	switch {
	case err == nil:
		completeAll(batch, writeResult{})
		return nil
	case errors.Is(err, store.ErrConflict):
		return b.readBack(batch, true)
	case errors.Is(err, store.ErrThrottled) && time.Since(batch[0].submitted) < claimTimeout:
		return waitThrottled(batch)
	case store.EffectOf(err) == store.NotApplied:
		// A write that was also part of an earlier transaction may have taken
		// effect there.
		for _, w := range batch {
			w.complete(writeResult{err: err, notApplied: w.txnCount == 1})
		}
		return nil
	}
	time.Sleep(readBackDelay)
	return b.readBack(batch, false)
}

// waitThrottled pauses after a transaction that the call rate limit rejected, and
// returns the batch for another transaction. The rejected transaction was not
// applied, so it does not count against maxTxnsPerWrite. More writes are queued
// during the pause.
func waitThrottled(batch []*write) []*write {
	for _, w := range batch {
		w.txnCount--
	}
	time.Sleep(throttlePause)
	return batch
}

// readBack determines the result of each write after a transaction failed, by
// reading its key: one conflict fails the whole transaction, and after a lost
// response it is unknown whether the transaction took effect. conflict is true
// if the transaction failed with a conflict. readBack returns the writes that are
// to be sent again.
func (b *batcher) readBack(batch []*write, conflict bool) []*write {
	retry := make([]bool, len(batch))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, w := range batch {
		group.Go(func() error {
			retry[i] = b.readBackOne(w, conflict)
			return nil
		})
	}
	_ = group.Wait()
	var remaining []*write
	for i, w := range batch {
		if retry[i] {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

// readBackOne completes w, or reports true if w is to be sent again.
func (b *batcher) readBackOne(w *write, conflict bool) bool {
	if w.attemptID == "" {
		// Only the holder of a claim writes its outcome, so repeating the write
		// is harmless.
		return b.retryOrFail(w)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b.reads.Add(1)
	entry, err := b.store.Get(ctx, w.op.Key)
	if errors.Is(err, store.ErrNotFound) {
		w.op.Version = 0
		return b.retryOrFail(w)
	}
	if err != nil {
		w.complete(writeResult{err: errEffectUnknown, notApplied: conflict && w.txnCount == 1})
		return false
	}
	record, err := decodeRecord(entry.Value)
	switch {
	case err != nil:
		w.complete(writeResult{err: err})
	case record.AttemptID == w.attemptID:
		w.complete(writeResult{})
	case record.canBeClaimed():
		w.op.Version = entry.Version
		return b.retryOrFail(w)
	default:
		w.complete(writeResult{heldByOther: true, existing: record})
	}
	return false
}

// retryOrFail reports whether w may be sent in another transaction. If not, it
// completes w with errEffectUnknown.
func (b *batcher) retryOrFail(w *write) bool {
	if w.txnCount < maxTxnsPerWrite {
		return true
	}
	w.complete(writeResult{err: errEffectUnknown})
	return false
}

func (w *write) complete(r writeResult) {
	w.result = r
	close(w.done)
}

func completeAll(batch []*write, r writeResult) {
	for _, w := range batch {
		w.complete(r)
	}
}
