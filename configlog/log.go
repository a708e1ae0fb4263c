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

// Keys in the store.
const (
	prefix      = "fuchsia/config/"
	HeadKey     = prefix + "head"
	deltaPrefix = prefix + "delta/"
	partPrefix  = prefix + "part/"
)

const (
	maxInlineDeltaBytes = 256 << 10 // larger deltas are stored in parts
	// Every watcher reads the head at each revision, so snapshots are never stored
	// inline in it.
	maxInlineSnapshotBytes = 0
	partBytes              = 256 << 10 // below the store's limit of 1 MB per value
	maxParts               = 64
	// snapshotInterval is the number of revisions between two snapshots. It
	// bounds the number of deltas that a reader without a state has to read.
	snapshotInterval = 64
	// retainedDeltas is the number of deltas kept from before the newest
	// snapshot, for readers that are slightly behind.
	retainedDeltas = 64
)

// Head refers to the newest revision. Writing the head publishes the revision.
type Head struct {
	Revision         uint64 `json:"revision"`
	Digest           Digest `json:"digest"`
	Attempt          string `json:"attempt"` // ID of the call of Log.Publish that wrote the head
	Snapshot         blob   `json:"snapshot"`
	SnapshotRevision uint64 `json:"based"` // revision of the snapshot
}

// blob holds a value inline, or refers to the parts that hold it.
type blob struct {
	ID     string `json:"id,omitempty"`
	Parts  int    `json:"parts,omitempty"`
	Inline []byte `json:"inline,omitempty"`
}

// Errors of Log.Publish.
var (
	// ErrConflict means that another operator published first. Nothing was
	// published by this call.
	ErrConflict = errors.New("another revision was published meanwhile: read it and publish again")
	// ErrOutcomeUnknown means that the response to the write was lost, and that
	// the store does not show whether the write took or will take effect.
	ErrOutcomeUnknown = errors.New("response of the store lost: the revision may have been published")
	// ErrCorrupt means that a value in the store cannot be decoded.
	ErrCorrupt = errors.New("corrupt configuration in the store")
)

// Log reads revisions from the store and publishes them.
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

// DecodeHead decodes the value of HeadKey. It fails with ErrCorrupt.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrapf(ErrCorrupt, "decode head: %v", err)
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

// ReadTo returns the state at head, and the deltas that were read to reach it.
// It reads only the deltas after state. If state is nil or older than the
// snapshot of head, it starts from that snapshot.
func (l *Log) ReadTo(ctx context.Context, state *State, head Head) (*State, []Delta, error) {
	if state == nil || state.Revision < head.SnapshotRevision {
		snapshot, err := l.readSnapshot(ctx, head)
		if err != nil {
			return nil, nil, err
		}
		state = snapshot
	}
	var deltas []Delta
	for state.Revision < head.Revision {
		delta, err := l.readDelta(ctx, state.Revision+1)
		if err != nil {
			return nil, nil, err
		}
		if state, err = state.Apply(delta); err != nil {
			return nil, nil, err
		}
		deltas = append(deltas, delta)
	}
	return state, deltas, nil
}

func (l *Log) readSnapshot(ctx context.Context, head Head) (*State, error) {
	if head.SnapshotRevision == 0 {
		return Empty(), nil
	}
	var s State
	if err := l.readBlob(ctx, head.Snapshot, &s); err != nil {
		return nil, errors.Wrapf(err, "read snapshot of revision %d", head.SnapshotRevision)
	}
	return &s, s.Verify()
}

func (l *Log) readDelta(ctx context.Context, revision uint64) (Delta, error) {
	var d Delta
	entry, err := l.Store.Get(ctx, deltaKey(revision))
	if err != nil {
		return d, errors.Wrapf(err, "read delta of revision %d", revision)
	}
	var b blob
	if err := json.Unmarshal(entry.Value, &b); err != nil {
		return d, errors.Wrapf(ErrCorrupt, "decode delta of revision %d: %v", revision, err)
	}
	return d, wrapIf(l.readBlob(ctx, b, &d), "read delta of revision %d", revision)
}

func (l *Log) readBlob(ctx context.Context, b blob, target any) error {
	text := b.Inline
	for i := range min(b.Parts, maxParts) {
		entry, err := l.Store.Get(ctx, partKey(b.ID, i))
		if err != nil {
			return err
		}
		text = append(text, entry.Value...)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	return nil
}

// Publish writes delta as the revision after base and returns the published
// state. It never repeats the write: if the response of the store is lost, it
// reads the head and compares the attempt ID.
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
		return nil, errors.Wrapf(ErrConflict, "publish: newest revision is %d, delta is based on %d", head.Revision, base.Revision)
	}
	attempt := uuid.NewString()
	ops, err := l.publishOps(ctx, head, version, next, delta, attempt)
	if err != nil {
		return nil, err
	}
	if err := l.Store.Txn(ctx, ops); err != nil {
		return l.resolveOutcome(ctx, err, next, attempt)
	}
	return next, nil
}

// publishOps returns the operations of the transaction that publishes next. It
// writes the parts of large values beforehand; readers do not see them until
// the transaction writes the references to them.
func (l *Log) publishOps(ctx context.Context, head Head, version uint64, next *State, delta Delta, attempt string) ([]store.Op, error) {
	deltaBlob, err := l.writeBlob(ctx, attempt+"-delta", delta, maxInlineDeltaBytes)
	if err != nil {
		return nil, err
	}
	newHead := Head{Revision: next.Revision, Digest: next.Digest, Attempt: attempt, Snapshot: head.Snapshot, SnapshotRevision: head.SnapshotRevision}
	var cleanup []store.Op
	if next.Revision-head.SnapshotRevision >= snapshotInterval {
		if newHead.Snapshot, err = l.writeBlob(ctx, attempt+"-snapshot", next, maxInlineSnapshotBytes); err != nil {
			return nil, err
		}
		newHead.SnapshotRevision = next.Revision
		cleanup = deleteParts(head.Snapshot)
	}
	ops := []store.Op{
		{Kind: store.OpCAS, Key: HeadKey, Value: encode(newHead), Version: version},
		{Kind: store.OpSet, Key: deltaKey(next.Revision), Value: encode(deltaBlob)},
	}
	if next.Revision > snapshotInterval+retainedDeltas {
		ops = append(ops, store.Op{Kind: store.OpDelete, Key: deltaKey(next.Revision - snapshotInterval - retainedDeltas)})
	}
	freeOps := store.MaxOps - len(ops)
	return append(ops, cleanup[:min(len(cleanup), freeOps)]...), nil
}

// resolveOutcome determines after a failed transaction whether it published next.
func (l *Log) resolveOutcome(ctx context.Context, cause error, next *State, attempt string) (*State, error) {
	if errors.Is(cause, store.ErrConflict) {
		return nil, errors.Wrap(ErrConflict, cause.Error())
	}
	if store.EffectOf(cause) == store.NotApplied {
		return nil, cause
	}
	head, _, err := l.Head(ctx)
	switch {
	case err != nil:
		return nil, errors.Wrapf(ErrOutcomeUnknown, "publish revision %d, attempt %s: %v", next.Revision, attempt, cause)
	case head.Attempt == attempt:
		return next, nil
	case head.Revision < next.Revision:
		// The write may still be in flight and take effect later.
		return nil, errors.Wrapf(ErrOutcomeUnknown, "publish revision %d, attempt %s: %v", next.Revision, attempt, cause)
	}
	return l.resolveSuperseded(ctx, cause, next)
}

// resolveSuperseded handles a head that is at next.Revision or beyond but was
// written by another attempt. The publish took effect if and only if the stored
// delta of that revision leads to the same state.
func (l *Log) resolveSuperseded(ctx context.Context, cause error, next *State) (*State, error) {
	delta, err := l.readDelta(ctx, next.Revision)
	if err != nil {
		return nil, errors.Wrapf(ErrOutcomeUnknown, "publish revision %d: %v", next.Revision, cause)
	}
	if delta.Digest != next.Digest {
		return nil, errors.Wrapf(ErrConflict, "publish revision %d", next.Revision)
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
		return blob{}, errors.Errorf("write %s: value has %d bytes, limit is %d", id, len(text), maxParts*partBytes)
	}
	for i := range parts {
		part := text[i*partBytes : min((i+1)*partBytes, len(text))]
		op := store.Op{Kind: store.OpSet, Key: partKey(id, i), Value: part}
		if err := l.Store.Txn(ctx, []store.Op{op}); err != nil {
			return blob{}, errors.Wrapf(err, "write %s", op.Key)
		}
	}
	return blob{ID: id, Parts: parts}, nil
}

func deleteParts(b blob) []store.Op {
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
		panic("configlog: encode value: " + err.Error())
	}
	return text
}

// wrapIf wraps err with a message. It returns nil if err is nil.
func wrapIf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}
