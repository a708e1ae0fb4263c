package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// admit waits for a slot. It reports false if the engine is leaving or the
// request was canceled while it waited; the request has not run then.
func (e *Engine) admit(r *http.Request) bool {
	e.mu.Lock()
	if e.leaving {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	ok := false
	select {
	case e.slots <- struct{}{}:
		ok = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if ok {
		e.running++
	}
	return ok
}

func (e *Engine) release() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

func (e *Engine) begin(requestID string) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &Execution{RequestID: requestID}
	e.executions = append(e.executions, x)
	return x
}

func (e *Engine) finish(x *Execution, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Tokens = tokens
	x.Finished = true
}

// load reports the load as it was up to LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.config.LoadLag {
		e.reported = Load{Running: e.running, Waiting: e.waiting, Slots: e.config.Slots}
		e.reportedAt = now
	}
	report := e.reported
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set("Fuchsia-Refused", "leaving")
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) listExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Executions())
}

// leave makes the engine refuse new work.
func (e *Engine) leave(http.ResponseWriter, *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}
