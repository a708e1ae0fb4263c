package backend

import (
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/capacity"
)

const (
	// maxConcurrencyAge is how long before the observed time a load report may have been
	// received to tell the number of requests on the server.
	maxConcurrencyAge = time.Second
	// waitSampleTime is the time for which the longest wait for more of a response makes
	// one sample, so that a few long streams do not outweigh all others.
	waitSampleTime = 500 * time.Millisecond
)

// concurrency is what has been learned of the concurrency that a server handles well.
type concurrency struct {
	capacity.Estimator
	logged atomic.Int64 // slots of the last ConcurrencyChange; 0: none yet
}

// GoodSlots returns the number of requests that the server answers well at once. It is
// SlotCount unless answers at that concurrency were late, and at least 1 unless the
// slots are unknown.
func (s *Server) GoodSlots(now time.Time) int {
	slots := s.SlotCount()
	if s.concurrency == nil || slots <= 1 {
		return slots
	}
	return s.concurrency.Slots(now, slots)
}

// AdmissionSlots returns the number of requests for the server that should be admitted at
// once. It is GoodSlots if the server serves fewer requests per second when it has more at
// once, and otherwise SlotCount.
func (s *Server) AdmissionSlots(now time.Time) int {
	slots := s.SlotCount()
	if s.concurrency == nil || slots <= 1 {
		return slots
	}
	return s.concurrency.AdmissionSlots(now, slots)
}

// Concurrency returns the estimator of the concurrency that the server handles well, or
// nil if it is not learned.
func (s *Server) Concurrency() *capacity.Estimator {
	if s.concurrency == nil {
		return nil
	}
	return &s.concurrency.Estimator
}

// observe adds a sample of an observed time, which ends now, with its permitted maximum.
func (s *Server) observe(now, began time.Time, permitted time.Duration) {
	if s.concurrency == nil || permitted <= 0 {
		return
	}
	load := s.Load()
	if load.ReceivedAt.IsZero() || s.ReportAge(began) > maxConcurrencyAge {
		return
	}
	s.concurrency.Observe(now, s.SlotCount(), capacity.Sample{
		Requests: max(load.Running+load.Waiting, s.InFlight()), Ratio: now.Sub(began).Seconds() / permitted.Seconds(), Began: began,
	})
}

// Began records that the first byte of a successful response was received.
func (a *Attempt) Began(now time.Time) { a.server.observe(now, a.startedAt, a.Target) }

// Waited records that the instance waited from began until now for more of a response
// that has begun. Unlike the time between two events, it does not include the time in
// which the caller read too slowly.
func (a *Attempt) Waited(began, now time.Time) {
	if a.MaxGap <= 0 || a.server.concurrency == nil {
		return
	}
	if a.waitsSince.IsZero() {
		a.waitsSince = began
	}
	if waited := now.Sub(began); waited > a.longestEnd.Sub(a.longestBegan) {
		a.longestBegan, a.longestEnd = began, now
	}
	if now.Sub(began) <= a.MaxGap && now.Sub(a.waitsSince) < waitSampleTime {
		return
	}
	a.server.observe(a.longestEnd, a.longestBegan, a.MaxGap)
	a.waitsSince, a.longestBegan, a.longestEnd = now, time.Time{}, time.Time{}
}

// ConcurrencyChange is a change of the concurrency that a server handles well.
type ConcurrencyChange struct {
	Server        *Server
	Slots         int
	From, Nominal int
	Evidence      capacity.Evidence // that led to a reduction by this instance; zero otherwise
}

// concurrencyStep is the divisor of the nominal slots that gives the least change that
// is reported.
const concurrencyStep = 4

// EvaluateConcurrency updates what is learned of the servers, and calls report for each
// server whose concurrency has changed by a quarter of its slots since the last report,
// or has reached all of them again.
func (r *Registry) EvaluateConcurrency(now time.Time, report func(ConcurrencyChange)) {
	servers := r.All()
	trying := make(map[string]int) // servers by service
	for _, server := range servers {
		if server.concurrency != nil && server.concurrency.Trying(now) {
			trying[server.Service]++
		}
	}
	for _, server := range servers {
		nominal := server.SlotCount()
		if server.concurrency == nil || nominal <= 0 {
			continue
		}
		mayTry := trying[server.Service] < capacity.MaxTrials(len(r.Servers(server.Service)))
		change, changed := server.concurrency.Evaluate(now, nominal, mayTry)
		if changed && change.Use == capacity.Trial {
			trying[server.Service]++
		}
		slots, from := server.GoodSlots(now), int(server.concurrency.logged.Load())
		if from == 0 || from > nominal {
			from = nominal
		}
		step := max(1, nominal/concurrencyStep)
		if slots == from || max(slots-from, from-slots) < step && slots != nominal {
			continue
		}
		server.concurrency.logged.Store(int64(slots))
		report(ConcurrencyChange{Server: server, Slots: slots, From: from, Nominal: nominal, Evidence: change.Evidence})
	}
}
