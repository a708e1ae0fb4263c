package config

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// Prefixes of the keys of configlog.Entries.
const (
	servicePrefix = "service/"
	callerPrefix  = "caller/"
)

func serviceKey(name string) string { return servicePrefix + name }

func callerKey(name string) string { return callerPrefix + name }

// Builder builds snapshots from states. It decodes an entry only if the value
// has changed since the last call of Build. It is not safe for concurrent use.
type Builder struct {
	decoded map[string]decodedEntry
}

// decodedEntry is a decoded service or caller with the value that it was decoded
// from.
type decodedEntry struct {
	value   []byte
	service *catalog.Service
	caller  *catalog.Caller
}

// Build returns the snapshot of a state. It skips entries with an unknown key
// prefix, so that older instances accept the configuration of a newer publisher.
func (b *Builder) Build(state *configlog.State) (*catalog.Snapshot, error) {
	next := make(map[string]decodedEntry, len(state.Entries))
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
				return nil, errors.Wrapf(err, "build snapshot of revision %d: decode entry %s", state.Revision, key)
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

// sameSlice reports whether a and b are the same non-empty slice of memory.
func sameSlice(a, b []byte) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func decodeEntry(key string, value []byte) (decodedEntry, error) {
	d := decodedEntry{value: value}
	var err error
	switch {
	case strings.HasPrefix(key, servicePrefix):
		err = json.Unmarshal(value, &d.service)
	case strings.HasPrefix(key, callerPrefix):
		err = json.Unmarshal(value, &d.caller)
	}
	return d, err
}
