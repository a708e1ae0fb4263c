package hosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// versionsPrefix is the prefix of the keys with the versions of services in the store. It
	// is followed by the name of the service, path-escaped.
	versionsPrefix = "fuchsiastack/versions/"
	// maxKeyBytes is the longest key that the store accepts.
	maxKeyBytes = 200
	// maxVersions limits the versions in a key, and maxVersionBytes the text of each.
	maxVersions     = 64
	maxVersionBytes = 256

	// versionsRankDelay exceeds the time until an instance has the write of another one.
	versionsRankDelay = 800 * time.Millisecond
	// versionsRetryDelay is the mean time between the first two writes of a key, if its change
	// is not seen. It doubles with each further one, maxRetryDoublings times.
	versionsRetryDelay = 2 * time.Second
)

// versionsDocument is the value of a key.
type versionsDocument struct {
	Versions []string `json:"versions"`
	// Incomplete states that there were more versions than a key may have.
	Incomplete bool `json:"incomplete,omitempty"`
}

var errVersionsBound = errors.Errorf("more than %d versions, or one of more than %d bytes", maxVersions, maxVersionBytes)

func decodeVersions(value []byte) (versionsDocument, error) {
	var document versionsDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return versionsDocument{}, err
	}
	if document.Versions == nil {
		return versionsDocument{}, errors.New("no versions")
	}
	tooLong := func(version string) bool { return !fitsVersionsKey(version) }
	if len(document.Versions) > maxVersions || slices.ContainsFunc(document.Versions, tooLong) {
		return versionsDocument{}, errVersionsBound
	}
	slices.Sort(document.Versions)
	document.Versions = slices.Compact(document.Versions)
	return document, nil
}

func fitsVersionsKey(version string) bool { return len(version) <= maxVersionBytes }

// versionsKey is the key in the store with the versions of a service that may have begun a
// stream which is not at its end. If all instances are killed at once, the next ones learn
// from it which versions have left just then. Every instance writes it, on the condition that
// it has not changed; rendezvous hashing only tells in which order they should try, so that
// usually one does.
type versionsKey struct {
	name     string
	entry    store.Entry // as read last; its zero value if the key is absent
	document versionsDocument
	readable bool
	complete bool // document has all versions

	dueSince time.Time // since when it should change; zero if it should not
	attempts int       // to write this change
	failed   bool      // the last one did, other than by a conflict
	retryAt  time.Time // earliest time of the next write
}

func newVersionsKey(service string) versionsKey {
	return versionsKey{name: versionsPrefix + url.PathEscape(service)}
}

// writable reports whether the key can be written, as far as is known.
func (k *versionsKey) writable() bool { return !k.failed && len(k.name) <= maxKeyBytes }

// readKey applies the key of a service as the copy of the store has it. v.mu is held.
func (v *versions) readKey(now time.Time, s *serviceVersions) {
	entry, ok := v.instance.mirror.Get(s.key.name)
	if entry.Revision() == s.key.entry.Revision() && (ok || s.key.entry.Key == "") {
		return
	}
	key := &s.key
	*key = versionsKey{name: key.name, entry: entry}
	if ok {
		var err error
		key.document, err = decodeVersions(entry.Value)
		key.readable = err == nil
		key.complete = key.readable && !key.document.Incomplete
		if err != nil {
			v.instance.observer.EntryRejected(telemetry.VersionsEntry, key.name, entry.Version, err)
		}
	}
	s.history.SetRecord(now, key.document.Versions)
}

// run keeps the keys up to date until ctx ends.
func (v *versions) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { loop.Every(ctx, versionsInterval, v.writeKeys) })
	loop.Every(ctx, versionsInterval, func(context.Context) { v.update(time.Now()) })
}

// keyWrite is a write of a key.
type keyWrite struct {
	service, state string
	versions       []string // that are added or removed
	op             store.Op
}

// writeKeys writes the keys whose change is due.
func (v *versions) writeKeys(ctx context.Context) {
	for _, write := range v.dueWrites(time.Now()) {
		err := v.instance.store.Txn(ctx, []store.Op{write.op})
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			v.log(write.state, write.service, write.versions, nil)
		case errors.Is(err, store.ErrConflict):
			v.refresh(ctx, write.op.Key)
		default:
			v.log("failed", write.service, write.versions, err)
		}
		v.written(write.service, err)
	}
}

// refresh reads a key from the store into the copy, which may be that of an instance that
// does not follow these keys.
func (v *versions) refresh(ctx context.Context, key string) {
	if entry, err := v.instance.store.Get(ctx, key); err == nil {
		v.instance.mirror.Apply([]store.Change{{Entry: entry}}, store.Revision{})
	}
}

// written records the result of a write. Its effect is seen in the copy of the store.
func (v *versions) written(service string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := &v.service(service).key
	delay := versionsRetryDelay << min(key.attempts, maxRetryDoublings)
	key.retryAt = time.Now().Add(delay/2 + rand.N(delay))
	key.attempts++
	key.failed = err != nil && !errors.Is(err, store.ErrConflict)
}

// dueWrites returns the writes that this instance should do now.
func (v *versions) dueWrites(now time.Time) []keyWrite {
	live := ids(v.instance.roster.Live())
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.current || v.listedSince.IsZero() || now.Sub(v.listedSince) < selectionDelay {
		// Others may not know this instance, nor this one them. After an outage they begin in
		// their order again.
		for _, s := range v.services {
			s.key.dueSince = time.Time{}
		}
		return nil
	}
	var writes []keyWrite
	for _, name := range v.streamServices() {
		s := v.service(name)
		key := &s.key
		write, needed := s.nextWrite(now)
		if !needed || len(key.name) > maxKeyBytes {
			key.dueSince = time.Time{}
			continue
		}
		if key.dueSince.IsZero() {
			key.dueSince = now
		}
		rank := slices.Index(membership.Rendezvous(live, key.name, len(live)), v.instance.settings.Instance)
		if rank < 0 || now.Before(key.retryAt) || now.Sub(key.dueSince) < time.Duration(rank)*versionsRankDelay {
			continue
		}
		write.service = name
		writes = append(writes, write)
	}
	return writes
}

// nextWrite returns the write that makes the key what it should be, and whether one is needed.
func (s *serviceVersions) nextWrite(now time.Time) (write keyWrite, needed bool) {
	list, complete := s.history.Record(now, maxVersions, fitsVersionsKey)
	before := s.key.document
	if len(list) == 0 && s.key.entry.Key == "" {
		return keyWrite{}, false // nothing has begun a stream
	}
	if s.key.readable && slices.Equal(list, before.Versions) && complete == !before.Incomplete {
		return keyWrite{}, false
	}
	write.state, write.versions = "added", without(list, before.Versions)
	if len(write.versions) == 0 {
		write.state, write.versions = "removed", without(before.Versions, list)
	}
	value, err := json.Marshal(versionsDocument{Versions: slices.Concat([]string{}, list), Incomplete: !complete})
	if err != nil {
		return keyWrite{}, false // not possible for strings
	}
	entry := &s.key.entry
	write.op = store.Op{Kind: store.OpCAS, Key: s.key.name, Value: value, Version: entry.Version, Era: entry.Era}
	return write, true
}

// without returns the texts of list that are not in other.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(text string) bool { return slices.Contains(other, text) })
}
