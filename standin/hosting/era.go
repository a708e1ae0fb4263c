package hosting

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
)

// storeCopy is a copy of the entries of a Store.
type storeCopy struct {
	items    map[string]item
	revision uint64
}

// Copy takes the copy that RollBack returns to.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &storeCopy{maps.Clone(s.items), s.revision}
}

// RollBack starts a new era with the entries of the last copy. What was written since then
// is lost, and the numbers of revisions and leases are assigned again. All leases are gone,
// and with them the entries that belong to them. The connections of all clients are closed
// and the history is empty.
func (s *Store) RollBack() {
	s.rolling.Lock()
	defer s.rolling.Unlock()
	s.mu.Lock()
	for _, l := range s.leases {
		if l != nil {
			l.timer.Stop()
		}
	}
	s.leases = make(map[uint64]*lease)
	s.items = make(map[string]item)
	for key, i := range s.copied.items {
		if i.Lease == 0 {
			s.items[key] = i
		}
	}
	s.revision, s.compactRevision, s.events = s.copied.revision, s.copied.revision, nil
	s.era++
	s.notifyWatchers()
	s.mu.Unlock()
	s.CloseClientConnections()
}

// SetEra sets the era without any other change, as that of a store that has been rolled
// back before.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SetEraHeader sets the header that responses have instead of the era; "" leaves it out.
func (s *Store) SetEraHeader(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.header = &text
}

// Era returns the era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// eraText returns the era as responses name it; "" for none, as in era 0. s.mu is held.
func (s *Store) eraText() string {
	switch {
	case s.header != nil:
		return *s.header
	case s.era > 0:
		return strconv.FormatUint(s.era, 10)
	}
	return ""
}

// setEra sets the header of a response.
func setEra(header http.Header, text string) {
	header.Del("Store-Era")
	if text != "" {
		header.Set("Store-Era", text)
	}
}

// serve passes a request to next, so that its response is of the era that its header names.
// A watch sets its header itself, as it may wait for the next era.
func (s *Store) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s.awaitVoice(r.Context())
	if !strings.HasPrefix(r.URL.Path, "/v1/kv-watch") {
		s.rolling.RLock()
		defer s.rolling.RUnlock()
	}
	s.mu.Lock()
	text, down := s.eraText(), s.down
	s.mu.Unlock()
	setEra(w.Header(), text)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	next.ServeHTTP(w, r)
}
