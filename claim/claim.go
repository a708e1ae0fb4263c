// Package claim ensures that a non-repeatable call runs at most once. Before
// the call is sent, its idempotency key is claimed by compare-and-swap in the
// platform's key-value service. A claim has no lease, so a holder that is
// suspended and resumes is still the only holder. Each key contains its date, and
// a key older than the retention period is rejected, so a call cannot run again
// after the record of its key has been deleted.
//
// Many claims share one transaction. If the response to a transaction is lost,
// the records are read back: a record with the random id of the attempt shows
// that its write took effect.
package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// Limits of a claim.
const (
	// MinSecretBytes is the minimum length of Config.Secret.
	MinSecretBytes        = 16
	claimTimeout          = 3 * time.Second // of one Claim, over all its calls of the store
	maxFinishWait         = time.Second     // how long Finish waits for the release of a claim
	finalWriteTries       = 8
	finalWriteBackoff     = 250 * time.Millisecond // between tries to write an outcome or a release; doubled after each try
	maxConcurrentReleases = 256
)

// DefaultRetention is the default period, counted from the date of a key, in
// which the key is accepted and its record is kept.
const DefaultRetention = 24 * time.Hour

// Config configures a Claimer. Secret and Retention must be the same on all
// instances that share a store. The first claim and each cleanup compare them
// with the parameters in the store until they have matched once.
type Config struct {
	Secret    []byte        // HMAC key of the digests in the store
	Retention time.Duration // how long a key is accepted, counted from its date
}

// Errors of Claimer.Claim, in addition to those of an idempotency key.
var (
	// ErrUnavailable means that the claim could not be acquired, although no
	// other attempt is known to hold it: the store failed or did not respond
	// in time, it contains different parameters, or a concurrent attempt with
	// the same key ended without running.
	ErrUnavailable = errors.New("claim: not acquired")
	// ErrReusedKey means that the key was already used for a different request.
	ErrReusedKey = errors.New("claim: idempotency key was used for another request")
)

// DuplicateError is the error returned when another attempt holds the claim.
type DuplicateError struct {
	// FirstOutcome is the outcome of that other attempt: Unknown while it is
	// unfinished, or if its outcome could not be written.
	FirstOutcome outcome.Outcome
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return "claim: held by an attempt with outcome " + e.FirstOutcome.String()
}

// Request identifies a call by its idempotency key, and its content by a digest.
type Request struct {
	Caller  string
	Service string
	Key     string   // idempotency key
	Content [][]byte // parts that must be equal if the key is sent again, such as method, path and body
}

// Stats holds counters since the creation of a Claimer. Transactions and Reads do
// not include the calls that compare the parameters with those in the store.
type Stats struct {
	Claims       uint64 // claims acquired
	Duplicates   uint64 // claims rejected because another attempt held the key
	Unavailable  uint64 // claims that failed with ErrUnavailable because of the store
	Transactions uint64 // write transactions sent to the store
	Reads        uint64 // read calls of the store
	Deleted      uint64 // records deleted after the retention period
}

// Claimer claims idempotency keys for one instance. It is safe for concurrent
// use.
type Claimer struct {
	config       Config
	digester     digester
	batcher      batcher
	params       *paramsCheck
	releaseSlots chan struct{} // semaphore of concurrent releases

	mu         sync.Mutex
	inProgress map[string]*Attempt // attempts of this instance that have not ended, by store key

	claims, duplicates, unavailable, deleted atomic.Uint64
}

// New returns a Claimer that keeps its records in s. It rejects a secret shorter
// than MinSecretBytes and a retention shorter than one minute.
func New(s store.Store, config Config) (*Claimer, error) {
	if len(config.Secret) < MinSecretBytes {
		return nil, errors.Errorf("claim: secret has %d bytes, want %d or more", len(config.Secret), MinSecretBytes)
	}
	if config.Retention < bucketSize {
		return nil, errors.Errorf("claim: retention is %v, want %v or more", config.Retention, bucketSize)
	}
	return &Claimer{
		config:       config,
		digester:     digester{secret: config.Secret},
		batcher:      batcher{store: s},
		params:       newParamsCheck(),
		releaseSlots: make(chan struct{}, maxConcurrentReleases),
		inProgress:   make(map[string]*Attempt),
	}, nil
}

// Stats returns the current counters.
func (c *Claimer) Stats() Stats {
	return Stats{
		Claims:       c.claims.Load(),
		Duplicates:   c.duplicates.Load(),
		Unavailable:  c.unavailable.Load(),
		Transactions: c.batcher.txns.Load(),
		Reads:        c.batcher.reads.Load(),
		Deleted:      c.deleted.Load(),
	}
}

// Flush waits until all attempts of this instance have ended and no write is
// pending, or until ctx ends. The outcome of an attempt may still be missing in
// the store if all tries to write it failed.
func (c *Claimer) Flush(ctx context.Context) error {
	for a := c.anyAttempt(); a != nil; a = c.anyAttempt() {
		select {
		case <-a.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return c.batcher.flush(ctx)
}

func (c *Claimer) anyAttempt() *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.inProgress {
		return a
	}
	return nil
}

// Claim claims the idempotency key of a request. On a nil error the returned
// attempt holds the only claim: the call may run, and must be ended with
// Attempt.Finish. On any error the call must not run.
func (c *Claimer) Claim(ctx context.Context, req Request) (*Attempt, error) {
	date, err := ParseKey(req.Key)
	if err != nil {
		return nil, err
	}
	if err := checkAge(date, time.Now(), c.config.Retention); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.params.check(ctx, c); err != nil {
		c.unavailable.Add(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	a := c.newAttempt(req, date)
	if existing := c.register(a); existing != nil {
		c.duplicates.Add(1)
		return nil, existing.awaitOutcome(ctx, a.requestDigest)
	}
	return c.writeClaim(ctx, a)
}

func (c *Claimer) newAttempt(req Request, date time.Time) *Attempt {
	id := c.digester.digest([]byte(req.Caller), []byte(req.Service), []byte(req.Key))
	return &Attempt{
		claimer:       c,
		id:            uuid.NewString(),
		key:           bucketPrefix(date) + id,
		date:          date,
		requestDigest: c.digester.digest(req.Content...),
		done:          make(chan struct{}),
	}
}

// register adds a to the attempts in progress, or returns the attempt of this
// instance that has the same key and has not ended. Two claims of one key must
// not be sent in one transaction.
func (c *Claimer) register(a *Attempt) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.inProgress[a.key]; existing != nil {
		return existing
	}
	c.inProgress[a.key] = a
	return nil
}

// unregister removes a from the attempts in progress and closes a.done.
func (c *Claimer) unregister(a *Attempt) {
	c.mu.Lock()
	delete(c.inProgress, a.key)
	c.mu.Unlock()
	close(a.done)
}

// writeClaim writes the record of a and waits for the result or for the end of
// ctx.
func (c *Claimer) writeClaim(ctx context.Context, a *Attempt) (*Attempt, error) {
	w := &write{
		op:        store.Op{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.Unknown)},
		attemptID: a.id,
		done:      make(chan struct{}),
	}
	if err := c.batcher.submit(w); err != nil {
		c.unregister(a)
		return nil, c.unavailableError(err)
	}
	select {
	case <-w.done:
		return c.claimResult(a, w.result)
	case <-ctx.Done():
		go c.abandon(a, w)
		return nil, c.unavailableError(ctx.Err())
	}
}

// claimResult returns the result of the claim of a, given the result of its
// write. It ends a unless the claim was acquired.
func (c *Claimer) claimResult(a *Attempt, result writeResult) (*Attempt, error) {
	switch {
	case result.heldByOther:
		a.finalOutcome = result.existing.Outcome
		c.unregister(a)
		c.duplicates.Add(1)
		if result.existing.RequestDigest != a.requestDigest {
			return nil, ErrReusedKey
		}
		return nil, &DuplicateError{FirstOutcome: result.existing.Outcome}
	case result.err != nil:
		c.abort(a, result.notApplied)
		return nil, c.unavailableError(result.err)
	}
	// If this instance was suspended after the first check of the age, an older
	// record of the key may have been deleted before this write, and the call
	// may have run already. If the key is still within the retention period now,
	// no record of it can have been deleted before the write.
	if err := checkAge(a.date, time.Now(), c.config.Retention); err != nil {
		c.abort(a, false)
		return nil, err
	}
	c.claims.Add(1)
	return a, nil
}

// unavailableError counts a claim that failed because of the store and returns
// its error.
func (c *Claimer) unavailableError(err error) error {
	c.unavailable.Add(1)
	return errors.Wrap(ErrUnavailable, err.Error())
}

// abandon waits for the write of a claim whose caller no longer waits, and then
// ends the attempt without running it.
func (c *Claimer) abandon(a *Attempt, w *write) {
	<-w.done
	if w.result.heldByOther {
		a.finalOutcome = w.result.existing.Outcome
		c.unregister(a)
		return
	}
	c.abort(a, w.result.notApplied)
}

// abort ends an attempt that will not run. If its write took effect or may have
// taken effect, the claim is released in the store.
func (c *Claimer) abort(a *Attempt, notApplied bool) {
	a.finalOutcome = outcome.NotRun
	if notApplied {
		c.unregister(a)
		return
	}
	go a.release()
}
