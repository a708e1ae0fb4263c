package load_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/testfleet"
	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/load"
)

// slopesEnv names the fleets that TestControlCost measures instead of its own,
// as regions x instances of a region: "1x10 22x16".
const slopesEnv = "FUCHSIA_SLOPES"

// cost is what control costs an instance.
type cost struct {
	bytes, mostBytes int           // a second, sent and received
	cpu              time.Duration // a second
}

// regionSummary is a regional topic of the size of four services.
type regionSummary struct{}

func (regionSummary) Name() string { return "sum" }
func (regionSummary) RegionState() []byte {
	return fmt.Appendf(make([]byte, 0, 96), "%96d", time.Now().Unix()/10)
}
func (regionSummary) MergeRegion(string, []byte, time.Duration) error { return nil }

// measure runs regions of size instances before count servers each, whose load
// changes with every report if busy.
func measure(t *testing.T, regions, size, count int, busy bool) (result cost) {
	synctest.Test(t, func(t *testing.T) {
		var list []backend.Info
		for n := range count {
			list = append(list, backend.Info{ID: fmt.Sprintf("server-%d", n), Service: "desk", State: backend.StateLive})
		}
		s := &servers{asked: make(map[string]int)}
		instances := testfleet.StartRegions(t.Context(), testlink.New(), regions, size, func(i *testfleet.Instance) {
			registry := backend.NewRegistry()
			registry.Replace(list)
			follower := load.NewFollower(registry, i.Instance.ID, func() (ids []string) {
				for _, m := range i.Machine.View().Members(i.Instance.Region) {
					ids = append(ids, m.Instance.ID)
				}
				return ids
			}, asker{s, i.Instance.ID})
			i.Carrier.Add(follower)
			i.Carrier.AddRegional(regionSummary{})
			go func() {
				ticker := time.NewTicker(pollInterval)
				defer ticker.Stop()
				for {
					select {
					case <-ticker.C:
						follower.Round(t.Context())
					case <-t.Context().Done():
						return
					}
				}
			}()
		})
		for !testfleet.Joined(instances) {
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		for _, i := range instances {
			i.Cost()
		}
		const seconds = 10
		before := processorTime()
		for n := range seconds * 2 {
			time.Sleep(time.Second / 2)
			if busy {
				s.mu.Lock()
				s.running = n % 8
				s.mu.Unlock()
			}
		}
		result.cpu = (processorTime() - before) / time.Duration(seconds*len(instances))
		for _, i := range instances {
			_, bytes := i.Cost()
			result.bytes += bytes / seconds / len(instances)
			result.mostBytes = max(result.mostBytes, bytes/seconds)
		}
	})
	return result
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestControlCost bounds the bytes of membership, exchange and load digests.
func TestControlCost(t *testing.T) {
	const budget = 5000 // bytes a second of an instance
	sizes := [][2]int{{2, 8}}
	if env := os.Getenv(slopesEnv); env != "" {
		sizes = nil
		for _, field := range strings.Fields(env) {
			var size [2]int
			_, err := fmt.Sscanf(field, "%dx%d", &size[0], &size[1])
			qt.Assert(t, err, qt.IsNil)
			sizes = append(sizes, size)
		}
	}
	for _, size := range sizes {
		for _, busy := range []bool{false, true} {
			c := measure(t, size[0], size[1], 31*size[1], busy)
			t.Logf("%d regions of %d, all loads change: %v: %d bytes a second, %d at most, %v of a processor a second",
				size[0], size[1], busy, c.bytes, c.mostBytes, c.cpu)
			qt.Check(t, os.Getenv(slopesEnv) != "" || c.bytes < budget, qt.IsTrue)
		}
	}
}
