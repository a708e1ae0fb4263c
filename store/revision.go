package store

import (
	"cmp"
	"strconv"
)

// Revision is a revision of a service that may return from an older copy of its data. It
// then starts a new era, in which it assigns numbers again. The zero Revision is before
// all others.
type Revision struct {
	Era    uint64 // 0 for a service that names none
	Number uint64
}

// Compare orders revisions by era, then by number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the number, after the era if that is not 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}

// Revision returns the revision of the entry.
func (e Entry) Revision() Revision { return Revision{e.Era, e.Version} }

// Later returns the later one of r and other.
func (r Revision) Later(other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}
