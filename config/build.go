package config

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// Prefixes of the keys of entries.
const (
	servicePrefix = "service/"
	callerPrefix  = "caller/"
)

func serviceKey(name string) string { return servicePrefix + name }

func callerKey(name string) string { return callerPrefix + name }

// Builder turns states into snapshots. It decodes an entry again only when it
// has changed. It is not safe for concurrent use.
type Builder struct {
	decoded map[string]decoded
}

// decoded is an entry with the value that it was decoded from.
type decoded struct {
	value   []byte
	service *catalog.Service
	caller  *catalog.Caller
}

// Build returns the snapshot of a state. Entries of unknown kinds are kept
// out, so that a newer publisher does not stop an older instance.
func (b *Builder) Build(state *configlog.State) (*catalog.Snapshot, error) {
	next := make(map[string]decoded, len(state.Entries))
	snapshot := &catalog.Snapshot{
		Revision: state.Revision,
		Services: make(map[string]*catalog.Service),
		Callers:  make(map[string]*catalog.Caller, len(state.Entries)),
	}
	for key, value := range state.Entries {
		d, ok := b.decoded[key]
		if !ok || !sameSlice(d.value, value) {
			var err error
			if d, err = decodeEntry(key, value); err != nil {
				return nil, errors.Wrapf(err, "revision %d: decode %s", state.Revision, key)
			}
		}
		next[key] = d
		if d.service != nil {
			snapshot.Services[d.service.Name] = d.service
		}
		if d.caller != nil {
			snapshot.Callers[d.caller.KeyDigest] = d.caller
		}
	}
	b.decoded = next
	return snapshot, nil
}

// sameSlice reports whether a and b are the same bytes in memory.
func sameSlice(a, b []byte) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func decodeEntry(key string, value []byte) (decoded, error) {
	d := decoded{value: value}
	var err error
	switch {
	case strings.HasPrefix(key, servicePrefix):
		err = json.Unmarshal(value, &d.service)
	case strings.HasPrefix(key, callerPrefix):
		err = json.Unmarshal(value, &d.caller)
	}
	return d, err
}
