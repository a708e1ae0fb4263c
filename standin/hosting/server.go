package hosting

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request as a backend server has received it.
type Arrival struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
}

// Answer is what a backend server does with a request instead of running it
// in full. It reports whether it did something.
type Answer func(w http.ResponseWriter, r *http.Request) bool

// Server is a backend server, on a free port.
type Server struct {
	*httptest.Server
	ID     string
	Events int // of each answer; 0 for a plain service

	mu       sync.Mutex
	answer   Answer
	arrivals []Arrival
}

// NewServer starts a backend server.
func NewServer(id string, events int) *Server {
	s := &Server{ID: id, Events: events}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr returns host:port.
func (s *Server) Addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Entry returns the server's entry in the store.
func (s *Server) Entry(service, zone, state string) string {
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"slots":8,"state":%q,"warmup-left-ms":0,"seq":1}`, service, s.Addr(), zone, state)
}

// SetAnswer replaces what the server does.
func (s *Server) SetAnswer(answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Arrivals returns the requests received so far.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{
		ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: string(body), Header: r.Header.Clone(),
	})
	answer := s.answer
	s.mu.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != s.ID {
		w.Header().Set("Instance", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header := w.Header()
	header.Set("Request-Id", id)
	header.Set("Signature", "signed-"+id)
	header.Set("Load", "1,0,8")
	if answer != nil && answer(w, r) {
		return
	}
	if s.Events == 0 {
		fmt.Fprintf(w, "answer to %s by %s", id, s.ID)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	s.stream(w, r)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	for n := first; n <= s.Events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
	}
}

// Reject answers as a server that is full.
func Reject(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// CutAfter returns an Answer that breaks off after some events.
func CutAfter(events int) Answer {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		}
		fmt.Fprintf(w, "id: %d\nda", events+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Hang returns an Answer that does not come until the caller has gone. gone is
// called then.
func Hang(gone func()) Answer {
	return func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
			gone()
		case <-time.After(time.Minute):
		}
		panic(http.ErrAbortHandler)
	}
}
