package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

const sessionRenewal = 1500 * time.Millisecond // a third of the TTL of 4 s, and a call

// TestWarmupBoundAfterHolderOfAllShares guards against a cold server that gets more
// requests than its limit when an instance that has all shares of it, as the first one
// of a region has, goes on after another instance has acquired them, for as long as
// it takes until the next renewal of its session fails.
func TestWarmupBoundAfterHolderOfAllShares(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "drafts", Warmup: catalog.Warmup{Rate: 3.9, Burst: 3}}
	req := &Request{Service: service}
	for idle := time.Duration(0); idle < time.Second; idle += 10 * time.Millisecond {
		var sent []time.Time
		handover := start.Add(3 * time.Second)
		share := func(since time.Time) (*SharedLimits, *backend.Server) {
			server := backend.NewServer(backend.Info{ID: "i-1", State: backend.StateLive, Service: service.Name})
			server.SetCold(start.Add(time.Minute))
			return &SharedLimits{Shares: heldShares, Share: func(*backend.Server) LimitShare {
				return LimitShare{Count: heldShares, Since: since}
			}}, server
		}
		former, formerServer := share(start)
		successor, successorServer := share(handover)
		idleUntil := handover.Add(idle) // the former holder's burst is unused
		for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if !now.Before(idleUntil) && now.Before(handover.Add(sessionRenewal)) && former.Take(now, req, formerServer) {
				sent = append(sent, now)
			}
			if !now.Before(handover) && successor.Take(now, req, successorServer) {
				sent = append(sent, now)
			}
		}
		checkWarmupBound(c, service.Warmup, sent, "idle for "+idle.String())
	}
}
