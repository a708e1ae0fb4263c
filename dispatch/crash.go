package dispatch

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

const (
	crashCheckTimeout = 300 * time.Millisecond
	// crashCheckPause is the time before a second check: a server that ends may close
	// its connections before it stops to accept new ones.
	crashCheckPause = 50 * time.Millisecond
	// startedAfter is the time since its first byte from which an answer counts as well
	// under way. A server that crashes under a part of a prompt does so before; under a
	// whole request it may crash at any time.
	startedAfter = time.Second
	// survivalInterval is the time between two records that an answer goes on.
	survivalInterval = time.Second
	// partRetryAfter is the Retry-After time of requests refused because of a part of
	// their prompts, as others may be served with it and clear it.
	partRetryAfter = time.Second
	// crashCheckReuse is how long the result of a check serves for the other requests
	// that were in flight at the same server.
	crashCheckReuse = 500 * time.Millisecond
)

// crashChecks holds the running and recent checks whether servers have crashed.
type crashChecks struct {
	mu       sync.Mutex
	byServer map[string]*crashCheck // by server id
}

// crashCheck is one check of a server.
type crashCheck struct {
	startedAt time.Time
	done      chan struct{} // closed when crashed is set
	crashed   bool
}

// start returns the check of a server and whether the caller has to run it.
func (c *crashChecks) start(now time.Time, server string) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check = c.byServer[server]; check != nil && now.Sub(check.startedAt) < crashCheckReuse {
		return check, false
	}
	if c.byServer == nil {
		c.byServer = make(map[string]*crashCheck)
	}
	for id, old := range c.byServer {
		if now.Sub(old.startedAt) >= crashCheckReuse {
			delete(c.byServer, id)
		}
	}
	check = &crashCheck{startedAt: now, done: make(chan struct{})}
	c.byServer[server] = check
	return check, true
}

// serverCrashed reports whether a server that has lost a connection refuses new
// ones. A server that accepts them, or does not respond at all, may be alive behind
// a broken link.
func (d *Dispatcher) serverCrashed(ctx context.Context, server, addr string) bool {
	check, first := d.crashes.start(time.Now(), server)
	if first {
		check.crashed = d.refusesConnections(ctx, addr)
		close(check.done)
		return check.crashed
	}
	<-check.done
	return check.crashed
}

func (d *Dispatcher) refusesConnections(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	err := d.checkReachable(ctx, addr)
	if err == nil && sleep(ctx, crashCheckPause) {
		err = d.checkReachable(ctx, addr)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordLostAnswer records that the answer of a server was lost before its end. A
// failure that the server itself has answered is no loss. Only a request with parts,
// which others share, waits for the check of its server.
func (r *attemptLoop) recordLostAnswer(w *attemptWatcher) {
	if r.Parts == nil || w.refused || w.serverError && !w.bodyTruncated {
		return
	}
	began, content := w.sinceFirstByte(), r.x.ContentIDs() // before the check, which takes time
	check := func() {
		r.recordLoss(w, began, content, r.serverCrashed(r.ctx, w.server.ID, w.server.Addr))
	}
	if len(r.x.Parts) > 0 {
		check()
	} else {
		go check()
	}
}

// recordLoss records an answer that was lost when its first byte was began ago, and
// counts a crash of the server against the request, and against the parts of its prompt
// unless the answer was under way. A server that leaves ends in its own time.
func (r *attemptLoop) recordLoss(w *attemptWatcher, began time.Duration, content []quarantine.PartID, crashed bool) {
	r.Observer.AnswerLost(r.x, w.server.ID, crashed, began)
	if !crashed || r.leaves(w.server) {
		return
	}
	now := time.Now()
	parts, whole := content[:len(content)-1], content[len(content)-1]
	if len(parts) > 0 && began < startedAfter {
		r.Parts.RecordCrash(now, w.server.Key, parts)
	}
	r.Parts.RecordRequestCrash(now, w.server.Key, whole, began)
}

// leaves reports whether a server has announced that it leaves, or is no longer listed.
func (d *Dispatcher) leaves(server *backend.Server) bool {
	for _, listed := range d.Router.Registry.Servers(server.Service) {
		if listed.ID == server.ID {
			return !listed.Accepts()
		}
	}
	return true
}

// sinceFirstByte returns the time since the first byte of the response body; 0 if none
// has arrived.
func (w *attemptWatcher) sinceFirstByte() time.Duration {
	if w.firstByteAt.IsZero() {
		return 0
	}
	return time.Since(w.firstByteAt)
}

// recordServedParts records that the request was served, with or without a body. An
// unframed answer ends in the same way when its server crashes.
func (r *attemptLoop) recordServedParts(w *attemptWatcher) {
	if r.Parts == nil || !w.success {
		return
	}
	if w.unframed {
		content := r.x.ContentIDs()
		go r.recordUnframedEnd(w, content)
	} else if len(r.x.Parts) > 0 || r.suspected() {
		r.recordServed(w)
	}
}

// suspected reports whether the whole request was in flight in a crash.
func (r *attemptLoop) suspected() bool {
	return r.Parts.Suspected() && r.Parts.IsSuspect(r.x.ContentID())
}

// recordServed records that the request was served. The end of a resumed stream shows
// nothing about what came before.
func (r *attemptLoop) recordServed(w *attemptWatcher) {
	now := time.Now()
	r.Parts.RecordServed(now, r.x.Parts)
	if r.Parts.Suspected() && !w.resumes {
		r.Parts.RecordRequestServed(now, r.x.ContentID())
	}
}

// recordProgress records once that the answer to the request is well under way, which
// shows as much about the parts of its prompt as the end, and now and then that it goes
// on, which shows when the whole request crashes no server.
func (r *attemptLoop) recordProgress(w *attemptWatcher) {
	if r.Parts == nil || !w.success || w.firstByteAt.IsZero() {
		return
	}
	now := time.Now()
	age := now.Sub(w.firstByteAt)
	if age < max(startedAfter, w.recordedAge+survivalInterval) {
		return
	}
	if w.recordedAge == 0 {
		r.Parts.RecordServed(now, r.x.Parts)
	}
	w.recordedAge = age
	if r.Parts.Suspected() && !w.resumes {
		r.Parts.RecordRunning(now, w.server.Key, r.x.ContentID(), age)
	}
}

// recordUnframedEnd records that the answer of a server was lost if the server has
// crashed, else that the request was served, unless nothing of its answer has arrived.
func (r *attemptLoop) recordUnframedEnd(w *attemptWatcher, content []quarantine.PartID) {
	began := w.sinceFirstByte()
	if r.serverCrashed(r.ctx, w.server.ID, w.server.Addr) {
		r.recordLoss(w, began, content, true)
	} else if w.bodyBytes > 0 {
		r.recordServed(w)
	}
}

// RefusePart returns the refusal of a request that crashes backend servers or has a part
// in its prompt that does, or nil.
func (d *Dispatcher) RefusePart(x *filters.Exchange) *outcome.Error {
	if d.Parts == nil || !d.Parts.Refusing() {
		return nil
	}
	now := time.Now()
	part, until, refused := d.Parts.Refused(now, x.ContentIDs())
	if !refused {
		return nil
	}
	d.Observer.PartRefused(x, part)
	if part == x.ContentID() {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeQuarantined, "the request has crashed backend servers").WithRetryAfter(until.Sub(now))
	}
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeQuarantined, "a part of the prompt has crashed backend servers").WithRetryAfter(partRetryAfter)
}
