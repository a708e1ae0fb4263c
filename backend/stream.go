package backend

import (
	"math"
	"sync"
	"time"
)

const (
	// intervalWindow is the time constant of the mean interval between events.
	intervalWindow = time.Second
	// minIntervalEvents is the weight of events, as decayed by intervalWindow, from which
	// on the mean interval is known.
	minIntervalEvents = 0.25
	// minLengthSamples is the number of complete streams from which on the number of
	// tokens in an event is known.
	minLengthSamples = 5
	// maxLengthSamples limits the weight of earlier streams, so that a change of the
	// service shows.
	maxLengthSamples = 200
)

// intervalEstimate is the mean interval between the events of streams, weighted by how
// recent they are. It is safe for concurrent use.
type intervalEstimate struct {
	mu              sync.Mutex
	events, seconds float64
	at              time.Time // of events and seconds
}

func (e *intervalEstimate) add(now time.Time, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	e.events++
	e.seconds += interval.Seconds()
}

// value returns the mean interval, or 0 if there were no events recently.
func (e *intervalEstimate) value(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	if e.events < minIntervalEvents {
		return 0
	}
	return seconds(e.seconds / e.events)
}

func (e *intervalEstimate) decay(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		weight := math.Exp(-float64(elapsed) / float64(intervalWindow))
		e.events *= weight
		e.seconds *= weight
		e.at = now
	}
}

// lengthEstimate is the number of tokens that callers announce for each event that they
// receive. It is safe for concurrent use.
type lengthEstimate struct {
	mu      sync.Mutex
	samples float64
	// meanLog is a mean of logarithms, as the estimates of callers are right in the
	// median and can be several times too high or too low.
	meanLog float64
}

func (e *lengthEstimate) add(hint, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = min(e.samples+1, maxLengthSamples)
	e.meanLog += (math.Log(float64(hint)/float64(events)) - e.meanLog) / e.samples
}

// events returns the number of events to expect of a response of hint tokens, or 0 if it
// is unknown.
func (e *lengthEstimate) events(hint int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hint <= 0 || e.samples < minLengthSamples {
		return 0
	}
	return float64(hint) / math.Exp(e.meanLog)
}

// EventReceived records that an event of the response was received. The intervals between
// the events of an attempt update the estimates of its server and service.
func (a *Attempt) EventReceived(now time.Time) {
	if !a.lastEvent.IsZero() {
		a.server.interval.add(now, now.Sub(a.lastEvent))
		if a.server.service != nil {
			a.server.service.interval.add(now, now.Sub(a.lastEvent))
		}
	}
	a.lastEvent = now
}

// StreamCompleted records the length of a complete stream: the number of tokens that the
// caller had announced, 0 if unknown, and the number of events.
func (a *Attempt) StreamCompleted(hint, events int) {
	if a.server.service != nil {
		a.server.service.length.add(hint, events)
	}
}

// EventInterval returns the mean interval between the events that this instance recently
// received from the server, or 0 if there were none.
func (s *Server) EventInterval(now time.Time) time.Duration { return s.interval.value(now) }

// ExpectedEvents returns the number of events to expect of a response that the caller has
// estimated at hint tokens, or 0 if it is unknown.
func (s *Server) ExpectedEvents(hint int) float64 {
	if s.service == nil {
		return 0
	}
	return s.service.length.events(hint)
}

// ExpectedInterval returns the expected interval between the events of a stream, or 0 if
// it is unknown. A server from which this instance received no events recently counts as
// one like the others of its service.
func (s *Server) ExpectedInterval(now time.Time) time.Duration {
	if interval := s.interval.value(now); interval > 0 || s.service == nil {
		return interval
	}
	return s.service.interval.value(now)
}

// ExpectedStreamTime returns the expected time from the first to the last event of a
// response of a service that the caller has estimated at hint tokens, or 0 if it is
// unknown.
func (r *Registry) ExpectedStreamTime(now time.Time, service string, hint int) time.Duration {
	r.mu.Lock()
	estimates := r.estimates[service]
	r.mu.Unlock()
	if estimates == nil {
		return 0
	}
	return time.Duration(estimates.length.events(hint) * float64(estimates.interval.value(now)))
}
