package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

func newTable(capacity int) *Table { return &Table{Capacity: capacity, TTL: time.Minute} }

// TestRecordsExpire guards against streams that are found after their end, and against a
// table that grows without bound.
func TestRecordsExpire(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	for n := range 5 {
		c.Check(table.Add(start.Add(time.Duration(n)*time.Second), Record{Key: Key(n), Version: 7}), qt.IsTrue)
	}
	_, found := table.Find(start.Add(5*time.Second), 1)
	c.Check(found, qt.IsFalse)
	record, found := table.Find(start.Add(62*time.Second), 2)
	c.Check(record.Version, qt.Equals, Version(7))
	c.Check(found, qt.IsTrue)
	c.Check(table.Len(start.Add(63*time.Second+1)), qt.Equals, 1)
	c.Check(table.Len(start.Add(2*time.Minute)), qt.Equals, 0)
}

// TestStreamOfTwoVersionsIsAmbiguous guards against a second stream with the same request id
// that decides where the first one is continued.
func TestStreamOfTwoVersionsIsAmbiguous(t *testing.T) {
	c := qt.New(t)
	table := newTable(10)
	c.Check(table.Add(start, Record{Key: 1, Version: 7}), qt.IsTrue)
	c.Check(table.Add(start, Record{Key: 1, Version: 7}), qt.IsFalse)
	c.Check(table.Add(start, Record{Key: 1, Version: 8}), qt.IsTrue)
	c.Check(table.Add(start, Record{Key: 1, Version: 7}), qt.IsFalse)
	record, _ := table.Find(start, 1)
	c.Check(record.Version, qt.Equals, Ambiguous)
	records, last := table.After(start, 0, 10)
	c.Check(records, qt.DeepEquals, []Record{{Key: 1, Version: Ambiguous}})
	c.Check(last, qt.Equals, uint64(2))
}

// TestRecordsAfter guards against records that are passed on twice or never.
func TestRecordsAfter(t *testing.T) {
	c := qt.New(t)
	table := newTable(4)
	records, last := table.After(start, 0, 10)
	c.Check(records, qt.HasLen, 0)
	c.Check(last, qt.Equals, uint64(0))
	for n := range 6 {
		table.Add(start, Record{Key: Key(n), Version: 7})
	}
	records, last = table.After(start, 0, 3)
	c.Check(records, qt.DeepEquals, []Record{{Key: 2, Version: 7}, {Key: 3, Version: 7}, {Key: 4, Version: 7}})
	records, last = table.After(start, last, 3)
	c.Check(records, qt.DeepEquals, []Record{{Key: 5, Version: 7}})
	c.Check(last, qt.Equals, uint64(6))
	records, _ = table.After(start, last, 3)
	c.Check(records, qt.HasLen, 0)
	records, _ = table.After(start, 99, 1) // of an earlier process
	c.Check(records, qt.DeepEquals, []Record{{Key: 2, Version: 7}})
}

// TestKeysOfOrganizationsDiffer guards against a caller that finds the streams of another
// organization by their request ids.
func TestKeysOfOrganizationsDiffer(t *testing.T) {
	c := qt.New(t)
	seen := make(map[Key]bool)
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"", "ab", "c"}, {"a", "bc", ""}, {"b", "b", "c"}} {
		key := KeyOf(parts[0], parts[1], parts[2])
		c.Check(seen[key], qt.IsFalse)
		seen[key] = true
	}
}

// TestVersionText checks that versions survive their text form, and that services with the
// same version text differ.
func TestVersionText(t *testing.T) {
	c := qt.New(t)
	c.Check(VersionOf("a", "v1") == VersionOf("b", "v1"), qt.IsFalse)
	c.Check(VersionOf("a", "") == 0, qt.IsFalse)
	for _, v := range []Version{0, 1, VersionOf("a", "v1"), Ambiguous} {
		parsed, err := ParseVersion(v.String())
		c.Check(err, qt.IsNil)
		c.Check(parsed, qt.Equals, v)
	}
	_, err := ParseVersion("v1")
	c.Check(err, qt.IsNotNil)
}

// TestProvisionalRecords guards against a stream that is bound to a version which was chosen
// for it but did not begin it.
func TestProvisionalRecords(t *testing.T) {
	for name, test := range map[string]struct {
		records []Record
		want    Record
	}{
		"chosen":            {[]Record{{1, 7, true}}, Record{1, 7, true}},
		"chosen, began":     {[]Record{{1, 7, true}, {1, 7, false}}, Record{1, 7, false}},
		"other began":       {[]Record{{1, 7, true}, {1, 8, false}}, Record{1, 8, false}},
		"late news":         {[]Record{{1, 8, false}, {1, 7, true}}, Record{1, 8, false}},
		"two chosen":        {[]Record{{1, 7, true}, {1, 8, true}}, Record{1, Ambiguous, true}},
		"two chosen, began": {[]Record{{1, 7, true}, {1, 8, true}, {1, 8, false}}, Record{1, 8, false}},
		"two began":         {[]Record{{1, 7, false}, {1, 8, false}, {1, 8, false}}, Record{1, Ambiguous, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := newTable(10)
			for _, r := range test.records {
				table.Add(start, r)
			}
			record, _ := table.Find(start, 1)
			c.Check(record, qt.Equals, test.want)
		})
	}
}

// TestFinalRecordIsPassedOn guards against other instances that never learn that a provisional
// record has become final.
func TestFinalRecordIsPassedOn(t *testing.T) {
	c := qt.New(t)
	table := newTable(10)
	c.Check(table.Add(start, Record{1, 7, true}), qt.IsTrue)
	_, last := table.After(start, 0, 10)
	c.Check(table.Add(start, Record{1, 7, false}), qt.IsTrue)
	records, _ := table.After(start, last, 10)
	c.Check(records, qt.DeepEquals, []Record{{1, 7, false}})
}
