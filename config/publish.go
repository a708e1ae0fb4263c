package config

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// Keys of the configuration in the store.
const (
	Prefix        = "fuchsia/config/"
	headKey       = Prefix + "head"
	servicePrefix = Prefix + "service/"
	callerPrefix  = Prefix + "caller/"
)

// head is the value of headKey.
type head struct {
	Revision uint64 `json:"revision"`
}

// ErrRaced is returned when another operator published first.
var ErrRaced = errors.New("another revision was published meanwhile; read it and publish again")

// Publish writes a tree as the revision after base. Nothing is written if the
// revision in the store is not base.
func Publish(ctx context.Context, s store.Store, tree *Tree, base uint64) (uint64, error) {
	current, version, err := readHead(ctx, s)
	if err != nil {
		return 0, err
	}
	if current.Revision != base {
		return 0, errors.Wrapf(ErrRaced, "revision is %d, not %d", current.Revision, base)
	}
	next := head{Revision: base + 1}
	ops := []store.Op{{Kind: store.OpCAS, Key: headKey, Value: encode(next), Version: version}}
	for _, service := range tree.Services {
		ops = append(ops, store.Op{Kind: store.OpSet, Key: servicePrefix + service.Name, Value: encode(service)})
	}
	for _, caller := range tree.Callers {
		ops = append(ops, store.Op{Kind: store.OpSet, Key: callerPrefix + caller.Name, Value: encode(caller)})
	}
	if err := s.Txn(ctx, ops); err != nil {
		if errors.Is(err, store.ErrConflict) {
			return 0, errors.Wrap(ErrRaced, err.Error())
		}
		return 0, errors.Wrap(err, "publish")
	}
	return next.Revision, nil
}

// Revision returns the revision in the store, 0 before the first one.
func Revision(ctx context.Context, s store.Store) (uint64, error) {
	h, _, err := readHead(ctx, s)
	return h.Revision, err
}

func readHead(ctx context.Context, s store.Store) (head, uint64, error) {
	var h head
	entry, err := s.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, errors.Wrap(err, "read head")
	}
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return h, 0, errors.Wrap(err, "decode head")
	}
	return h, entry.Version, nil
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("config: value cannot be encoded: " + err.Error())
	}
	return text
}

// Load builds a snapshot from the entries below Prefix.
func Load(entries []store.Entry) (*catalog.Snapshot, error) {
	snapshot := &catalog.Snapshot{
		Services: make(map[string]*catalog.Service),
		Callers:  make(map[string]*catalog.Caller),
	}
	for _, e := range entries {
		if err := loadEntry(snapshot, e); err != nil {
			return nil, errors.Wrapf(err, "decode %s", e.Key)
		}
	}
	return snapshot, nil
}

func loadEntry(snapshot *catalog.Snapshot, e store.Entry) error {
	switch {
	case e.Key == headKey:
		var h head
		if err := json.Unmarshal(e.Value, &h); err != nil {
			return err
		}
		snapshot.Revision = h.Revision
	case strings.HasPrefix(e.Key, servicePrefix):
		var service catalog.Service
		if err := json.Unmarshal(e.Value, &service); err != nil {
			return err
		}
		snapshot.Services[service.Name] = &service
	case strings.HasPrefix(e.Key, callerPrefix):
		var caller catalog.Caller
		if err := json.Unmarshal(e.Value, &caller); err != nil {
			return err
		}
		snapshot.Callers[caller.KeyDigest] = &caller
	}
	return nil
}
