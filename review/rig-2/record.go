package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what was sent, run and answered. It is written to record.txt.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	sent  map[string]*Sent
	runs  map[string][]RunAt
}

// Sent is a request of a client.
type Sent struct {
	ID, Route string
	At        time.Time
	Safe      bool // may run more than once
	Status    int  // 0: no answer
	Whole     bool
	AnswerID  string
	Signature string
	EndedAt   time.Time
	Body      string
}

// RunAt is one run of a request at a replica.
type RunAt struct {
	Replica string
	At      time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &Record{start: time.Now(), file: file, sent: map[string]*Sent{}, runs: map[string][]RunAt{}}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *Record) add(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Send records a request before it is sent.
func (r *Record) Send(s *Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.At = time.Now()
	r.sent[s.ID] = s
	r.add("sent      %s on %s", s.ID, s.Route)
}

// Answered records the end of a request. A status of 0 means that no whole header came.
func (r *Record) Answered(s *Sent, status int, whole bool, answerID, signature, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Status, s.Whole, s.AnswerID, s.Signature, s.EndedAt = status, whole, answerID, signature, time.Now()
	r.add("answered  %s: %d, whole %t, its id %q, signature %q %s", s.ID, status, whole, answerID, signature, note)
}

// Run records that a replica begins to work on a request.
func (r *Record) Run(p *Replica, x *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[x.ID] = append(r.runs[x.ID], RunAt{p.ID, time.Now()})
	r.add("run       %s at %s, %s %s", x.ID, p.ID, x.Method, x.RequestURI)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}
