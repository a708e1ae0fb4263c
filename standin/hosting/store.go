// Package hosting is a stand-in for the hosting platform in tests: for its
// key-value service and its backend servers.
package hosting

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the key-value service, listening on a free port.
type Store struct {
	*httptest.Server

	rolling         sync.RWMutex // held by requests other than watches; see RollBack
	mu              sync.Mutex
	items           map[string]item
	events          []item // history for watches, oldest first
	compactRevision uint64 // events up to this revision have been discarded
	revision        uint64
	leases          map[uint64]*lease // nil for an ended lease, so that its id is not reused
	down            bool
	silent          chan struct{} // closed at the end of a silent outage; nil for none
	changed         chan struct{} // closed and replaced at each change
	watchCalls      int
	era             uint64  // sent with each response unless it is 0
	header          *string // sent as the era instead, "" for none; nil for the era
	copied          *storeCopy
	held            string // listings of keys with this prefix wait; "" for none
	writeCalls      map[string]int
	refusedWrites   string // transactions that write keys with this prefix fail; "" for none
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{items: make(map[string]item), revision: 1, leases: make(map[uint64]*lease), changed: make(chan struct{}), writeCalls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-key", s.handleGet)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.handleGrantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.handleKeepAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.handleEndLease)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(mux, w, r)
	}))
	return s
}

// Addr returns the store's address as host:port.
func (s *Store) Addr() string { return strings.TrimPrefix(s.URL, "http://") }

// SetDown starts or ends an outage, in which every call fails with status 503,
// also a waiting watch.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetSilent starts or ends an outage in which calls, also a waiting watch, get no response.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent == (s.silent != nil) {
		return
	}
	if silent {
		s.silent = make(chan struct{})
	} else {
		close(s.silent)
		s.silent = nil
	}
}

// awaitVoice waits for the end of a silent outage. It aborts a call that was made during it.
func (s *Store) awaitVoice(ctx context.Context) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return
	}
	select {
	case <-silent:
	case <-ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// HoldListing lets listings of the keys with a prefix wait until the returned function
// is called.
func (s *Store) HoldListing(prefix string) (release func()) {
	set := func(held string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held = held
		s.notifyWatchers()
	}
	set(prefix)
	return func() { set("") }
}

// awaitRelease waits while listings of the keys with a prefix are held.
func (s *Store) awaitRelease(ctx context.Context, prefix string) {
	for {
		s.mu.Lock()
		held, changed := s.held != "" && s.held == prefix, s.changed
		s.mu.Unlock()
		if !held {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// WatchCalls returns the number of watch calls so far.
func (s *Store) WatchCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCalls
}

// WriteCalls returns the number of transactions so far that wrote a key or were refused to.
func (s *Store) WriteCalls(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeCalls[key]
}

// RefuseWrites lets transactions that write keys with a prefix fail with status 503; "" for
// none.
func (s *Store) RefuseWrites(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedWrites = prefix
}

// Compact discards the history, so that a watch from an older revision fails with
// status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactRevision = nil, s.revision
	s.notifyWatchers()
}

// Put writes a key without a lease, as the operator or a backend server does.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, []byte(value), 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns the value of a key, "" for an absent one.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// Keys returns the keys that begin with prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, i := range s.itemsWithPrefix(prefix, "") {
		keys = append(keys, i.Key)
	}
	return keys
}

func (s *Store) put(key string, value []byte, leaseID uint64) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: leaseID}
	s.items[key] = i
	s.events = append(s.events, i)
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.revision, Tombstone: true})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// itemsWithPrefix returns the items whose keys begin with prefix and sort behind
// after, sorted by key. The caller must hold s.mu.
func (s *Store) itemsWithPrefix(prefix, after string) []item {
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// pageItems bounds the items in a response to a range request. It is small, so
// that tests exercise paging.
const pageItems = 3

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.awaitRelease(r.Context(), r.URL.Query().Get("prefix"))
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.itemsWithPrefix(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	more := len(found) > pageItems
	writeJSON(w, map[string]any{"items": found[:min(len(found), pageItems)], "has-more": more, "current-rev": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	s.watchCalls++
	s.mu.Unlock()
	for {
		s.awaitVoice(r.Context())
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compactRevision || after > s.revision {
			setEra(w.Header(), s.eraText())
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []item
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		setEra(w.Header(), s.eraText())
		s.mu.Unlock()
		if len(events) > 0 {
			writeEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.awaitVoice(r.Context())
			writeJSON(w, map[string]any{"events": []item{}, "current-rev": revision})
			return
		}
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

// maxTxnEntries is the largest number of entries of a transaction.
const maxTxnEntries = 32

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectRev []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect-rev"`
		Delete []string `json:"delete"`
		Puts   []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.ExpectRev)+len(txn.Puts)+len(txn.Delete) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range txn.Puts {
		s.writeCalls[p.Key]++
		if s.refusedWrites != "" && strings.HasPrefix(p.Key, s.refusedWrites) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current, failed := []item{}, false
	for _, e := range txn.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"rev": s.revision})
}

func (s *Store) handleGrantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMillis int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := uint64(len(s.leases) + 1)
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.EndLease(id) })}
	writeJSON(w, map[string]any{"lease": id, "ttl-ms": request.TTLMillis})
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *Store) handleEndLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.EndLease(id)
	writeJSON(w, map[string]any{})
}

// EndLease ends a lease and deletes the keys attached to it.
func (s *Store) EndLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	s.leases[id] = nil
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// writeEvents sends the response of a watch one event after the other, so that a large
// one begins to arrive at once, and ends with the client's connection.
func writeEvents(w http.ResponseWriter, events []item, revision uint64) {
	w.Header().Set("Content-Type", "application/json")
	separator := `{"events":[`
	for _, e := range events {
		if _, err := io.WriteString(w, separator); err != nil {
			return
		}
		if err := json.NewEncoder(w).Encode(e); err != nil {
			return
		}
		separator = ","
	}
	_, _ = fmt.Fprintf(w, `],"current-rev":%d}`, revision)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
