package mirror

import (
	"context"
	"math"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/store"
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
// for a change, for at most the given time. The update counts only if the status is
// RelayCurrent.
type Relay func(ctx context.Context, since store.Revision, wait time.Duration) (Update, RelayStatus, error)

// RelayStatus is what an instance that is asked for changes can do for the one that asks.
type RelayStatus string

// The states of a relay. Any other text counts as RelayDetached.
const (
	RelayCurrent  RelayStatus = "current"  // the update has all changes that the service has confirmed
	RelayBehind   RelayStatus = "behind"   // the next changes are to be read from the service, once
	RelayDetached RelayStatus = "detached" // the instance does not follow the service itself
)

func (m *Mirror) relay() Relay {
	if m.Relay == nil {
		return nil
	}
	return m.Relay()
}

// followRelay waits for the next changes from a relay and applies them. A relay that
// cannot be relied on counts as detached.
func (m *Mirror) followRelay(ctx context.Context, relay Relay) RelayStatus {
	m.unconfirm()
	before := m.Revision()
	relayCtx, done := m.interruptible(ctx)
	update, status, err := relay(relayCtx, before, m.relayWait())
	done()
	if err == nil {
		m.LearnEra(update.Revision.Era)
	}
	if m.behindEra() {
		return RelayBehind // the keys are listed again
	}
	if err != nil || status == RelayCurrent && (update.Revision.Before(before) || update.Revision.Era != before.Era) {
		return RelayDetached
	}
	if status != RelayCurrent {
		m.recordDetached(status)
		return status
	}
	m.Merge(update)
	m.recordCurrent(time.Now().Add(-update.Age))
	m.sourceAvailable()
	if update.Revision.After(before) {
		loop.Sleep(ctx, batchDelay)
	}
	return RelayCurrent
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

// Await returns the changes after a revision, for an instance that follows this one. It
// waits for a change, for at most wait or until ctx ends. It returns at once with
// RelayDetached if this copy does not follow the service itself, and with RelayBehind if it
// does not know all changes after the revision: all entries would take up the link of this
// instance, while the service has the history.
func (m *Mirror) Await(ctx context.Context, since store.Revision, wait time.Duration) (Update, RelayStatus) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		status, advanced := m.relayStatus(since)
		update := Update{Revision: m.withKnownEra(since)}
		if status == RelayCurrent && m.revision.After(since) {
			update = m.since(since)
		}
		update.Age = ageOf(m.confirmedAt, time.Now())
		m.mu.Unlock()
		if status != RelayCurrent || update.Revision.After(since) {
			return update, status
		}
		select {
		case <-advanced:
		case <-timer.C:
			m.mu.Lock()
			status, _ = m.relayStatus(since)
			update.Revision = m.withKnownEra(since)
			update.Age = ageOf(m.confirmedAt, time.Now())
			m.mu.Unlock()
			return update, status
		case <-ctx.Done():
			return update, RelayDetached
		}
	}
}

// withKnownEra returns a revision, or the start of the known era if that is later. It tells
// an instance that follows this one of the era before this copy has its entries. m.mu is
// held.
func (m *Mirror) withKnownEra(revision store.Revision) store.Revision {
	return revision.Later(store.Revision{Era: m.knownEra})
}

// relayStatus returns what this copy is to an instance at a revision, and the channel that
// is closed at the next change. m.mu is held.
func (m *Mirror) relayStatus(since store.Revision) (RelayStatus, <-chan struct{}) {
	switch {
	case !m.confirmed(time.Now()), m.revision.Era < m.knownEra, m.revision.Era < since.Era:
		return RelayDetached, nil
	case since.Before(m.completeSince):
		return RelayBehind, nil
	}
	if m.advanced == nil {
		m.advanced = make(chan struct{})
	}
	return RelayCurrent, m.advanced
}

// FollowsService reports whether the copy follows the service itself, which has confirmed
// it recently.
func (m *Mirror) FollowsService() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed(time.Now())
}

// confirmed reports whether the service itself has confirmed the copy recently. m.mu is
// held.
func (m *Mirror) confirmed(now time.Time) bool {
	return !m.confirmedAt.IsZero() && ageOf(m.confirmedAt, now) <= m.wait()+maxConfirmationAge
}

// Age returns the time since the copy was last known to be complete. It is the longest
// duration if it never was.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ageOf(m.currentAt, time.Now())
}

// ageOf returns the time since at, the longest duration if that is zero. The age by the wall
// clock counts too: the monotonic clock stands still while the machine is suspended.
func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// recordCurrent records that the copy was complete at the given time.
func (m *Mirror) recordCurrent(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentAt, m.detached = at, false
}

// recordDetached records the status of a relay that has no update.
func (m *Mirror) recordDetached(status RelayStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detached = status != RelayBehind
}

// Current reports whether the copy is complete but for the changes of the last watch: it
// follows the service, itself or through a relay, and neither is known to have failed.
func (m *Mirror) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	maxAge := m.wait() + m.relayWait() + maxConfirmationAge
	return m.outageStart.IsZero() && !m.detached && m.revision.Era == m.knownEra && ageOf(m.currentAt, time.Now()) <= maxAge
}

// Detach lets the instances that follow this copy return to the service, as this one may not
// reach it. It holds until the next response of the service.
func (m *Mirror) Detach() { m.unconfirm() }

// confirm records that the service itself has confirmed the copy.
func (m *Mirror) confirm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = time.Now()
	m.currentAt, m.detached = m.confirmedAt, false
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
