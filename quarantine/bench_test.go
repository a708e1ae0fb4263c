package quarantine

import (
	"strings"
	"testing"
	"time"
)

func BenchmarkDigest(b *testing.B) {
	body := []byte(`{"model":"desk","messages":[{"role":"user","content":"` + strings.Repeat("grade of laid paper ", 400) + `"}]}`)
	key := Key("the key of the deployment")
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		key.Digest("desk", "/v1/chat/completions", body)
	}
}

func BenchmarkOwnState(b *testing.B) {
	table := &Table{Instance: "entry-0"}
	for i := range 100 {
		table.RecordCrash(start.Add(time.Duration(i)*2*time.Second), digestOf(i), LostAttempt{ServerKey: uint64(i), StartedAt: start})
	}
	b.ReportAllocs()
	for b.Loop() {
		table.OwnState(start.Add(4 * time.Minute))
	}
}
