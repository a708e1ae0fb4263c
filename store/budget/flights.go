package budget

import (
	"context"
	"sync"

	"github.com/fuchsiastack/fuchsiastack/store"
)

type readFunc func(ctx context.Context) ([]store.Entry, uint64, error)

// flight is one read that several callers share.
type flight struct {
	done    chan struct{}
	run     func(*flight)
	entries []store.Entry
	index   uint64
	err     error
}

// flights share equal reads. A caller never joins a read that has begun: it
// could miss a write that the caller knows of. It waits for the next one, which
// begins when the present one ends.
type flights struct {
	mu      sync.Mutex
	running map[string]*flight
	next    map[string]*flight
}

func newFlights() flights {
	return flights{running: make(map[string]*flight), next: make(map[string]*flight)}
}

// join returns the flight that answers the caller, and whether it is new.
func (f *flights) join(key string, run func(*flight)) (_ *flight, led bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if waiting := f.next[key]; waiting != nil {
		return waiting, false
	}
	fresh := &flight{done: make(chan struct{}), run: run}
	if f.running[key] != nil {
		f.next[key] = fresh
		return fresh, true
	}
	f.running[key] = fresh
	go f.fly(key, fresh)
	return fresh, true
}

// fly runs a flight and then the one that waits behind it.
func (f *flights) fly(key string, current *flight) {
	for current != nil {
		current.run(current)
		close(current.done)
		f.mu.Lock()
		current = f.next[key]
		delete(f.next, key)
		f.running[key] = current
		if current == nil {
			delete(f.running, key)
		}
		f.mu.Unlock()
	}
}
