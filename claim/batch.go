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

// Bounds of the use of the store.
const (
	callTimeout  = 2 * time.Second // one call
	maxRounds    = 4               // transactions in which one write takes part
	maxReads     = 8               // reads back at once
	maxPending   = 4096            // writes that wait for a transaction
	retryBackoff = 20 * time.Millisecond
	txnInterval  = 20 * time.Millisecond // between the starts of two transactions

	throttlePause = 50 * time.Millisecond // after a call over the budget
)

// errUnsettled means that the store did not tell whether a write took effect.
var errUnsettled = errors.New("claim: the store gave no answer")

// errBusy means that too many writes are waiting.
var errBusy = errors.New("claim: too many writes are waiting for the store")

// write is one operation on its way to the store.
type write struct {
	op      store.Op
	attempt string // of a claim; "" for the outcome of a held one
	rounds  int
	ended   chan struct{} // closed once state is final
	state   writeState

	submitted time.Time
}

// writeState is the end of a write.
type writeState struct {
	err     error // nil: the write took effect
	clean   bool  // with err: it certainly did not take effect
	present Record
	taken   bool // another attempt holds the key; present is its record
}

// batcher gathers writes while a transaction is under way and sends them in
// the next one (group commit). One transaction at a time, and at most one in
// txnInterval, bounds the writes of an instance whatever the load.
type batcher struct {
	store   store.Store
	mu      sync.Mutex
	pending []*write
	running bool
	idle    chan struct{} // closed when running ends
	started time.Time     // of the last transaction; used by send only
	txns    atomic.Uint64
	reads   atomic.Uint64
}

// submit queues a write and starts sending if nothing is under way.
func (b *batcher) submit(w *write) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPending {
		return errBusy
	}
	w.submitted = time.Now()
	b.pending = append(b.pending, w)
	if !b.running {
		b.running = true
		b.idle = make(chan struct{})
		go b.send()
	}
	return nil
}

// flush waits until nothing is under way or ctx ends.
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

// send runs transactions until no write is left.
func (b *batcher) send() {
	for b.more() {
		time.Sleep(time.Until(b.started.Add(txnInterval)))
		batch := b.take()
		b.started = time.Now()
		b.putBack(b.transact(batch))
	}
}

// more reports whether a write is waiting. If none is, sending ends.
func (b *batcher) more() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 {
		return true
	}
	b.running = false
	close(b.idle)
	return false
}

// take removes the next batch.
func (b *batcher) take() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), store.MaxOps)
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// putBack queues writes for another round before all others.
func (b *batcher) putBack(again []*write) {
	if len(again) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(again, b.pending...)
}

// transact sends one batch and returns the writes that need another round.
func (b *batcher) transact(batch []*write) []*write {
	ops := make([]store.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op
		w.rounds++
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b.txns.Add(1)
	err := b.store.Txn(ctx, ops)
	switch {
	case err == nil:
		end(batch, writeState{})
		return nil
	case errors.Is(err, store.ErrConflict):
		return b.settle(batch, true)
	case errors.Is(err, store.ErrThrottled) && time.Since(batch[0].submitted) < waitLimit:
		return throttled(batch)
	case store.EffectOf(err) == store.DidNotHappen:
		// A write that an earlier, unsettled transaction carried may still
		// have taken effect.
		for _, w := range batch {
			w.end(writeState{err: err, clean: w.rounds == 1})
		}
		return nil
	}
	time.Sleep(retryBackoff)
	return b.settle(batch, false)
}

// throttled waits for the budget of the store. The transaction was not sent, so
// it does not count as a round; meanwhile more writes gather for it.
func throttled(batch []*write) []*write {
	for _, w := range batch {
		w.rounds--
	}
	time.Sleep(throttlePause)
	return batch
}

// settle reads every key of a batch back, since one conflict fails the whole
// transaction and a lost answer says nothing. It returns the writes that did
// not take effect and may still do so.
func (b *batcher) settle(batch []*write, refused bool) []*write {
	again := make([]bool, len(batch))
	var group errgroup.Group
	group.SetLimit(maxReads)
	for i, w := range batch {
		group.Go(func() error {
			again[i] = b.settleOne(w, refused)
			return nil
		})
	}
	_ = group.Wait()
	var rest []*write
	for i, w := range batch {
		if again[i] {
			rest = append(rest, w)
		}
	}
	return rest
}

// settleOne reports whether w needs another round.
func (b *batcher) settleOne(w *write, refused bool) bool {
	if w.attempt == "" {
		// The outcome of a held claim is written by its holder only, so writing
		// it twice changes nothing.
		return b.another(w)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b.reads.Add(1)
	entry, err := b.store.Get(ctx, w.op.Key)
	if errors.Is(err, store.ErrNotFound) {
		w.op.Version = 0
		return b.another(w)
	}
	if err != nil {
		w.end(writeState{err: errUnsettled, clean: refused && w.rounds == 1})
		return false
	}
	record, err := decodeRecord(entry.Value)
	switch {
	case err != nil:
		w.end(writeState{err: err})
	case record.Attempt == w.attempt:
		w.end(writeState{})
	case record.canBeClaimed():
		w.op.Version = entry.Version
		return b.another(w)
	default:
		w.end(writeState{taken: true, present: record})
	}
	return false
}

// another reports whether w may take part in one more transaction; if not, it
// ends unsettled.
func (b *batcher) another(w *write) bool {
	if w.rounds < maxRounds {
		return true
	}
	w.end(writeState{err: errUnsettled})
	return false
}

func (w *write) end(s writeState) {
	w.state = s
	close(w.ended)
}

func end(batch []*write, s writeState) {
	for _, w := range batch {
		w.end(s)
	}
}
