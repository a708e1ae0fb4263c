package mirror

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// relistSpread is the time over which copies that follow a relay list the keys after a
// change of era, so that not all instances read everything at once. A copy that is not
// relayed lists them at once.
const relistSpread = 1500 * time.Millisecond

// errEarlierEra is returned for a listing of an earlier era than the known one.
var errEarlierEra = errors.New("service responds with an earlier era")

// EraChange describes the first complete copy of a later era.
type EraChange struct {
	From, To store.Revision // of the copy; a From of 0 is the first copy
	Dropped  int            // entries of the earlier era that are missing now
	Kept     int            // entries in the later era
}

// LearnEra records an era that the service or another instance has named. If it is later
// than that of the copy, the keys are listed again.
func (m *Mirror) LearnEra(era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era <= m.knownEra {
		return
	}
	m.knownEra = era
	if m.relist != nil {
		m.relist()
	}
	m.wake() // the copy is not current any more
}

// era returns the highest era that is known.
func (m *Mirror) era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownEra
}

// behindEra reports whether the copy is of an earlier era than the known one.
func (m *Mirror) behindEra() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision.Era < m.knownEra
}

// interruptible returns a context for a call that LearnEra ends, and the function to call
// after it.
func (m *Mirror) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relist = cancel
	if m.revision.Era < m.knownEra {
		cancel() // learned since the caller checked
	}
	return ctx, func() {
		m.mu.Lock()
		m.relist = nil
		m.mu.Unlock()
		cancel()
	}
}

// Removal returns the revision at which a key was removed, as far as that is known.
func (m *Mirror) Removal(key string) (store.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision, ok := m.tombstones[key]
	return revision, ok
}
