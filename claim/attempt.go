package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// Attempt is a claim under way or held.
type Attempt struct {
	claimer *Claimer
	id      string // random; the same in all writes of the attempt
	key     string // of the record in the store
	date    time.Time
	request string          // keyed digest of the request
	first   outcome.Outcome // set before ended is closed
	ended   chan struct{}
}

func (a *Attempt) record(o outcome.Outcome) []byte {
	return Record{Attempt: a.id, Request: a.request, Outcome: o}.encode()
}

// canBeClaimed reports whether the attempt of a record ended without running.
func (r Record) canBeClaimed() bool { return r.Outcome == outcome.NotRun }

// await waits for the end of a and returns the error of a second attempt.
func (a *Attempt) await(ctx context.Context, request string) error {
	if a.request != request {
		return ErrReused
	}
	select {
	case <-a.ended:
		if a.first == outcome.NotRun {
			return errors.Wrap(ErrUnavailable, "the first attempt did not run")
		}
		return &Taken{First: a.first}
	case <-ctx.Done():
		return &Taken{First: outcome.Unknown}
	}
}

// Finish records how the attempt ended. After NotRun the key can be claimed
// again; Finish then waits a short time for that to take effect, so that a
// caller who sends again at once is not refused.
func (a *Attempt) Finish(o outcome.Outcome) {
	a.first = o
	if o == outcome.NotRun {
		a.releaseAndWait()
		return
	}
	go a.writeOutcome()
}

// writeOutcome records how the attempt ended. If the store stays away, the
// record stays unfinished: duplicates are told that the outcome is unknown.
func (a *Attempt) writeOutcome() {
	defer a.claimer.leave(a)
	pause := releaseBackoff
	for range releaseTries {
		w := &write{
			op:    store.Op{Kind: store.OpSet, Key: a.key, Value: a.record(a.first)},
			ended: make(chan struct{}),
		}
		if a.claimer.batcher.submit(w) == nil {
			<-w.ended
			if w.state.err == nil {
				return
			}
		}
		time.Sleep(pause)
		pause *= 2
	}
}

func (a *Attempt) releaseAndWait() {
	go a.release()
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-timer.C:
	}
}

// release marks the record as not run. It fails only if the store stays away;
// duplicates are then told that the outcome is unknown.
func (a *Attempt) release() {
	defer a.claimer.leave(a)
	select {
	case a.claimer.releases <- struct{}{}:
		defer func() { <-a.claimer.releases }()
	default:
		return
	}
	pause := releaseBackoff
	for range releaseTries {
		if a.tryRelease() {
			return
		}
		time.Sleep(pause)
		pause *= 2
	}
}

// tryRelease reports whether nothing is left to do. It writes against the
// version read: after a release another attempt may hold the key, and a
// second, late write must not free it.
func (a *Attempt) tryRelease() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	b := &a.claimer.batcher
	b.reads.Add(1)
	entry, err := b.store.Get(ctx, a.key)
	if errors.Is(err, store.ErrNotFound) {
		// A claim whose answer was lost may still be on its way. Occupying the
		// key with a released record turns it into a conflict.
		b.txns.Add(1)
		return b.store.Txn(ctx, []store.Op{{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.NotRun)}}) == nil
	}
	if err != nil {
		return false
	}
	record, err := decodeRecord(entry.Value)
	if err != nil || record.Attempt != a.id || record.Outcome == outcome.NotRun {
		return err == nil
	}
	b.txns.Add(1)
	op := store.Op{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.NotRun), Version: entry.Version}
	return b.store.Txn(ctx, []store.Op{op}) == nil
}
