package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Keys of the store.
const (
	prefix      = "fuchsia/config/"
	HeadKey     = prefix + "head"
	deltaPrefix = prefix + "delta/"
	partPrefix  = prefix + "part/"
)

const (
	maxInlineBytes = 256 << 10 // larger deltas are stored in parts
	// The head is read at every change by every watch, so the snapshot never
	// lies in it.
	neverInline = 0
	partBytes   = 256 << 10 // below the store's limit of 1 MB
	maxParts    = 64
	// snapshotEvery is the number of revisions between two snapshots. It bounds
	// the deltas that a reader without any state reads.
	snapshotEvery = 64
	// keepDeltas is how many deltas stay behind the newest snapshot, for
	// readers that are a little behind.
	keepDeltas = 64
)

// Head is the newest revision. Writing it publishes.
type Head struct {
	Revision uint64 `json:"revision"`
	Digest   Digest `json:"digest"`
	Attempt  string `json:"attempt"` // id of the publish that wrote it
	Snapshot blob   `json:"snapshot"`
	Based    uint64 `json:"based"` // revision of the snapshot
}

// blob refers to a value that is inline or in parts.
type blob struct {
	ID     string `json:"id,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	Inline []byte `json:"inline,omitempty"`
}

// Errors of Log.Publish.
var (
	// ErrRaced means that another operator published first. Nothing was written.
	ErrRaced = errors.New("another revision was published meanwhile: read it and publish again")
	// ErrUnknown means that the store lost the answer and cannot be asked now.
	ErrUnknown = errors.New("the store lost the answer: the revision may have been published")
	// ErrDamaged means that the store holds no readable configuration.
	ErrDamaged = errors.New("the configuration in the store cannot be read")
)

// Log reads and writes revisions.
type Log struct{ Store store.Store }

// Head returns the newest revision and the version of its key. Before the
// first publish both are zero.
func (l *Log) Head(ctx context.Context) (Head, uint64, error) {
	entry, err := l.Store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(entry.Value)
	return h, entry.Version, err
}

// DecodeHead reads the value of HeadKey.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrapf(ErrDamaged, "head: %v", err)
	}
	return h, nil
}

// Read returns the newest state.
func (l *Log) Read(ctx context.Context) (*State, error) {
	head, _, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	state, _, err := l.ReadTo(ctx, nil, head)
	return state, err
}

// ReadTo returns the state at head, and the deltas read last that lead to it.
// It starts from known, which may be nil, and reads only what is newer.
func (l *Log) ReadTo(ctx context.Context, known *State, head Head) (*State, []Delta, error) {
	if known == nil || known.Revision < head.Based {
		base, err := l.readSnapshot(ctx, head)
		if err != nil {
			return nil, nil, err
		}
		known = base
	}
	var deltas []Delta
	for known.Revision < head.Revision {
		delta, err := l.readDelta(ctx, known.Revision+1)
		if err != nil {
			return nil, nil, err
		}
		if known, err = known.Apply(delta); err != nil {
			return nil, nil, err
		}
		deltas = append(deltas, delta)
	}
	return known, deltas, nil
}

func (l *Log) readSnapshot(ctx context.Context, head Head) (*State, error) {
	if head.Based == 0 {
		return Empty(), nil
	}
	var s State
	if err := l.readBlob(ctx, head.Snapshot, &s); err != nil {
		return nil, errors.Wrapf(err, "snapshot %d", head.Based)
	}
	return &s, s.Verify()
}

func (l *Log) readDelta(ctx context.Context, revision uint64) (Delta, error) {
	var d Delta
	entry, err := l.Store.Get(ctx, deltaKey(revision))
	if err != nil {
		return d, errors.Wrapf(err, "delta %d", revision)
	}
	var b blob
	if err := json.Unmarshal(entry.Value, &b); err != nil {
		return d, errors.Wrapf(ErrDamaged, "delta %d: %v", revision, err)
	}
	return d, wrapIf(l.readBlob(ctx, b, &d), "delta %d", revision)
}

func (l *Log) readBlob(ctx context.Context, b blob, into any) error {
	text := b.Inline
	for i := range min(b.Parts, maxParts) {
		entry, err := l.Store.Get(ctx, partKey(b.ID, i))
		if err != nil {
			return err
		}
		text = append(text, entry.Value...)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	return nil
}

// Publish writes delta as the revision after base, and returns the state that
// is then published. It never writes twice: a lost answer is settled by
// reading back the attempt id.
func (l *Log) Publish(ctx context.Context, base *State, delta Delta) (*State, error) {
	next, err := base.Apply(delta)
	if err != nil {
		return nil, err
	}
	head, version, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Revision != base.Revision {
		return nil, errors.Wrapf(ErrRaced, "revision is %d, not %d", head.Revision, base.Revision)
	}
	attempt := uuid.NewString()
	ops, err := l.publishOps(ctx, head, version, next, delta, attempt)
	if err != nil {
		return nil, err
	}
	if err := l.Store.Txn(ctx, ops); err != nil {
		return l.settle(ctx, err, next, attempt)
	}
	return next, nil
}

// publishOps returns the transaction that publishes. Large values are written
// in parts first; they are not visible until the head refers to them.
func (l *Log) publishOps(ctx context.Context, head Head, version uint64, next *State, delta Delta, attempt string) ([]store.Op, error) {
	deltaBlob, err := l.writeBlob(ctx, attempt+"-delta", delta, maxInlineBytes)
	if err != nil {
		return nil, err
	}
	newHead := Head{Revision: next.Revision, Digest: next.Digest, Attempt: attempt, Snapshot: head.Snapshot, Based: head.Based}
	var cleanup []store.Op
	if next.Revision-head.Based >= snapshotEvery {
		if newHead.Snapshot, err = l.writeBlob(ctx, attempt+"-snapshot", next, neverInline); err != nil {
			return nil, err
		}
		newHead.Based = next.Revision
		cleanup = dropParts(head.Snapshot)
	}
	ops := []store.Op{
		{Kind: store.OpCAS, Key: HeadKey, Value: encode(newHead), Version: version},
		{Kind: store.OpSet, Key: deltaKey(next.Revision), Value: encode(deltaBlob)},
	}
	if next.Revision > snapshotEvery+keepDeltas {
		ops = append(ops, store.Op{Kind: store.OpDelete, Key: deltaKey(next.Revision - snapshotEvery - keepDeltas)})
	}
	room := store.MaxOps - len(ops)
	return append(ops, cleanup[:min(len(cleanup), room)]...), nil
}

// settle finds out whether a publish with a lost answer took effect.
func (l *Log) settle(ctx context.Context, cause error, next *State, attempt string) (*State, error) {
	if errors.Is(cause, store.ErrConflict) {
		return nil, errors.Wrap(ErrRaced, cause.Error())
	}
	if store.EffectOf(cause) == store.DidNotHappen {
		return nil, cause
	}
	head, _, err := l.Head(ctx)
	switch {
	case err != nil:
		return nil, errors.Wrapf(ErrUnknown, "revision %d, attempt %s: %v", next.Revision, attempt, cause)
	case head.Attempt == attempt:
		return next, nil
	case head.Revision < next.Revision:
		// A write that is still under way could land later.
		return nil, errors.Wrapf(ErrUnknown, "revision %d, attempt %s: %v", next.Revision, attempt, cause)
	}
	return l.settleOvertaken(ctx, cause, next)
}

// settleOvertaken decides by the delta: it is the one of this publish exactly
// if it leads to the same state.
func (l *Log) settleOvertaken(ctx context.Context, cause error, next *State) (*State, error) {
	delta, err := l.readDelta(ctx, next.Revision)
	if err != nil {
		return nil, errors.Wrapf(ErrUnknown, "revision %d: %v", next.Revision, cause)
	}
	if delta.Digest != next.Digest {
		return nil, errors.Wrapf(ErrRaced, "revision %d", next.Revision)
	}
	return next, nil
}

func (l *Log) writeBlob(ctx context.Context, id string, v any, maxInline int) (blob, error) {
	text := encode(v)
	if len(text) <= maxInline {
		return blob{Inline: text}, nil
	}
	parts := (len(text) + partBytes - 1) / partBytes
	if parts > maxParts {
		return blob{}, errors.Errorf("configuration has %d bytes, at most %d", len(text), maxParts*partBytes)
	}
	for i := range parts {
		part := text[i*partBytes : min((i+1)*partBytes, len(text))]
		op := store.Op{Kind: store.OpSet, Key: partKey(id, i), Value: part}
		if err := l.Store.Txn(ctx, []store.Op{op}); err != nil {
			return blob{}, errors.Wrap(err, "write part")
		}
	}
	return blob{ID: id, Parts: parts}, nil
}

func dropParts(b blob) []store.Op {
	ops := make([]store.Op, b.Parts)
	for i := range ops {
		ops[i] = store.Op{Kind: store.OpDelete, Key: partKey(b.ID, i)}
	}
	return ops
}

func deltaKey(revision uint64) string { return deltaPrefix + strconv.FormatUint(revision, 10) }

func partKey(id string, i int) string { return fmt.Sprintf("%s%s/%d", partPrefix, id, i) }

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("configlog: value cannot be encoded: " + err.Error())
	}
	return text
}

// wrapIf names what failed. A nil err stays nil.
func wrapIf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}
