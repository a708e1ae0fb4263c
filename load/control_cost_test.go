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

// fleetSizesEnv is the environment variable with the fleet sizes that
// TestControlCost measures instead of its default, as numbers of regions and of
// instances per region, such as "1x10 22x16".
const fleetSizesEnv = "FUCHSIA_SLOPES"

// controlCost is the cost of the control traffic of an instance.
type controlCost struct {
	bytesPerSecond, maxBytesPerSecond int           // sent and received; mean and maximum over instances
	cpuPerSecond                      time.Duration // mean over instances
}

// regionSummary is a regional topic with a state of the size for four services.
type regionSummary struct{}

func (regionSummary) Name() string { return "sum" }
func (regionSummary) RegionState() []byte {
	return fmt.Appendf(make([]byte, 0, 96), "%96d", time.Now().Unix()/10)
}
func (regionSummary) MergeRegion(string, []byte, time.Duration) error { return nil }

// measureControlCost measures the control cost of a fleet whose regions have
// instanceCount instances and serverCount servers each. If loadChanges is true, the
// load of the servers changes with every report.
func measureControlCost(t *testing.T, regions, instanceCount, serverCount int, loadChanges bool) (result controlCost) {
	synctest.Test(t, func(t *testing.T) {
		var list []backend.Info
		for n := range serverCount {
			list = append(list, backend.Info{ID: fmt.Sprintf("server-%d", n), Service: "desk", State: backend.StateLive})
		}
		backends := &fakeServers{fetches: make(map[string]int)}
		instances := testfleet.StartRegions(t.Context(), testlink.New(), regions, instanceCount, func(i *testfleet.Instance) {
			registry := backend.NewRegistry()
			registry.Replace(list)
			tracker := load.NewTracker(registry, i.Instance.ID, func() (ids []string) {
				for _, m := range i.Membership.View().Members(i.Instance.Region) {
					ids = append(ids, m.Instance.ID)
				}
				return ids
			}, fakeFetcher{backends, i.Instance.ID})
			i.Gossiper.Add(tracker)
			i.Gossiper.AddRegionTopics(regionSummary{})
			go func() {
				ticker := time.NewTicker(pollInterval)
				defer ticker.Stop()
				for {
					select {
					case <-ticker.C:
						tracker.PollServers(t.Context())
					case <-t.Context().Done():
						return
					}
				}
			}()
		})
		for !testfleet.AllJoined(instances) {
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		for _, i := range instances {
			i.TakeCounters()
		}
		const seconds = 10
		before := processorTime()
		for n := range seconds * 2 {
			time.Sleep(time.Second / 2)
			if loadChanges {
				backends.mu.Lock()
				backends.running = n % 8
				backends.mu.Unlock()
			}
		}
		result.cpuPerSecond = (processorTime() - before) / time.Duration(seconds*len(instances))
		for _, i := range instances {
			_, bytes := i.TakeCounters()
			result.bytesPerSecond += bytes / seconds / len(instances)
			result.maxBytesPerSecond = max(result.maxBytesPerSecond, bytes/seconds)
		}
	})
	return result
}

// processorTime returns the CPU time that this process has used, or 0 if it cannot
// be determined.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestControlCost checks a bound on the bytes that an instance sends and receives
// per second for membership, exchange and load digests.
func TestControlCost(t *testing.T) {
	const maxAverageBytesPerSecond = 5000 // mean over instances
	fleetSizes := [][2]int{{2, 8}}
	if env := os.Getenv(fleetSizesEnv); env != "" {
		fleetSizes = nil
		for _, field := range strings.Fields(env) {
			var size [2]int
			_, err := fmt.Sscanf(field, "%dx%d", &size[0], &size[1])
			qt.Assert(t, err, qt.IsNil)
			fleetSizes = append(fleetSizes, size)
		}
	}
	for _, size := range fleetSizes {
		for _, loadChanges := range []bool{false, true} {
			c := measureControlCost(t, size[0], size[1], 31*size[1], loadChanges)
			t.Logf("%d regions of %d instances, all loads change: %v: %d bytes/s per instance, at most %d bytes/s, CPU time %v per second",
				size[0], size[1], loadChanges, c.bytesPerSecond, c.maxBytesPerSecond, c.cpuPerSecond)
			qt.Check(t, os.Getenv(fleetSizesEnv) != "" || c.bytesPerSecond < maxAverageBytesPerSecond, qt.IsTrue)
		}
	}
}
