package lease

import (
	"math/rand/v2"
	"time"
)

// EnterEra records a new era of the store, and returns the number of leases that were lost.
// The session and its leases are void at once. No session is opened until every holder of
// the earlier era knows of the new one or has lost its leases: its last renewal was sent
// before the store changed, so that its leases end within TTL-Margin. The wait is one TTL,
// which leaves the margin for clocks of different speed, and up to a quarter of a TTL more, so that
// instances don't open their sessions at once. An era that is not later than the known one
// has no effect.
func (k *Keeper) EnterEra(era uint64) (lost int) {
	k.mu.Lock()
	if era <= k.era {
		k.mu.Unlock()
		return 0
	}
	k.era = era
	k.held = newExpiry(time.Now().Add(k.config.TTL + rand.N(k.config.TTL/4)))
	current := k.session
	if current != nil {
		lost = len(current.leases)
	}
	k.mu.Unlock()
	if current != nil {
		k.endSession(current)
	}
	return lost
}

// waitsForEra reports whether holders of an earlier era may not know of the present one.
// Both clocks must have passed the time: the wall clock may be set forward, and the
// monotonic one stands still while the machine is suspended.
func (k *Keeper) waitsForEra() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	return now.Before(k.held.monotonic) || now.Round(0).Before(k.held.wall)
}
