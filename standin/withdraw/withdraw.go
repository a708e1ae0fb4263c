// Package withdraw lets the stand-in of a backend server withdraw from new requests:
// it announces that it leaves, or asks for pauses. It is for tests and local
// development.
package withdraw

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Paths of the orders to a Handler.
const (
	announcePath = "/standin/announce"
	pausePath    = "/standin/pause"
	countPath    = "/standin/withdrawal"
	adminPrefix  = "/standin/"
	loadPath     = "/load"
)

// Count is the number of requests that a Handler has received while it had
// withdrawn.
type Count struct {
	SinceAnnouncement int `json:"since_announcement"`
	Refused           int `json:"refused"` // because of a pause
}

// Handler passes requests to another handler unless it pauses. It takes these orders:
//
//	POST /standin/announce               all responses from now on announce the leaving
//	POST /standin/pause?for=2s&every=3s  refuse requests for 2 s, and again every 3 s; without every: once
//	GET  /standin/withdrawal             the Count
type Handler struct {
	next http.Handler

	mu         sync.Mutex
	leaving    bool
	pauseStart time.Time // of the first pause
	pauseTime  time.Duration
	pauseEvery time.Duration // between the starts of two pauses; 0: a single one
	count      Count
}

// New returns a Handler that has not withdrawn.
func New(next http.Handler) *Handler { return &Handler{next: next} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case announcePath:
		h.Announce()
		return
	case pausePath:
		h.servePause(w, r)
		return
	case countPath:
		_ = json.NewEncoder(w).Encode(h.Count())
		return
	}
	request := r.URL.Path != loadPath && !strings.HasPrefix(r.URL.Path, adminPrefix)
	leaving, pause := h.admit(time.Now(), request)
	if leaving {
		w.Header().Set("Fuchsia-Leaving", "1")
	}
	if pause > 0 {
		if attempt := r.Header.Get("Fuchsia-Attempt"); attempt != "" {
			w.Header().Set("Fuchsia-Attempt", attempt)
		}
		w.Header().Set("Fuchsia-Refused", "busy")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.next.ServeHTTP(w, r)
}

// Announce makes all responses from now on announce that the server leaves.
func (h *Handler) Announce() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Pause refuses requests for d from now on, and for d again each time that every
// has passed. Every 0 means a single pause.
func (h *Handler) Pause(d, every time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauseStart, h.pauseTime, h.pauseEvery = time.Now(), d, every
}

// Count returns the requests received since the announcement and during pauses.
func (h *Handler) Count() Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

func (h *Handler) servePause(w http.ResponseWriter, r *http.Request) {
	pause, err := time.ParseDuration(r.URL.Query().Get("for"))
	every := time.Duration(0)
	if text := r.URL.Query().Get("every"); err == nil && text != "" {
		every, err = time.ParseDuration(text)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.Pause(pause, every)
}

// admit counts the request. It reports whether the server has announced its leaving,
// and the rest of the pause, or 0 if the request may run.
func (h *Handler) admit(now time.Time, request bool) (leaving bool, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !request {
		return h.leaving, 0
	}
	if h.leaving {
		h.count.SinceAnnouncement++
	}
	if pause = h.pauseLeft(now); pause > 0 {
		h.count.Refused++
	}
	return h.leaving, pause
}

// pauseLeft returns the rest of the pause, or 0 if there is none. The caller must
// hold h.mu.
func (h *Handler) pauseLeft(now time.Time) time.Duration {
	if h.pauseTime <= 0 {
		return 0
	}
	since := now.Sub(h.pauseStart)
	if h.pauseEvery > 0 {
		since = time.Duration(math.Mod(float64(since), float64(h.pauseEvery)))
	}
	return max(h.pauseTime-since, 0)
}
