package configlog_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

func newLog() (*configlog.Log, *kv.Server) {
	server := kv.New()
	return &configlog.Log{Store: consul.NewWithTransport("http://kv", server.Transport())}, server
}

func publish(l *configlog.Log, base *configlog.State, entries configlog.Entries) (*configlog.State, error) {
	delta, changed := base.DeltaTo(entries)
	if !changed {
		return base, nil
	}
	return l.Publish(context.Background(), base, delta)
}

// change returns the entries of s with one key set.
func change(s *configlog.State, key, value string) configlog.Entries {
	entries := configlog.Entries{key: []byte(value)}
	for k, v := range s.Entries {
		if k != key {
			entries[k] = v
		}
	}
	return entries
}

// Reads 300 published revisions, which span several snapshots: once without a
// state and once from a state 20 revisions back.
func TestReadReturnsThePublishedState(t *testing.T) {
	c := qt.New(t)
	l, _ := newLog()
	ctx := context.Background()
	current := configlog.Empty()
	var older *configlog.State
	const revisions = 300
	for i := range revisions {
		next, err := publish(l, current, change(current, fmt.Sprintf("service/%d", i%17), fmt.Sprint(i)))
		c.Assert(err, qt.IsNil)
		current = next
		if i == revisions-20 {
			older = next
		}
	}
	full, err := l.Read(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(full, qt.DeepEquals, current)
	head, _, err := l.Head(ctx)
	c.Assert(err, qt.IsNil)
	incremental, deltas, err := l.ReadTo(ctx, older, head)
	c.Assert(err, qt.IsNil)
	c.Assert(incremental, qt.DeepEquals, current)
	c.Assert(deltas, qt.HasLen, revisions-int(older.Revision))
}

// A delta larger than one value of the store must be read back complete.
func TestLargeDeltaIsStoredInParts(t *testing.T) {
	c := qt.New(t)
	l, _ := newLog()
	entries := configlog.Entries{}
	for i := range 2000 {
		entries[fmt.Sprintf("caller/%d", i)] = bytes.Repeat([]byte{'x'}, 400)
	}
	published, err := publish(l, configlog.Empty(), entries)
	c.Assert(err, qt.IsNil)
	read, err := l.Read(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, published)
}

// Exactly one of several operators publishes if all of them start from the same
// revision. Each call of the store takes 1 s, so that all operators read the head
// before one of them writes it.
func TestOneOfConcurrentPublishesSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, server := newLog()
		base, err := publish(l, configlog.Empty(), configlog.Entries{"service/a": []byte("0")})
		c.Assert(err, qt.IsNil)
		server.SetFaults(kv.Faults{Delay: time.Second})
		const publishers = 16
		errs := make([]error, publishers)
		var tasks sync.WaitGroup
		for i := range publishers {
			tasks.Go(func() {
				_, errs[i] = publish(l, base, change(base, "service/a", fmt.Sprint("operator ", i)))
			})
		}
		tasks.Wait()
		conflicts := 0
		for _, err := range errs {
			if errors.Is(err, configlog.ErrConflict) {
				conflicts++
			}
		}
		c.Assert(conflicts, qt.Equals, publishers-1, qt.Commentf("%v", errs))
	})
}

// Publish must not write again if the response of the store is lost.
func TestLostResponseDoesNotPublishTwice(t *testing.T) {
	c := qt.New(t)
	l, server := newLog()
	server.SetFaults(kv.Faults{LoseWriteResponses: 1})
	state, err := publish(l, configlog.Empty(), configlog.Entries{"service/a": []byte("1")})
	c.Assert(err, qt.IsNil)
	c.Assert(state.Revision, qt.Equals, uint64(1))
	c.Assert(server.Counters().Writes, qt.Equals, uint64(1))
}

// Over random sequences of publishes with lost responses and outdated bases, no
// revision is published with two contents.
func TestEachRevisionHasOneContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, server := newLog()
		states := []*configlog.State{configlog.Empty()}
		digests := map[uint64]configlog.Digest{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			base := states[rapid.IntRange(0, len(states)-1).Draw(t, "base")]
			server.SetFaults(kv.Faults{LoseWriteResponses: rapid.IntRange(0, 1).Draw(t, "lost")})
			next, err := publish(l, base, change(base, "service/a", fmt.Sprint(step)))
			server.SetFaults(kv.Faults{})
			if err != nil {
				if !errors.Is(err, configlog.ErrConflict) {
					t.Fatalf("step %d: %v", step, err)
				}
				continue
			}
			if digest, ok := digests[next.Revision]; ok && digest != next.Digest {
				t.Fatalf("revision %d was published with two digests", next.Revision)
			}
			digests[next.Revision] = next.Digest
			states = append(states, next)
		}
		read, err := l.Read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if newest := states[len(states)-1]; read.Digest != newest.Digest {
			t.Fatalf("store holds revision %d, want the published revision %d", read.Revision, newest.Revision)
		}
	})
}

// Example publishes two revisions and reads the newest one.
func Example() {
	l, _ := newLog()
	first, err := publish(l, configlog.Empty(), configlog.Entries{"service/desk": []byte("1")})
	if err != nil {
		panic(err)
	}
	if _, err := publish(l, first, configlog.Entries{"service/desk": []byte("2")}); err != nil {
		panic(err)
	}
	newest, err := l.Read(context.Background())
	if err != nil {
		panic(err)
	}
	fmt.Println(newest.Revision, string(newest.Entries["service/desk"]))
	// Output: 2 2
}
