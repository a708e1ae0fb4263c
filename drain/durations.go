package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of requests of a kind that an estimate rests on.
	sampleCount = 64
	// minSamples is the number below which nothing is estimated.
	minSamples = 8
	// maxSampleAge is the age beyond which a finished request says nothing about the
	// present load.
	maxSampleAge = 30 * time.Second
	// maxIdleKinds limits the kinds without recent requests that are kept.
	maxIdleKinds = 256
)

// Durations records how long requests take, by kind. Requests of one kind wait for
// similar times, and then take similar times for each token of their output limit, or
// in total if they have none. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[kindKey]*kind
}

// Kind names requests that take similar times.
type Kind struct{ Service, Work string }

// kindKey identifies a kind. The times per token of requests with an output limit say
// nothing about requests without one.
type kindKey struct {
	Kind
	limited bool
}

func newKindKey(name Kind, outputTokens int) kindKey { return kindKey{name, outputTokens > 0} }

// kind holds the recent requests of one kind.
type kind struct {
	samples [sampleCount]sample // the most recent ones; at is zero for unused elements
	next    int
	running map[*Run]struct{}
}

// sample is what one request says about others of its kind.
type sample struct {
	at       time.Time
	wait     time.Duration // until the first byte of the response
	perToken time.Duration // from then on, for each token of the output limit
}

// Run is a request in progress.
type Run struct {
	durations *Durations
	kind      *kind
	began     time.Time
	firstByte time.Time // zero before
	tokens    int
}

// Begin records that a request has arrived. outputTokens is the limit of its output,
// 0 if unknown. The caller must call End.
func (d *Durations) Begin(now time.Time, name Kind, outputTokens int) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := newKindKey(name, outputTokens)
	k := d.kinds[key]
	if k == nil {
		d.dropIdle(now)
		k = &kind{running: make(map[*Run]struct{})}
		if d.kinds == nil {
			d.kinds = make(map[kindKey]*kind)
		}
		d.kinds[key] = k
	}
	run := &Run{durations: d, kind: k, began: now, tokens: max(outputTokens, 1)}
	k.running[run] = struct{}{}
	return run
}

// dropIdle drops the kinds without recent requests if there are too many kinds. The
// caller must hold d.mu.
func (d *Durations) dropIdle(now time.Time) {
	if len(d.kinds) < maxIdleKinds {
		return
	}
	for key, k := range d.kinds {
		if len(k.running) == 0 && !slices.ContainsFunc(k.samples[:], func(s sample) bool { return s.recent(now) }) {
			delete(d.kinds, key)
		}
	}
}

// FirstByte records that the first byte of the response has arrived.
func (r *Run) FirstByte(now time.Time) {
	r.durations.mu.Lock()
	defer r.durations.mu.Unlock()
	if r.firstByte.IsZero() {
		r.firstByte = now
	}
}

// End records that the request has ended. counts reports whether others of its kind take
// similar times: it was served, or its time ran out.
func (r *Run) End(now time.Time, counts bool) {
	r.durations.mu.Lock()
	defer r.durations.mu.Unlock()
	delete(r.kind.running, r)
	if counts {
		r.kind.samples[r.kind.next] = r.sample(now)
		r.kind.next = (r.kind.next + 1) % sampleCount
	}
}

// sample returns what the request says at now. For a request in progress, these are
// lower bounds.
func (r *Run) sample(now time.Time) sample {
	if r.firstByte.IsZero() {
		return sample{at: now, wait: now.Sub(r.began)}
	}
	return sample{at: now, wait: r.firstByte.Sub(r.began), perToken: now.Sub(r.firstByte) / time.Duration(r.tokens)}
}

func (s sample) recent(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) <= maxSampleAge }

// Estimate returns the time that the given fraction of the requests of a kind with a
// limit of output tokens does not exceed, and the number of requests that it rests
// on. ok is false if there are too few.
func (d *Durations) Estimate(now time.Time, name Kind, outputTokens int, fraction float64) (estimate time.Duration, samples int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[newKindKey(name, outputTokens)]
	if k == nil {
		return 0, 0, false
	}
	var waits, perToken []time.Duration
	for _, s := range k.samples {
		if s.recent(now) {
			waits, perToken = append(waits, s.wait), append(perToken, s.perToken)
		}
	}
	if len(waits) < minSamples {
		return 0, len(waits), false
	}
	samples = len(waits)
	wait, pace := quantile(waits, fraction), quantile(perToken, fraction)
	// A request in progress that is already slower than that shows that the load
	// has grown.
	for run := range k.running {
		s := run.sample(now)
		if s.wait > wait {
			waits = append(waits, s.wait)
		}
		if s.perToken > pace {
			perToken = append(perToken, s.perToken)
		}
	}
	return quantile(waits, fraction) + quantile(perToken, fraction)*time.Duration(max(outputTokens, 1)), samples, true
}

// quantile returns the value that the given fraction of values does not exceed. It
// sorts values.
func quantile(values []time.Duration, fraction float64) time.Duration {
	slices.Sort(values)
	return values[min(int(fraction*float64(len(values))), len(values)-1)]
}
