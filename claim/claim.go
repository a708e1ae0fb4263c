// Package claim lets a call that must not be repeated run at most once. Before
// the call is sent, its idempotency key is claimed by compare-and-swap in the
// platform's key-value service. A claim has no lease: a holder that freezes
// and wakes is still the only holder. Keys are dated, and a key older than the
// retention is refused, so that a deleted record never lets a call run again.
//
// Many claims share one transaction. A transaction whose answer is lost is
// settled by reading back the random id of the attempt.
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

// Bounds of a claim.
const (
	MinSecretBytes = 16
	waitLimit      = 3 * time.Second // for the store, as a whole
	releaseWait    = time.Second     // of a caller for the release of its claim
	releaseTries   = 8
	releaseBackoff = 250 * time.Millisecond // doubled after each try
	maxReleases    = 256                    // releases under way
)

// DefaultRetention is how long a record is kept after the date of its key.
const DefaultRetention = 24 * time.Hour

// Config configures a Claimer. Secret and Retention must be the same on all
// instances that share a store; this is checked against the store before the
// first claim.
type Config struct {
	Secret    []byte
	Retention time.Duration
}

// Errors of Claim beside those of a key.
var (
	// ErrUnavailable means that the claim is not held: the store gave no
	// answer in time, or holds other parameters.
	ErrUnavailable = errors.New("claim: not available")
	// ErrReused means that the key was used for a different request.
	ErrReused = errors.New("claim: idempotency key was used for another request")
)

// Taken is the error of a claim that another attempt holds.
type Taken struct {
	// First is the outcome of that attempt; Unknown while it is unfinished.
	First outcome.Outcome
}

// Error implements error.
func (t *Taken) Error() string { return "claim: held by an attempt with outcome " + t.First.String() }

// Request identifies a call.
type Request struct {
	Caller  string
	Service string
	Key     string   // idempotency key
	Content [][]byte // what makes the request: method, path and body
}

// Stats count work since the start.
type Stats struct {
	Claims       uint64 // claims held
	Duplicates   uint64 // claims that another attempt held
	Unavailable  uint64 // claims refused because of the store
	Transactions uint64 // writes to the store
	Reads        uint64 // reads of the store
	Deleted      uint64 // records deleted after their retention
}

// Claimer claims keys for one instance. It is safe for concurrent use.
type Claimer struct {
	config   Config
	digester digester
	batcher  batcher
	params   *paramsCheck
	releases chan struct{} // bounds releases under way

	mu    sync.Mutex
	local map[string]*Attempt // by store key: claims under way at this instance

	claims, duplicates, unavailable, deleted atomic.Uint64
}

// New returns a Claimer that uses s.
func New(s store.Store, config Config) (*Claimer, error) {
	if len(config.Secret) < MinSecretBytes {
		return nil, errors.Errorf("claim: secret has %d bytes, want %d or more", len(config.Secret), MinSecretBytes)
	}
	if config.Retention < bucketSize {
		return nil, errors.Errorf("claim: retention is %v, want %v or more", config.Retention, bucketSize)
	}
	return &Claimer{
		config:   config,
		digester: digester{secret: config.Secret},
		batcher:  batcher{store: s},
		params:   newParamsCheck(),
		releases: make(chan struct{}, maxReleases),
		local:    make(map[string]*Attempt),
	}, nil
}

// Stats returns the counts so far.
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

// Flush waits until all attempts of this instance have ended and their outcomes
// are written, or until ctx ends.
func (c *Claimer) Flush(ctx context.Context) error {
	for a := c.anyAttempt(); a != nil; a = c.anyAttempt() {
		select {
		case <-a.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return c.batcher.flush(ctx)
}

func (c *Claimer) anyAttempt() *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.local {
		return a
	}
	return nil
}

// Claim claims the key of a request. A nil error means that the caller of this
// function holds the only claim and must end it with Attempt.Finish. Any error
// means that this attempt must not run.
func (c *Claimer) Claim(ctx context.Context, req Request) (*Attempt, error) {
	date, err := ParseKey(req.Key)
	if err != nil {
		return nil, err
	}
	if err := checkAge(date, time.Now(), c.config.Retention); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	if err := c.params.check(ctx, c); err != nil {
		c.unavailable.Add(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	a := c.newAttempt(req, date)
	if first := c.enter(a); first != nil {
		c.duplicates.Add(1)
		return nil, first.await(ctx, a.request)
	}
	return c.claim(ctx, a)
}

func (c *Claimer) newAttempt(req Request, date time.Time) *Attempt {
	id := c.digester.digest([]byte(req.Caller), []byte(req.Service), []byte(req.Key))
	return &Attempt{
		claimer: c,
		id:      uuid.NewString(),
		key:     bucketOf(date) + id,
		date:    date,
		request: c.digester.digest(req.Content...),
		ended:   make(chan struct{}),
	}
}

// enter registers a, or returns the attempt with the same key that is under
// way at this instance. Two claims of one key must not meet in a transaction.
func (c *Claimer) enter(a *Attempt) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first := c.local[a.key]; first != nil {
		return first
	}
	c.local[a.key] = a
	return nil
}

func (c *Claimer) leave(a *Attempt) {
	c.mu.Lock()
	delete(c.local, a.key)
	c.mu.Unlock()
	close(a.ended)
}

// claim writes the record and waits for the result.
func (c *Claimer) claim(ctx context.Context, a *Attempt) (*Attempt, error) {
	w := &write{
		op:      store.Op{Kind: store.OpCAS, Key: a.key, Value: a.record(outcome.Unknown)},
		attempt: a.id,
		ended:   make(chan struct{}),
	}
	if err := c.batcher.submit(w); err != nil {
		c.leave(a)
		return nil, c.refuse(err)
	}
	select {
	case <-w.ended:
		return c.judge(a, w.state)
	case <-ctx.Done():
		go c.abandon(a, w)
		return nil, c.refuse(ctx.Err())
	}
}

// judge turns the end of a write into the result of the claim.
func (c *Claimer) judge(a *Attempt, s writeState) (*Attempt, error) {
	switch {
	case s.taken:
		a.first = s.present.Outcome
		c.leave(a)
		c.duplicates.Add(1)
		if s.present.Request != a.request {
			return nil, ErrReused
		}
		return nil, &Taken{First: s.present.Outcome}
	case s.err != nil:
		c.giveUp(a, s.clean)
		return nil, c.refuse(s.err)
	}
	// An instance that was frozen since the first check may have written after
	// the old record was deleted. The key is still young enough now, so no
	// record of it can have been deleted before the write.
	if err := checkAge(a.date, time.Now(), c.config.Retention); err != nil {
		c.giveUp(a, false)
		return nil, err
	}
	c.claims.Add(1)
	return a, nil
}

func (c *Claimer) refuse(err error) error {
	c.unavailable.Add(1)
	return errors.Wrap(ErrUnavailable, err.Error())
}

// abandon ends a claim whose caller no longer waits.
func (c *Claimer) abandon(a *Attempt, w *write) {
	<-w.ended
	if w.state.taken {
		a.first = w.state.present.Outcome
		c.leave(a)
		return
	}
	c.giveUp(a, w.state.clean)
}

// giveUp ends an attempt that will not run. Unless the write certainly had no
// effect, the key is made claimable again.
func (c *Claimer) giveUp(a *Attempt, clean bool) {
	a.first = outcome.NotRun
	if clean {
		c.leave(a)
		return
	}
	go a.release()
}
