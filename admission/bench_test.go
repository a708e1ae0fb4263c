package admission

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

var callerCounts = []int{10, 100, 1000, 2000}

func loadedScheduler(callers, entriesPerCaller int) (*Scheduler, []string, time.Time) {
	bounds := Bounds{Entries: 1 << 20, Bytes: 1 << 40, CallerEntries: 1 << 20, CallerBytes: 1 << 40}
	s := NewScheduler(testConfig(bounds), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	s.SetSlots(now, 1)
	names := make([]string, callers)
	for i := range names {
		names[i] = fmt.Sprintf("caller-%04d", i)
	}
	for range entriesPerCaller {
		for _, name := range names {
			if _, refusal := s.Enqueue(now, Request{Caller: name, Tokens: 100, StartBy: now.Add(time.Hour)}); refusal != nil {
				panic(refusal.String())
			}
		}
	}
	return s, names, now
}

// BenchmarkDecision measures Enqueue, Pop and Release of one request in a loaded
// queue.
func BenchmarkDecision(b *testing.B) {
	for _, callers := range callerCounts {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s, names, now := loadedScheduler(callers, 2)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				_, _ = s.Enqueue(now, Request{Caller: names[i%callers], Tokens: 100, StartBy: now.Add(time.Hour)})
				s.Release(now, s.Pop(now), 120)
			}
		})
	}
}

// BenchmarkRefusal measures the refusal of a request that is not expected to
// start in time.
func BenchmarkRefusal(b *testing.B) {
	s, names, now := loadedScheduler(2000, 2)
	s.ranks[catalog.Urgent].meanHoldSeconds = 10
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Enqueue(now, Request{Caller: names[0], Tokens: 100, StartBy: now.Add(time.Second)})
	}
}

// BenchmarkMemory reports the heap bytes per caller with one waiting request.
func BenchmarkMemory(b *testing.B) {
	for _, callers := range callerCounts {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, names, _ := loadedScheduler(callers, 1)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(callers), "B/caller")
				runtime.KeepAlive(s)
				runtime.KeepAlive(names)
			}
		})
	}
}
