package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// Attempt is one attempt to run a call: its claim is being written or is held.
type Attempt struct {
	claimer       *Claimer
	id            string // random UUID; the same in all writes of the attempt
	key           string // key of the record in the store
	date          time.Time
	requestDigest string          // keyed digest of Request.Content
	finalOutcome  outcome.Outcome // set before done is closed
	done          chan struct{}
}

func (a *Attempt) record(o outcome.Outcome) []byte {
	return Record{AttemptID: a.id, RequestDigest: a.requestDigest, Outcome: o}.encode()
}

// canBeClaimed reports whether the attempt of the record ended without running,
// so that another attempt may claim the key.
func (r Record) canBeClaimed() bool { return r.Outcome == outcome.NotRun }

// awaitOutcome waits until a has ended or ctx ends, and returns the error for a
// concurrent claim of the same key.
func (a *Attempt) awaitOutcome(ctx context.Context, requestDigest string) error {
	if a.requestDigest != requestDigest {
		return ErrReusedKey
	}
	select {
	case <-a.done:
		if a.finalOutcome == outcome.NotRun {
			return errors.Wrap(ErrUnavailable, "a concurrent attempt with the same key ended without running")
		}
		return &DuplicateError{FirstOutcome: a.finalOutcome}
	case <-ctx.Done():
		return &DuplicateError{FirstOutcome: outcome.Unknown}
	}
}

// Finish ends the attempt and writes its outcome to the store in the background.
// After NotRun the key can be claimed again; Finish then waits for the release to
// take effect, for at most a second, so that a caller that retries immediately
// is not rejected.
func (a *Attempt) Finish(o outcome.Outcome) {
	a.finalOutcome = o
	if o == outcome.NotRun {
		a.releaseAndWait()
		return
	}
	go a.writeOutcome()
}

// writeOutcome writes the outcome of the attempt. If the store stays unavailable
// for all tries, the record keeps the outcome Unknown, and other attempts with
// the same key receive that.
func (a *Attempt) writeOutcome() {
	defer a.claimer.unregister(a)
	backoff := finalWriteBackoff
	for range finalWriteTries {
		w := &write{
			op:   store.Op{Kind: store.OpSet, Key: a.key, Value: a.record(a.finalOutcome)},
			done: make(chan struct{}),
		}
		if a.claimer.batcher.submit(w) == nil {
			<-w.done
			if w.result.err == nil {
				return
			}
		}
		time.Sleep(backoff)
		backoff *= 2
	}
}

// releaseAndWait starts the release and waits for its end, for at most
// maxFinishWait.
func (a *Attempt) releaseAndWait() {
	go a.release()
	timer := time.NewTimer(maxFinishWait)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}

// release sets the outcome of the record to NotRun, so that the key can be
// claimed again. If maxConcurrentReleases are in progress or the store stays
// unavailable for all tries, the record keeps the outcome Unknown, and other
// attempts with the same key receive that.
func (a *Attempt) release() {
	defer a.claimer.unregister(a)
	select {
	case a.claimer.releaseSlots <- struct{}{}:
		defer func() { <-a.claimer.releaseSlots }()
	default:
		return
	}
	backoff := finalWriteBackoff
	for range finalWriteTries {
		if a.tryRelease() {
			return
		}
		time.Sleep(backoff)
		backoff *= 2
	}
}

// tryRelease makes one try to release the claim and reports whether the record
// needs no further try. It writes by compare-and-swap against the version that
// it read: after a release another attempt may hold the key, and a repeated or
// delayed write of this release must not release that claim.
func (a *Attempt) tryRelease() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b := &a.claimer.batcher
	b.reads.Add(1)
	entry, err := b.store.Get(ctx, a.key)
	if errors.Is(err, store.ErrNotFound) {
		// The write of a claim whose response was lost may still reach the
		// store. Creating a released record first makes that write conflict.
		b.txns.Add(1)
		return b.store.Txn(ctx, []store.Op{{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.NotRun)}}) == nil
	}
	if err != nil {
		return false
	}
	record, err := decodeRecord(entry.Value)
	if err != nil || record.AttemptID != a.id || record.Outcome == outcome.NotRun {
		return err == nil
	}
	b.txns.Add(1)
	op := store.Op{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.NotRun), Version: entry.Version}
	return b.store.Txn(ctx, []store.Op{op}) == nil
}
