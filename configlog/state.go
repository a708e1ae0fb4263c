// Package configlog keeps the revisions of the configuration in the store: a
// head that is written by compare-and-swap, one small delta for each revision,
// and periodic snapshots of the full state. A reader that holds revision r reads
// only the deltas after r. Every delta contains the digest of the resulting
// state, so that a missed or corrupt delta is detected.
package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Entries holds the configuration by key, such as "service/drafting-desk".
type Entries map[string][]byte

// Digest identifies the content of Entries. It is the exclusive or of the
// SHA-256 of every entry, so that the cost of an update is proportional to the
// size of the change.
type Digest [sha256.Size]byte

// String returns the first 8 bytes in hex, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Errorf("decode digest: got %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// toggle adds an entry to the digest, or removes it if it is included.
func (d *Digest) toggle(key string, value []byte) {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(key), key)
	h.Write(value)
	for i, b := range h.Sum(nil) {
		d[i] ^= b
	}
}

// DigestOf returns the digest of entries.
func DigestOf(entries Entries) Digest {
	var d Digest
	for key, value := range entries {
		d.toggle(key, value)
	}
	return d
}

// Change sets or deletes one entry.
type Change struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Delta holds the changes from the previous revision to Revision.
type Delta struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
	Digest   Digest   `json:"digest"` // of the state after the changes
}

// State is the configuration at one revision. It must not be modified.
type State struct {
	Revision uint64  `json:"revision"`
	Digest   Digest  `json:"digest"`
	Entries  Entries `json:"entries"`
}

// Errors of State.Apply and State.Verify.
var (
	ErrGap    = errors.New("delta is not for the next revision")
	ErrDigest = errors.New("configuration digest mismatch")
)

// Empty returns the state before the first revision.
func Empty() *State { return &State{Entries: Entries{}} }

// Apply returns the state after d. It fails with ErrGap if d is not for the next
// revision, and with ErrDigest if the result differs from the published state.
func (s *State) Apply(d Delta) (*State, error) {
	if d.Revision != s.Revision+1 {
		return nil, errors.Wrapf(ErrGap, "apply delta of revision %d to revision %d", d.Revision, s.Revision)
	}
	next := &State{Revision: d.Revision, Digest: s.Digest, Entries: maps.Clone(s.Entries)}
	for _, c := range d.Changes {
		next.change(c)
	}
	if next.Digest != d.Digest {
		return nil, errors.Wrapf(ErrDigest, "apply delta of revision %d", d.Revision)
	}
	return next, nil
}

func (s *State) change(c Change) {
	if old, ok := s.Entries[c.Key]; ok {
		s.Digest.toggle(c.Key, old)
		delete(s.Entries, c.Key)
	}
	if !c.Delete {
		s.Entries[c.Key] = c.Value
		s.Digest.toggle(c.Key, c.Value)
	}
}

// Verify checks the digest against the entries. It fails with ErrDigest.
func (s *State) Verify() error {
	if DigestOf(s.Entries) != s.Digest {
		return errors.Wrapf(ErrDigest, "verify state of revision %d", s.Revision)
	}
	return nil
}

// DeltaTo returns the delta from s to entries, and whether it has any changes.
func (s *State) DeltaTo(entries Entries) (Delta, bool) {
	changes := diff(s.Entries, entries)
	return Delta{Revision: s.Revision + 1, Changes: changes, Digest: DigestOf(entries)}, len(changes) > 0
}

// diff returns the changes from old to next: first the entries set, then the
// deleted ones, each sorted by key.
func diff(old, next Entries) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(next)) {
		if oldValue, ok := old[key]; !ok || !bytes.Equal(oldValue, next[key]) {
			changes = append(changes, Change{Key: key, Value: next[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[key]; !ok {
			changes = append(changes, Change{Key: key, Delete: true})
		}
	}
	return changes
}
