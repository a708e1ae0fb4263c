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

// HealthPath is the path of the health check of a Server.
const HealthPath = "/healthz"

// Arrival is a request received by a backend server.
type Arrival struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
	At                             time.Time
}

// Override handles a request in place of a backend server's default response. It
// returns false to let the server send that response after all.
type Override func(w http.ResponseWriter, r *http.Request) bool

// Server is a backend server of the hosting platform, listening on a free port.
type Server struct {
	*httptest.Server
	ID                string
	EventsPerResponse int // 0 for a plain response instead of an event stream

	listener *restartListener

	mu        sync.Mutex
	override  Override
	rateLimit string
	arrivals  []Arrival
	coldUntil time.Time // shown in health responses only
	health    HealthMode
	checks    int // health checks received
}

// NewServer starts a backend server that responds with a stream of
// eventsPerResponse events, or with a plain response if that is 0.
func NewServer(id string, eventsPerResponse int) *Server {
	s := &Server{ID: id, EventsPerResponse: eventsPerResponse}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.listener = newRestartListener(s.Listener)
	s.Listener = s.listener
	s.Start()
	return s
}

// Crash closes all connections, and refuses new ones for downtime.
func (s *Server) Crash(downtime time.Duration) { s.listener.crash(downtime) }

// CrashOnPart returns an Override that crashes the server for downtime as it begins
// its response to a request whose prompt has a part with the given id. It calls
// onCrash before.
func (s *Server) CrashOnPart(part string, downtime time.Duration, onCrash func()) Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("Prefix-Hash"), part+":") {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		onCrash()
		s.Crash(downtime)
		panic(http.ErrAbortHandler)
	}
}

// Addr returns the server's address as host:port.
func (s *Server) Addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Entry returns the server's entry in the store, as JSON.
func (s *Server) Entry(service, zone, state string) string {
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"warmup-left-ms":0,"seq":1}`, service, s.Addr(), zone, state)
}

// SetOverride sets an override for all later requests; nil removes it.
func (s *Server) SetOverride(override Override) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.override = override
}

// SetRateLimit sets the limit on requests per second that the server names in all
// later responses; "" for none.
func (s *Server) SetRateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = limit
}

// SetCold lets health responses show that the server is cold for a time.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// HealthMode is how a Server treats health checks.
type HealthMode int

// The ways to treat health checks.
const (
	HealthAnswers HealthMode = iota
	HealthHangs              // no response
	HealthRejects            // as any request that gets no slot
	HealthLeaves             // as a server that announces that it leaves
)

// SetHealth sets how health checks are treated.
func (s *Server) SetHealth(mode HealthMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = mode
}

// HealthChecks returns the number of health checks received.
func (s *Server) HealthChecks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

// serveHealth responds to a health check, which is not among the arrivals.
func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.checks++
	cold, mode := time.Until(s.coldUntil), s.health
	s.mu.Unlock()
	switch mode {
	case HealthHangs:
		<-r.Context().Done()
		return
	case HealthRejects:
		_ = Reject(w, r)
		return
	case HealthLeaves:
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Instance", s.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Instance", s.ID)
	if r.Header.Get("Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if cold > 0 {
		w.Header().Set("Warmup-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
	}
}

// Arrivals returns the requests received so far, including those meant for
// another server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		s.serveHealth(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{
		ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: string(body), Header: r.Header.Clone(),
		At: time.Now(),
	})
	override, rateLimit := s.override, s.rateLimit
	s.mu.Unlock()
	header := w.Header()
	if rateLimit != "" {
		header.Set("Server-Limit", rateLimit)
	}
	header.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != s.ID {
		header.Set("Instance", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("Signature", "signed-"+id)
	header.Set("Load", "1,0,8")
	if override != nil && override(w, r) {
		return
	}
	if s.EventsPerResponse == 0 {
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
	for n := first; n <= s.EventsPerResponse; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
	}
}

// Reject is an Override that responds as a server without free capacity does:
// status 503 and a header that says that the request was not executed.
func Reject(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Pausing returns an Override that refuses requests with the given Retry-After.
func Pausing(retryAfter string) Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Retry-After", retryAfter)
		return Reject(w, r)
	}
}

// Leaving is an Override that announces that the server leaves, and serves the
// request.
func Leaving(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Server-Leaving", "1")
	return false
}

// TruncateAfter returns an Override that aborts the connection after a number
// of events, in the middle of the next one.
func TruncateAfter(events int) Override {
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

// Hang returns an Override that sends no response. It calls onDisconnect when the
// client disconnects, and aborts the connection after a minute at the latest.
func Hang(onDisconnect func()) Override {
	return func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
			onDisconnect()
		case <-time.After(time.Minute):
		}
		panic(http.ErrAbortHandler)
	}
}

// SendStatus returns an Override that responds with a status line of any three digits,
// which net/http does not send by itself, and an empty body.
func SendStatus(status string) Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"))
		return true
	}
}
