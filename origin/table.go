package origin

import (
	"sync"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/monotonic"
)

// Record is the version that began a stream.
type Record struct {
	Key     Key
	Version Version
	// Provisional means that the version has been chosen to begin the stream, but its first
	// event had not been sent. Another version may have begun it after all.
	Provisional bool
}

// Table holds the records of the last TTL. If there are more than Capacity, the oldest ones
// are dropped. It is safe for concurrent use.
type Table struct {
	Capacity int
	TTL      time.Duration

	mu      sync.Mutex
	numbers map[Key]uint64 // of the current log entry of each key
	log     []logEntry     // in the order in which the records were made or changed
	dropped uint64         // log entries dropped so far; log[0] has the next number
}

// logEntry is a record. It is outdated if its key has a later one.
type logEntry struct {
	Record
	at monotonic.Time
}

// Add adds a record. A record that is not provisional replaces one that is. Otherwise a stream
// that is recorded with another version becomes Ambiguous. Add reports whether the record of
// the stream has changed.
func (t *Table) Add(now time.Time, r Record) bool {
	if r.Version == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if known := t.find(r.Key); known != nil {
		switch {
		case r.Provisional && !known.Provisional:
			return false
		case r.Provisional == known.Provisional && r.Version != known.Version:
			r.Version = Ambiguous
		}
		if r == *known {
			return false
		}
	}
	if t.numbers == nil {
		t.numbers = make(map[Key]uint64)
	}
	t.log = append(t.log, logEntry{Record: r, at: monotonic.Of(now)})
	t.numbers[r.Key] = t.last()
	for len(t.log) > max(t.Capacity, 1) {
		t.drop()
	}
	return true
}

// find returns the record of a stream, or nil. t.mu is held.
func (t *Table) find(key Key) *Record {
	number, found := t.numbers[key]
	if !found {
		return nil
	}
	return &t.entry(number).Record
}

// entry returns the log entry with a number. t.mu is held.
func (t *Table) entry(number uint64) *logEntry { return &t.log[number-t.dropped-1] }

// last returns the number of the last log entry, 0 if there was none. t.mu is held.
func (t *Table) last() uint64 { return t.dropped + uint64(len(t.log)) }

// Find returns the record of a stream, and whether there is one.
func (t *Table) Find(now time.Time, key Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r := t.find(key); r != nil {
		return *r, true
	}
	return Record{}, false
}

// Number returns the number of the record of a stream, 0 if there is none.
func (t *Table) Number(key Key) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.numbers[key]
}

// Last returns the number of the last record.
func (t *Table) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last()
}

// Len returns the number of records.
func (t *Table) Len(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.numbers)
}

// After returns at most limit records that were made or changed after the one with the
// given number, the oldest first, and the number of the last one. Number 0 stands for the
// start, and so does a number that is not known yet.
func (t *Table) After(now time.Time, number uint64, limit int) (records []Record, last uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if number > t.last() {
		number = 0
	}
	for last = max(number, t.dropped); last < t.last() && len(records) < limit; {
		last++
		if entry := t.entry(last); t.numbers[entry.Key] == last {
			records = append(records, entry.Record)
		}
	}
	return records, last
}

// expire drops the records that are older than TTL. t.mu is held.
func (t *Table) expire(now time.Time) {
	for len(t.log) > 0 && t.log[0].at.Since(now) > t.TTL {
		t.drop()
	}
}

// drop drops the oldest log entry. t.mu is held.
func (t *Table) drop() {
	if key := t.log[0].Key; t.numbers[key] == t.dropped+1 {
		delete(t.numbers, key)
	}
	t.log = t.log[1:]
	t.dropped++
}
