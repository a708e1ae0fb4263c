package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// TestSuspendedHolder guards against a holder that acts on a lease which has run out while
// its machine was suspended: the monotonic clock stands still meanwhile, and only the wall
// clock shows that the store may have granted the lease to another instance.
func TestSuspendedHolder(t *testing.T) {
	c := qt.New(t)
	k := NewKeeper(nil, DefaultConfig)
	s := &session{expires: k.sessionExpiry(time.Now()), leases: make(map[*Lease]bool)}
	k.session = s
	l, err := k.addLease(s, "fuchsia/orders/cairo/desk", store.Entry{Version: 1})
	c.Assert(err, qt.IsNil)
	c.Check(l.Valid(), qt.IsTrue)
	s.expires.wall = s.expires.wall.Add(-DefaultConfig.TTL) // as if the wall clock had moved on by as much
	c.Check(l.Valid(), qt.IsFalse)
	c.Check(k.currentSession(), qt.IsNil)
	select {
	case <-l.Lost():
	default:
		t.Error("the loss of the lease is not reported")
	}
}
