package kv

import (
	"encoding/json"
	"net/http"
)

type txnKV struct {
	Verb  string
	Key   string
	Value []byte
	Index uint64
}

type txnOp struct{ KV txnKV }

// txn applies all operations, or none if the condition of one does not hold.
func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var ops []txnOp
	if err := json.NewDecoder(r.Body).Decode(&ops); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range ops {
		if !s.conditionHolds(op.KV) {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(map[string]any{"Errors": []map[string]any{{"OpIndex": 0, "What": "index is stale"}}})
			return
		}
	}
	for _, op := range ops {
		s.apply(op.KV)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Results": []any{}, "Errors": nil})
}

// conditionHolds reports whether the condition of an operation is met. An
// operation without a condition is always allowed. The caller must hold s.mu.
func (s *Server) conditionHolds(kv txnKV) bool {
	switch kv.Verb {
	case "cas", "check-index":
		return s.entries[kv.Key].version == kv.Index
	case "check-not-exists":
		_, ok := s.entries[kv.Key]
		return !ok
	}
	return true
}

func (s *Server) apply(kv txnKV) {
	switch kv.Verb {
	case "set", "cas":
		s.set(kv.Key, kv.Value, "")
	case "delete":
		s.remove(kv.Key)
	}
}
