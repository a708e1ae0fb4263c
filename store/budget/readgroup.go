package budget

import (
	"context"
	"sync"

	"github.com/fuchsiastack/fuchsiastack/store"
)

type readFunc func(ctx context.Context) ([]store.Entry, uint64, error)

// sharedRead is one read whose result several callers share.
type sharedRead struct {
	done    chan struct{} // closed once the result is set
	fetch   func(*sharedRead)
	entries []store.Entry
	index   uint64
	err     error
}

// readGroup coalesces identical reads. A caller never joins a read that has
// started, because that read could miss a write that the caller has observed. It
// joins the next one, which starts when the current one ends.
type readGroup struct {
	mu      sync.Mutex
	running map[string]*sharedRead
	next    map[string]*sharedRead
}

func newReadGroup() readGroup {
	return readGroup{running: make(map[string]*sharedRead), next: make(map[string]*sharedRead)}
}

// join returns the read whose result the caller receives, and whether this call
// created it.
func (g *readGroup) join(key string, fetch func(*sharedRead)) (_ *sharedRead, created bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if queued := g.next[key]; queued != nil {
		return queued, false
	}
	fresh := &sharedRead{done: make(chan struct{}), fetch: fetch}
	if g.running[key] != nil {
		g.next[key] = fresh
		return fresh, true
	}
	g.running[key] = fresh
	go g.runReads(key, fresh)
	return fresh, true
}

// runReads runs current and then, one after another, the reads queued under the
// same key.
func (g *readGroup) runReads(key string, current *sharedRead) {
	for current != nil {
		current.fetch(current)
		close(current.done)
		g.mu.Lock()
		current = g.next[key]
		delete(g.next, key)
		g.running[key] = current
		if current == nil {
			delete(g.running, key)
		}
		g.mu.Unlock()
	}
}
