package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newHistory() *History { return &History{TTL: time.Minute, Margin: 15 * time.Second} }

func fitsAny(string) bool { return true }

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// TestDepartedVersionStaysPossible guards against a version that is forgotten while streams
// that it began may be taken up, and against one that stays for ever.
func TestDepartedVersionStaysPossible(t *testing.T) {
	c := qt.New(t)
	h := newHistory()
	h.Observe(at(0), []string{"v1"}, true)
	h.Observe(at(10), []string{"v1", "v2"}, true)
	h.Observe(at(20), []string{"v2"}, true)
	c.Check(h.Possible(at(80)), qt.DeepEquals, []string{"v1", "v2"})
	c.Check(h.Possible(at(81)), qt.DeepEquals, []string{"v2"})
	h.SetRecord(at(81), []string{"v0", "v2"})
	c.Check(h.Possible(at(81)), qt.DeepEquals, []string{"v0", "v2"})
	h.Observe(at(82), []string{"v2"}, true)
	c.Check(h.versions, qt.HasLen, 2)
}

// TestRecordHasVersionsUntilTheyHaveLeft guards against a version that is taken out of the
// record by an instance that has not itself seen it unlisted for the whole time.
func TestRecordHasVersionsUntilTheyHaveLeft(t *testing.T) {
	c := qt.New(t)
	h := newHistory()
	check := func(seconds int, want ...string) {
		versions, complete := h.Record(at(seconds), 10, fitsAny)
		c.Check(versions, qt.DeepEquals, want, qt.Commentf("after %d s", seconds))
		c.Check(complete, qt.IsTrue)
	}
	h.SetRecord(at(0), []string{"v0", "v1"})
	h.Observe(at(0), []string{"v1", "v2"}, true)
	check(0, "v0", "v1", "v2")
	check(75, "v0", "v1", "v2")
	check(76, "v1", "v2")
	h.Observe(at(80), []string{"v2"}, false) // the list may be outdated
	check(200, "v0", "v1", "v2")
}

// TestBreakInTheListRestartsTheTime guards against a removal after an outage in which a server
// of the version may have been listed, and against an incomplete history that counts as whole.
func TestBreakInTheListRestartsTheTime(t *testing.T) {
	c := qt.New(t)
	h := newHistory()
	h.SetRecord(at(0), []string{"v1", "v2"})
	h.Observe(at(0), []string{"v2"}, true)
	c.Check(h.Complete(at(60)), qt.IsFalse)
	c.Check(h.Complete(at(61)), qt.IsTrue)
	h.Observe(at(70), []string{"v2"}, false)
	c.Check(h.Complete(at(71)), qt.IsFalse)
	h.Observe(at(80), []string{"v2"}, true)
	for _, test := range []struct {
		seconds int
		want    []string
	}{{155, []string{"v1", "v2"}}, {156, []string{"v2"}}} {
		versions, _ := h.Record(at(test.seconds), 10, fitsAny)
		c.Check(versions, qt.DeepEquals, test.want)
	}
}

// TestRecordIsBounded guards against a record that grows without bound, or that looks whole
// although versions are missing.
func TestRecordIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newHistory()
	h.Observe(at(0), []string{"a", "b", "c"}, true)
	h.Observe(at(1), []string{"c"}, true)
	versions, complete := h.Record(at(1), 2, fitsAny)
	c.Check(versions, qt.DeepEquals, []string{"a", "c"})
	c.Check(complete, qt.IsFalse)
	versions, complete = h.Record(at(1), 3, func(version string) bool { return version != "b" })
	c.Check(versions, qt.DeepEquals, []string{"a", "c"})
	c.Check(complete, qt.IsFalse)
}

// TestFreshVersions guards against new streams at a version that other instances do not know
// yet, and against one that is held back for ever as it cannot be recorded.
func TestFreshVersions(t *testing.T) {
	c := qt.New(t)
	h := newHistory()
	fresh := func(seconds int) []string { return h.Fresh(at(seconds), time.Second, 3*time.Second) }
	h.SetRecord(at(0), []string{"v1"})
	h.Observe(at(0), []string{"v1"}, true)
	c.Check(fresh(0), qt.HasLen, 0)
	h.Observe(at(10), []string{"v1", "v2"}, true)
	c.Check(fresh(12), qt.DeepEquals, []string{"v2"})
	c.Check(fresh(13), qt.HasLen, 0)
	h.SetRecord(at(11), []string{"v1", "v2"})
	c.Check(fresh(11), qt.DeepEquals, []string{"v2"})
	c.Check(fresh(12), qt.HasLen, 0)
}
