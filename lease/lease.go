// Package lease acquires and renews leases in the platform's key-value service.
// All leases of an instance belong to one session, so that the rate of writes to
// the store does not grow with the number of leases. The holder determines the
// validity of its leases by its own clocks and treats them as lost some time before
// the store may grant them to another instance. A process that was paused, or whose
// machine was suspended, therefore finds its leases invalid when it resumes.
package lease

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Config holds the time limits of a Keeper.
type Config struct {
	TTL    time.Duration // of the session in the store, from its last renewal
	Margin time.Duration // leases become invalid this long before TTL has passed
}

// DefaultConfig renews the session every 5 s. The store frees the leases of a
// failed instance 15 s after the last renewal.
var DefaultConfig = Config{TTL: 15 * time.Second, Margin: 3 * time.Second}

// callTimeout limits a call of the store that renews, opens or ends a session.
const callTimeout = 3 * time.Second

// renewalsPerTTL is the number of renewals of a session per Config.TTL.
const renewalsPerTTL = 3

// Errors of Keeper.Acquire.
var (
	// ErrHeld means that another instance holds the key.
	ErrHeld = errors.New("lease is held by another instance")
	// ErrNoSession means that the keeper has no valid session. Run opens one if
	// it is running; call Acquire again.
	ErrNoSession = errors.New("no session with the key-value service")
)

// Store is the part of the key-value service that a Keeper uses. Its Acquire fails with
// store.ErrConflict if the key is held under another lease.
type Store interface {
	store.Leases
	// Get returns the entry of key. An absent key gives store.ErrNotFound.
	Get(ctx context.Context, key string) (store.Entry, error)
	// Txn applies all operations or none. A failed condition gives store.ErrConflict.
	Txn(ctx context.Context, ops []store.Op) error
}

// Keeper acquires and renews the leases of one instance. Acquire succeeds only
// while Run is running.
type Keeper struct {
	store  Store
	config Config

	mu               sync.Mutex
	session          *session
	sessionRequested time.Time     // last call of Acquire that found no valid session
	era              uint64        // of the store, as last learned
	held             expiry        // no session is opened before; see EnterEra
	wake             chan struct{} // signals Run that a session is needed
}

// session is a session of the store and the leases that belong to it. Keeper.mu
// guards its fields.
type session struct {
	id      store.LeaseID
	era     uint64 // of the store when the session was opened
	value   []byte // of all keys that are acquired in the session; unique
	expires expiry
	leases  map[*Lease]bool
	ended   bool
}

// expiry is when a session becomes invalid, by the monotonic and by the wall clock: the
// former stands still while the machine is suspended.
type expiry struct{ monotonic, wall time.Time }

func newExpiry(t time.Time) expiry { return expiry{t, t.Round(0)} }

func (e expiry) passed(now time.Time) bool {
	return !now.Before(e.monotonic) || !now.Round(0).Before(e.wall)
}

// Lease is a key that this instance holds.
type Lease struct {
	// Key is the key in the store.
	Key string
	// Fence is the fencing number. It is higher for each later holder of the key in the
	// same era of the store.
	Fence uint64
	// Era is the era of the store in which Fence was assigned.
	Era uint64

	keeper   *Keeper
	session  *session
	lost     chan struct{}
	released bool // guarded by Keeper.mu
}

// NewKeeper returns a keeper without leases.
func NewKeeper(s Store, config Config) *Keeper {
	return &Keeper{store: s, config: config, wake: make(chan struct{}, 1)}
}

// Run keeps a session open while leases are held or requested, so that an
// instance without leases makes no calls to the store. When ctx is done, it
// revokes the session, which frees all leases immediately.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.config.TTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		k.renewSession(ctx)
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-ctx.Done():
			k.revokeSession(context.WithoutCancel(ctx))
			return
		}
	}
}

// renewSession renews the session or opens a new one. Only a successful response
// extends the validity, which counts from before the call was sent.
func (k *Keeper) renewSession(ctx context.Context) {
	current := k.currentSession()
	if !k.sessionNeeded(current) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	if current == nil {
		if !k.waitsForEra() {
			k.openSession(callCtx, sentAt)
		}
		return
	}
	err := k.store.KeepAlive(callCtx, current.id)
	switch {
	case err == nil:
		k.extendSession(current, sentAt)
	case errors.Is(err, store.ErrNotFound):
		k.endSession(current)
		if !k.waitsForEra() {
			k.openSession(callCtx, sentAt)
		}
	}
}

// sessionNeeded reports whether leases are held, or Acquire has requested a
// session within the last TTL.
func (k *Keeper) sessionNeeded(current *session) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current != nil && len(current.leases) > 0 {
		return true
	}
	return !k.sessionRequested.IsZero() && time.Since(k.sessionRequested) < k.config.TTL
}

// RequestSession makes Run open a session if none is open.
func (k *Keeper) RequestSession() {
	k.mu.Lock()
	k.sessionRequested = time.Now()
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// currentSession returns the session, or nil if there is none. It ends a session
// that is no longer valid, and all leases that belong to it.
func (k *Keeper) currentSession() *session {
	k.mu.Lock()
	current := k.session
	k.mu.Unlock()
	if current == nil {
		return nil
	}
	if !k.sessionValid(current) {
		k.endSession(current)
		return nil
	}
	return current
}

func (k *Keeper) openSession(ctx context.Context, sentAt time.Time) {
	k.mu.Lock()
	era := k.era
	k.mu.Unlock()
	id, err := k.store.Grant(ctx, k.config.TTL)
	if err != nil {
		return // Run retries at the next tick; a session whose response was lost expires
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.era != era {
		return // the session may be of the earlier era
	}
	k.session = &session{id: id, era: era, value: []byte(uuid.NewString()), expires: k.sessionExpiry(sentAt), leases: make(map[*Lease]bool)}
}

func (k *Keeper) sessionExpiry(sentAt time.Time) expiry {
	return newExpiry(sentAt.Add(k.config.TTL - k.config.Margin))
}

func (k *Keeper) extendSession(s *session, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !s.ended {
		s.expires = k.sessionExpiry(sentAt)
	}
}

func (k *Keeper) sessionValid(s *session) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !s.ended && !s.expires.passed(time.Now())
}

// endSession invalidates a session and closes the Lost channels of its leases.
func (k *Keeper) endSession(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if k.session == s {
		k.session = nil
	}
	for l := range s.leases {
		close(l.lost)
	}
}

func (k *Keeper) revokeSession(ctx context.Context) {
	k.mu.Lock()
	current := k.session
	k.mu.Unlock()
	if current == nil {
		return
	}
	k.endSession(current)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = k.store.Revoke(callCtx, current.id) // if this fails, the session expires
}

// Acquire acquires the lease of key if no instance holds it. It reads the key
// back for the fencing number, and to find out whether the write took effect if
// its response was lost.
func (k *Keeper) Acquire(ctx context.Context, key string) (*Lease, error) {
	current := k.currentSession()
	if current == nil {
		k.RequestSession()
		return nil, ErrNoSession
	}
	err := k.store.Acquire(ctx, key, current.value, current.id)
	if errors.Is(err, store.ErrConflict) {
		return nil, errors.Wrap(ErrHeld, key)
	}
	if err != nil && store.EffectOf(err) == store.NotApplied {
		return nil, err
	}
	entry, readErr := k.store.Get(ctx, key)
	if readErr != nil {
		return nil, errors.Wrapf(readErr, "read back lease key %s", key)
	}
	if !bytes.Equal(entry.Value, current.value) {
		return nil, errors.Wrap(ErrHeld, key)
	}
	l, err := k.addLease(current, key, entry)
	if err != nil && entry.Era != current.era {
		// The key was written in a new era, under a lease whose number may be that of
		// another instance, which would keep it.
		_ = k.deleteKey(ctx, key, entry.Revision())
	}
	return l, err
}

func (k *Keeper) addLease(s *session, key string, entry store.Entry) (*Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.ended {
		return nil, ErrNoSession
	}
	l := &Lease{Key: key, Fence: entry.Version, Era: entry.Era, keeper: k, session: s, lost: make(chan struct{})}
	s.leases[l] = true
	return l, nil
}

// Release gives up a lease, so that another instance may acquire its key. The lease is
// invalid from then on, also if the key cannot be deleted: the key is then kept until the
// session ends, or this instance acquires it again.
func (k *Keeper) Release(ctx context.Context, l *Lease) error {
	k.mu.Lock()
	if !l.released && !l.session.ended {
		close(l.lost)
	}
	l.released = true
	delete(l.session.leases, l)
	k.mu.Unlock()
	return k.deleteKey(ctx, l.Key, store.Revision{Era: l.Era, Number: l.Fence})
}

// deleteKey deletes a key unless it has another revision.
func (k *Keeper) deleteKey(ctx context.Context, key string, revision store.Revision) error {
	return k.store.Txn(ctx, []store.Op{
		{Kind: store.OpCheck, Key: key, Version: revision.Number, Era: revision.Era},
		{Kind: store.OpDelete, Key: key},
	})
}

// HasSession reports whether a session is open, so that Acquire need not wait for one.
func (k *Keeper) HasSession() bool { return k.currentSession() != nil }

// Valid reports whether the lease is still held. Check it immediately before each
// action that only the holder may take.
func (l *Lease) Valid() bool {
	l.keeper.mu.Lock()
	defer l.keeper.mu.Unlock()
	return !l.released && !l.session.ended && !l.session.expires.passed(time.Now())
}

// ValidUntil returns the time at which the lease becomes invalid unless it is
// renewed.
func (l *Lease) ValidUntil() time.Time {
	l.keeper.mu.Lock()
	defer l.keeper.mu.Unlock()
	return l.session.expires.monotonic
}

// Lost returns a channel that is closed when the keeper detects the loss of the
// lease.
func (l *Lease) Lost() <-chan struct{} { return l.lost }
