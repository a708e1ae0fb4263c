// Package lease holds leases of the platform's key-value service. All leases
// of an instance hang on one session, so that the writes of the store do not
// grow with the number of leases. A holder judges its leases by the monotonic
// clock and gives them up a margin before the store may give them to another
// instance: a holder that was paused finds its leases invalid when it wakes.
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

// Config sets the times of a Keeper.
type Config struct {
	TTL    time.Duration // of the session in the store
	Margin time.Duration // a lease is given up this long before TTL has passed
}

// DefaultConfig renews every 5 s and frees the leases of a lost instance after
// 15 s.
var DefaultConfig = Config{TTL: 15 * time.Second, Margin: 3 * time.Second}

// callTimeout bounds one call of the store.
const callTimeout = 3 * time.Second

// renewalsPerTTL is how often a session is renewed while it would last.
const renewalsPerTTL = 3

// Errors of Keeper.Acquire.
var (
	// ErrHeld means that another instance holds the key.
	ErrHeld = errors.New("lease is held by another instance")
	// ErrNoSession means that the keeper has no session at the moment; one is
	// being opened.
	ErrNoSession = errors.New("no session with the key-value service")
)

// Keeper holds the leases of one instance. Run must be running.
type Keeper struct {
	store  store.Store
	config Config

	mu      sync.Mutex
	session *session
	asked   time.Time     // last call of Acquire
	wake    chan struct{} // tells Run that a session is wanted
}

// session is a session of the store with the leases that hang on it. Its
// fields are guarded by the keeper's lock.
type session struct {
	id     store.LeaseID
	until  time.Time // valid before this time, by the monotonic clock
	leases map[*Lease]bool
	ended  bool
}

// Lease is a key that this instance holds.
type Lease struct {
	// Key is the key in the store.
	Key string
	// Fence is the fencing number: every later holder of the key has a higher
	// one.
	Fence uint64

	keeper  *Keeper
	session *session
	lost    chan struct{}
}

// NewKeeper returns a keeper without leases.
func NewKeeper(s store.Store, config Config) *Keeper {
	return &Keeper{store: s, config: config, wake: make(chan struct{}, 1)}
}

// Run keeps a session while leases are held or asked for, so that an instance
// without leases costs the store nothing. When ctx ends it ends the session,
// which frees all leases at once.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.config.TTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		k.renew(ctx)
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-ctx.Done():
			k.stop(context.WithoutCancel(ctx))
			return
		}
	}
}

// renew renews the session, or opens a new one. Only an answer extends its
// validity, counted from before the call was sent.
func (k *Keeper) renew(ctx context.Context) {
	current := k.currentSession()
	if !k.wanted(current) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := time.Now()
	if current == nil {
		k.open(callCtx, before)
		return
	}
	err := k.store.KeepAlive(callCtx, current.id)
	switch {
	case err == nil:
		k.extend(current, before)
	case errors.Is(err, store.ErrNotFound):
		k.end(current)
		k.open(callCtx, before)
	}
}

// wanted reports whether a session is needed: for a lease that is held, or for
// one that was asked for lately.
func (k *Keeper) wanted(current *session) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if current != nil && len(current.leases) > 0 {
		return true
	}
	return !k.asked.IsZero() && time.Since(k.asked) < k.config.TTL
}

// ask notes that a session is wanted.
func (k *Keeper) ask() {
	k.mu.Lock()
	k.asked = time.Now()
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// currentSession returns the session if it is still valid. One that has run
// out ends here, with its leases.
func (k *Keeper) currentSession() *session {
	k.mu.Lock()
	current := k.session
	k.mu.Unlock()
	if current == nil {
		return nil
	}
	if !k.valid(current) {
		k.end(current)
		return nil
	}
	return current
}

func (k *Keeper) open(ctx context.Context, before time.Time) {
	id, err := k.store.Grant(ctx, k.config.TTL)
	if err != nil {
		return // tried again at the next tick; a session whose answer was lost ends by itself
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = &session{id: id, until: k.validUntil(before), leases: make(map[*Lease]bool)}
}

func (k *Keeper) validUntil(before time.Time) time.Time {
	return before.Add(k.config.TTL - k.config.Margin)
}

func (k *Keeper) extend(s *session, before time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !s.ended {
		s.until = k.validUntil(before)
	}
}

func (k *Keeper) valid(s *session) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !s.ended && time.Now().Before(s.until)
}

// end gives up a session and tells the holders of its leases.
func (k *Keeper) end(s *session) {
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

func (k *Keeper) stop(ctx context.Context) {
	k.mu.Lock()
	current := k.session
	k.mu.Unlock()
	if current == nil {
		return
	}
	k.end(current)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = k.store.Revoke(callCtx, current.id) // else it ends by itself
}

// Acquire takes key if nobody holds it. A lost answer of the store is settled
// by reading the key back.
func (k *Keeper) Acquire(ctx context.Context, key string) (*Lease, error) {
	current := k.currentSession()
	if current == nil {
		k.ask()
		return nil, ErrNoSession
	}
	attempt := []byte(uuid.NewString())
	err := k.store.Acquire(ctx, key, attempt, current.id)
	if errors.Is(err, store.ErrConflict) {
		return nil, errors.Wrap(ErrHeld, key)
	}
	if err != nil && store.EffectOf(err) == store.DidNotHappen {
		return nil, err
	}
	entry, readErr := k.store.Get(ctx, key)
	if readErr != nil {
		return nil, errors.Wrapf(readErr, "read lease %s back", key)
	}
	if !bytes.Equal(entry.Value, attempt) {
		return nil, errors.Wrap(ErrHeld, key)
	}
	return k.add(current, key, entry.Version)
}

func (k *Keeper) add(s *session, key string, fence uint64) (*Lease, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.ended {
		return nil, ErrNoSession
	}
	l := &Lease{Key: key, Fence: fence, keeper: k, session: s, lost: make(chan struct{})}
	s.leases[l] = true
	return l, nil
}

// Valid reports whether the lease is held. Check it immediately before each
// action that only the holder may take.
func (l *Lease) Valid() bool { return l.keeper.valid(l.session) }

// Until returns the time until which the lease is valid, if nothing renews it.
func (l *Lease) Until() time.Time {
	l.keeper.mu.Lock()
	defer l.keeper.mu.Unlock()
	return l.session.until
}

// Lost is closed once the lease is noticed to be lost.
func (l *Lease) Lost() <-chan struct{} { return l.lost }
