package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestInsecurePeersAreRefusedInProduction(t *testing.T) {
	c := qt.New(t)
	s := DefaultSettings()
	s.Instance, s.Region, s.Zone = "a", "cairo", "cairo-a"
	s.StoreURL, s.PlatformURL = "http://127.0.0.1:1", "http://127.0.0.1:2"
	c.Assert(s.Check(), qt.ErrorMatches, ".*peer-cert.*")
	s.PeerInsecure = true
	c.Assert(s.Check(), qt.IsNil)
	s.Production = true
	c.Assert(s.Check(), qt.ErrorMatches, ".*peer-insecure: refused in production.*")
}
