package hosted

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// TestColdServersAreColdWhenListed guards against requests without a limit to servers
// that are listed while their warm-up has not been recorded yet.
func TestColdServersAreColdWhenListed(t *testing.T) {
	c := qt.New(t)
	const servers = 500
	s := newServersWithCold(servers)
	published := make(chan struct{})
	go func() {
		defer close(published)
		s.publish(time.Now())
	}()
	var warm time.Time
	for done := false; !done; {
		select {
		case <-published:
			done = true
		default:
		}
		for _, server := range s.instance.registry.Servers("cold") {
			if now := time.Now(); !server.Cold(now) {
				warm = now
			}
		}
	}
	c.Assert(warm.IsZero(), qt.IsTrue, qt.Commentf("a server is listed as warm"))
}

func newServersWithCold(count int) *servers {
	i := &Instance{registry: backend.NewRegistry(), table: &catalog.Table{}}
	i.versions = newVersions(i)
	s := &servers{instance: i, local: make(map[string]*serverEntry), evacuated: make(map[string]evacuation), missingGrace: time.Second}
	for n := range count {
		info := backend.Info{ID: fmt.Sprintf("i-%d", n), Service: "cold", State: backend.StateLive, Addr: fmt.Sprintf("10.0.0.1:%d", n)}
		s.local[info.ID] = &serverEntry{Server: platform.Server{Info: info, WarmupLeft: time.Minute}}
	}
	return s
}
