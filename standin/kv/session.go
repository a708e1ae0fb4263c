package kv

import (
	"encoding/json"
	"net/http"
	"time"
)

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var request struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	id := newSessionID()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[id] = &session{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endSession(id) })}
	_ = json.NewEncoder(w).Encode(map[string]string{"ID": id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.sessions[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	current.timer.Reset(current.ttl)
}

func (s *Server) destroySession(_ http.ResponseWriter, r *http.Request) {
	s.endSession(r.PathValue("id"))
}

// endSession deletes a session and the keys that it acquired.
func (s *Server) endSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.sessions[id]
	if !ok {
		return
	}
	current.timer.Stop()
	delete(s.sessions, id)
	for key, e := range s.entries {
		if e.session == id {
			s.remove(key)
		}
	}
}
