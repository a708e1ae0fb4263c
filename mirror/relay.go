package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
)

const (
	// directTime is the shortest time for which a copy follows the service itself
	// after its relay has failed; the longest is twice that. It is longer than the
	// time after which an instance that is gone is not chosen as a relay any more.
	directTime = 4 * time.Second
	// maxConfirmationAge is how much longer than Wait ago the service may have
	// confirmed a copy that is relayed. A watch is given up before that.
	maxConfirmationAge = 1500 * time.Millisecond
)

// Relay fetches from another instance the changes after a revision. The instance waits
// for a change, for at most the given time. following reports whether it follows the
// service itself; if not, the update is nothing to rely on.
type Relay func(ctx context.Context, since uint64, wait time.Duration) (update Update, following bool, err error)

// Behind returns the update for an instance that reads the changes after a revision from
// the service.
func Behind(revision uint64) Update { return Update{Revision: revision, Full: true} }

func (m *Mirror) relay() Relay {
	if m.Relay == nil {
		return nil
	}
	return m.Relay()
}

// relayResult is the result of following a relay once.
type relayResult int

const (
	relayed     relayResult = iota // its changes have been applied
	relayBehind                    // the next changes are to be read from the service
	relayFailed                    // the relay cannot be relied on
)

// followRelay waits for the next changes from a relay and applies them.
func (m *Mirror) followRelay(ctx context.Context, relay Relay) relayResult {
	m.unconfirm()
	before := m.Revision()
	update, following, err := relay(ctx, before, m.relayWait())
	switch {
	case err != nil || !following || update.Revision < before:
		return relayFailed
	case update.Full:
		return relayBehind
	}
	m.Merge(update)
	m.sourceAvailable()
	if update.Revision > before {
		loop.Sleep(ctx, batchDelay)
	}
	return relayed
}

// relayWait returns how long a relay waits for a change. It is shorter than Wait: what
// is left of the bound is needed to read from the service once a relay is silent.
func (m *Mirror) relayWait() time.Duration { return m.wait() * 3 / 4 }

func (m *Mirror) wait() time.Duration {
	if m.Wait <= 0 {
		return defaultWait
	}
	return m.Wait
}

func (m *Mirror) random(n time.Duration) time.Duration {
	if m.Random == nil {
		return rand.N(n)
	}
	return m.Random(n)
}

// Await returns the changes after a revision, for an instance that follows this one. It
// waits for a change, for at most wait or until ctx ends. following reports whether this
// copy follows the service itself; if not, it returns at once. If this copy does not know
// all changes after the revision, the result is Behind: all entries would take up the link
// of this instance, while the service has the history.
func (m *Mirror) Await(ctx context.Context, since uint64, wait time.Duration) (update Update, following bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		following = m.followsService(time.Now())
		if !following || since < m.completeSince {
			m.mu.Unlock()
			return Behind(since), following
		}
		if m.revision > since {
			update = m.since(since)
			m.mu.Unlock()
			return update, true
		}
		if m.advanced == nil {
			m.advanced = make(chan struct{})
		}
		advanced := m.advanced
		m.mu.Unlock()
		select {
		case <-advanced:
		case <-timer.C:
			return Update{Revision: since}, m.Confirmed(time.Now())
		case <-ctx.Done():
			return Update{Revision: since}, false
		}
	}
}

// Confirmed reports whether the service itself has confirmed the copy recently.
func (m *Mirror) Confirmed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.followsService(now)
}

// followsService implements Confirmed. The age by the wall clock counts too: the
// monotonic clock stands still while the machine is suspended. m.mu is held.
func (m *Mirror) followsService(now time.Time) bool {
	if m.confirmedAt.IsZero() {
		return false
	}
	age := max(now.Sub(m.confirmedAt), now.Round(0).Sub(m.confirmedAt.Round(0)))
	return age <= m.wait()+maxConfirmationAge
}

// confirm records that the service itself has confirmed the copy.
func (m *Mirror) confirm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = time.Now()
}

// unconfirm records that the copy does not follow the service itself, and wakes the
// instances that follow this one.
func (m *Mirror) unconfirm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.confirmedAt.IsZero() {
		m.confirmedAt = time.Time{}
		m.wake()
	}
}

// wake wakes all calls of Await. m.mu is held.
func (m *Mirror) wake() {
	if m.advanced != nil {
		close(m.advanced)
		m.advanced = nil
	}
}
