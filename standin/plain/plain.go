// Package plain is a stand-in for a plain service, one without a model engine,
// such as one that places orders or issues certificates. It records every
// execution. It is for tests and local development.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is a call that the service executed.
type Execution struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Service is an http.Handler that echoes and records each call, on any path but
// /load and /standin/executions.
type Service struct {
	delay      time.Duration
	mu         sync.Mutex
	executions []Execution
}

// New returns a service that responds to a call after delay.
func New(delay time.Duration) *Service { return &Service{delay: delay} }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		_, _ = io.WriteString(w, `{"running":0,"waiting":0,"slots":64}`)
		return
	case "/standin/executions":
		_ = json.NewEncoder(w).Encode(s.Executions())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	executed := s.record(Execution{RequestID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Body: string(body)})
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"executed": executed, "path": r.URL.Path, "echo": string(body)})
}

// record appends a call and returns the number of calls executed so far.
func (s *Service) record(x Execution) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, x)
	return len(s.executions)
}

// Executions returns the calls executed so far, in order. A call is included as
// soon as its body has been read, before the delay.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}
