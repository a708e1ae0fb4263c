package routing

import (
	"sync"
	"time"
)

// Bucket is a token bucket whose rate may change at any time. The zero value
// is full. It is not safe for concurrent use.
type Bucket struct {
	level float64
	at    time.Time // time of level; zero: full
}

// Take removes n tokens if the bucket holds as many, and reports whether it did.
// rate is in tokens per second and burst is the capacity of the bucket.
func (b *Bucket) Take(now time.Time, n, rate, burst float64) bool {
	b.fill(now, rate, burst)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Spend removes n tokens unconditionally. The level may become negative; Take
// fails until the bucket has been refilled.
func (b *Bucket) Spend(now time.Time, n, rate, burst float64) {
	b.fill(now, rate, burst)
	b.level -= n
}

func (b *Bucket) fill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level = burst
	} else if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
	}
	b.level = min(b.level, burst)
	b.at = now
}

// linkBurstTime determines the burst of a LinkBudget: as many bytes as the link
// carries in this time.
const linkBurstTime = 100 * time.Millisecond

// LinkBudget limits the bytes that this instance sends to other regions. The cap
// applies to all instances of the region together; each instance enforces its own
// share of it. LinkBudget is safe for concurrent use.
type LinkBudget struct {
	// BytesPerSecond is the cap of the region in one direction; 0 stands for
	// 250 MB/s.
	BytesPerSecond float64
	// Share returns this instance's fraction of the cap, 0..1; nil stands for 1.
	Share func() float64

	mu     sync.Mutex
	bucket Bucket
}

// Take reserves the bytes of a request body, and reports false if they would
// exceed the cap. A body larger than the burst is admitted when the bucket is full;
// later calls fail until the excess has been refilled.
func (l *LinkBudget) Take(now time.Time, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, burst := l.rate()
	if !l.bucket.Take(now, min(float64(bytes), burst), rate, burst) {
		return false
	}
	l.bucket.Spend(now, max(0, float64(bytes)-burst), rate, burst)
	return true
}

// Spend counts bytes that are sent unconditionally, such as the response to a
// request of another region.
func (l *LinkBudget) Spend(now time.Time, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, burst := l.rate()
	l.bucket.Spend(now, float64(bytes), rate, burst)
}

// rate returns the rate in bytes per second and the burst in bytes.
func (l *LinkBudget) rate() (float64, float64) {
	rate := l.BytesPerSecond
	if rate <= 0 {
		rate = defaultLinkRate
	}
	if l.Share != nil {
		rate *= l.Share()
	}
	return rate, rate * linkBurstTime.Seconds()
}
