package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// acquireSlot waits for a slot. It returns false if the engine is draining or the
// request is canceled while it waits; the request has not run in that case.
func (e *Engine) acquireSlot(r *http.Request) bool {
	e.mu.Lock()
	if e.draining {
		e.mu.Unlock()
		return false
	}
	select {
	case e.slots <- struct{}{}:
		e.running++
		e.mu.Unlock()
		return true
	default:
	}
	e.waiting++
	e.mu.Unlock()
	acquired := false
	select {
	case e.slots <- struct{}{}:
		acquired = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if acquired {
		e.running++
	}
	return acquired
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	<-e.slots
}

func (e *Engine) recordStart(requestID string) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &Execution{RequestID: requestID}
	e.executions = append(e.executions, x)
	return x
}

func (e *Engine) recordFinish(x *Execution, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Tokens = tokens
	x.Finished = true
}

// getLoad sends the load report, which is up to LoadLag old. Draining is reported
// without delay.
func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.config.LoadLag {
		e.reported = Load{Running: e.running, Waiting: e.waiting, Slots: e.config.Slots}
		e.reportedAt = now
	}
	report := e.reported
	draining := e.draining
	e.mu.Unlock()
	if draining {
		w.Header().Set("Fuchsia-Refused", "leaving")
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) listExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Executions())
}

// drain makes the engine refuse new requests.
func (e *Engine) drain(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}
