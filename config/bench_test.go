package config_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"testing"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// stateOf returns a state with 4 services and the given number of callers.
func stateOf(callers int) *configlog.State {
	entries := configlog.Entries{}
	for i := range 4 {
		name := fmt.Sprint("service-", i)
		entries["service/"+name], _ = json.Marshal(catalog.Service{Name: name, Kind: catalog.Model})
	}
	for i := range callers {
		name := fmt.Sprint("caller-", i)
		entries["caller/"+name], _ = json.Marshal(catalog.Caller{Name: name, KeyDigest: catalog.KeyDigest(name)})
	}
	return &configlog.State{Revision: 1, Entries: entries, Digest: configlog.DigestOf(entries)}
}

// BenchmarkChange measures what an instance does for each revision, with a change
// of one caller: apply the delta, check its digest and build the snapshot.
func BenchmarkChange(b *testing.B) {
	for _, callers := range []int{100, 500, 2000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			state, builder := stateOf(callers), &config.Builder{}
			snapshot, err := builder.Build(state)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				next := maps.Clone(state.Entries)
				next["caller/caller-0"] = fmt.Appendf(nil, `{"name":"caller-0","key_digest":"%064d"}`, state.Revision)
				delta, _ := state.DeltaTo(next)
				b.StartTimer()
				if state, err = state.Apply(delta); err != nil {
					b.Fatal(err)
				}
				if snapshot, err = builder.Build(state); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e3, "KB/state")
			runtime.KeepAlive(snapshot)
		})
	}
}
