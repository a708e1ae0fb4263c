package store

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against ordering revisions by number alone: after the service has returned from
// an older copy, lower numbers of the new era are later than higher ones of the old era.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	c := qt.New(t)
	revisions := []Revision{{Era: 2, Number: 3}, {Number: 900}, {Era: 1, Number: 7}, {}, {Era: 1, Number: 800}}
	slices.SortFunc(revisions, Revision.Compare)
	c.Assert(revisions, qt.DeepEquals, []Revision{{}, {Number: 900}, {Era: 1, Number: 7}, {Era: 1, Number: 800}, {Era: 2, Number: 3}})
	later, earlier := Revision{Era: 1, Number: 7}, Revision{Number: 900}
	c.Assert(later.After(earlier) && earlier.Before(later), qt.IsTrue)
	c.Assert(later.After(later) || later.Before(later), qt.IsFalse)
	c.Assert(Revision{}.IsZero() && !earlier.IsZero(), qt.IsTrue)
}
