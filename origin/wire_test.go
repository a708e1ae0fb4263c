package origin

import (
	"cmp"
	"encoding/json"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRecordsEncoding guards against records that are lost or changed between instances.
func TestRecordsEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := Records(rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			return Record{Key(rapid.Uint64().Draw(t, "key")), Version(rapid.Uint64Range(1, 3).Draw(t, "version")), rapid.Bool().Draw(t, "provisional")}
		})).Draw(t, "records"))
		var decoded Records
		text, err := json.Marshal(records)
		if err == nil {
			err = json.Unmarshal(text, &decoded)
		}
		byVersion := func(a, b Record) int {
			if a.Version == b.Version && a.Provisional != b.Provisional && a.Provisional {
				return -1
			} else if a.Version == b.Version && a.Provisional != b.Provisional {
				return 1
			}
			return cmp.Compare(a.Version, b.Version)
		}
		slices.SortStableFunc(records, byVersion)
		slices.SortStableFunc(decoded, byVersion)
		if err != nil || !slices.Equal(decoded, records) || len(text) != records.EncodedLen()+len(`""`) {
			t.Fatalf("%v, decoded %v from %d bytes: %v", records, decoded, len(text), err)
		}
	})
}

// TestRecordsOfOthersAreChecked guards against a message that stops an instance or fills
// its table.
func TestRecordsOfOthersAreChecked(t *testing.T) {
	c := qt.New(t)
	many, err := json.Marshal(make(Records, MaxRecords+1))
	c.Assert(err, qt.IsNil)
	for _, text := range []string{
		`1`, `"?"`, `"AAAA"`, string(many),
		`"AAAAAAAAAAABAAAAAAAAAAAAAAA="`, // version 0
		`"AQAAAAAAAAAAAAAA"`,             // no keys
		`"AQAAAAAAAAD/////AAAAAAAAAAA="`, // too few
		`"` + strings.Repeat("AQAAAAAAAAABAAAAAAAAAAAAAAAB", MaxRecords) + `"`,
	} {
		var records Records
		c.Check(json.Unmarshal([]byte(text), &records), qt.IsNotNil, qt.Commentf("%.60s", text))
	}
}

// BenchmarkRecords measures the memory of a full table and the bytes of messages with the
// records that one instance, or the 16 of a cell, make between two exchanges at 46 requests/s
// each.
func BenchmarkRecords(b *testing.B) {
	const count, versions, made = 1 << 17, 4, 46 * 120 / 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := Table{Capacity: count, TTL: time.Minute}
		for n := range 3 * count {
			table.Add(start, Record{Key: Key(n) * 0x9e3779b97f4a7c15, Version: Version(n%versions + 1)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/record")
		own, _ := table.After(start, 0, made)
		b.ReportMetric(float64(Records(own).EncodedLen())/made, "B/member-record")
		cell, _ := table.After(start, 0, 16*made)
		b.ReportMetric(float64(Records(cell).EncodedLen())/(16*made), "B/cell-record")
	}
}
