package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Bounds of the clean-up.
const (
	cleanInterval   = time.Minute           // between two looks of an instance, with jitter
	cleanTurn       = 2 * time.Minute       // how long one instance cleans before others may
	cleanPause      = 50 * time.Millisecond // between two transactions
	deleteMargin    = 2*MaxClockSkew + cleanTurn
	maxBucketsATurn = 1000
)

// cleanMark is the progress of the clean-up. Only one instance should clean at
// a time to save calls; two at once do no harm, since deleting a record that
// nobody can use is harmless when repeated.
type cleanMark struct {
	Next  time.Time `json:"next"`  // first bucket that is not cleaned
	Until time.Time `json:"until"` // end of the turn of the instance that cleans
}

// Clean deletes records whose keys are refused by age, until ctx ends.
func (c *Claimer) Clean(ctx context.Context) {
	for {
		jitter := time.Duration(rand.Int64N(int64(cleanInterval)))
		select {
		case <-time.After(cleanInterval/2 + jitter):
		case <-ctx.Done():
			return
		}
		_ = c.CleanOnce(ctx)
	}
}

// CleanOnce cleans for one turn, unless another instance has the turn.
func (c *Claimer) CleanOnce(ctx context.Context) error {
	if err := c.params.check(ctx, c); err != nil {
		return err
	}
	now := time.Now()
	mark, version, err := c.loadMark(ctx, now)
	if err != nil || now.Before(mark.Until) {
		return err
	}
	limit := now.Add(-c.config.Retention - deleteMargin).Truncate(bucketSize)
	if !mark.Next.Before(limit) {
		return nil
	}
	mark.Until = now.Add(cleanTurn)
	if err := c.saveMark(ctx, mark, version); err != nil {
		return err
	}
	for range maxBucketsATurn {
		if !mark.Next.Before(limit) || time.Since(now) > cleanTurn/2 {
			break
		}
		if err := c.cleanBucket(ctx, mark.Next); err != nil {
			return err
		}
		mark.Next = mark.Next.Add(bucketSize)
	}
	mark.Until = time.Time{}
	_, version, err = c.loadMark(ctx, now)
	if err != nil {
		return err
	}
	return c.saveMark(ctx, mark, version)
}

// loadMark reads the progress. Without one nothing has ever been deleted, and
// the oldest record that can exist has the age of the retention.
func (c *Claimer) loadMark(ctx context.Context, now time.Time) (cleanMark, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.reads.Add(1)
	entry, err := c.batcher.store.Get(ctx, cleanKey)
	if errors.Is(err, store.ErrNotFound) {
		return cleanMark{Next: now.Add(-c.config.Retention - deleteMargin).Truncate(bucketSize).Add(-bucketSize)}, 0, nil
	}
	if err != nil {
		return cleanMark{}, 0, err
	}
	var mark cleanMark
	if err := json.Unmarshal(entry.Value, &mark); err != nil {
		return cleanMark{}, 0, errors.Wrap(err, "claim: decode progress of the clean-up")
	}
	return mark, entry.Version, nil
}

func (c *Claimer) saveMark(ctx context.Context, mark cleanMark, version uint64) error {
	text, err := json.Marshal(mark)
	if err != nil {
		return errors.Wrap(err, "claim: encode progress of the clean-up")
	}
	return c.txn(ctx, []store.Op{{Kind: store.OpCAS, Key: cleanKey, Value: text, Version: version}})
}

// cleanBucket deletes the records of one minute.
func (c *Claimer) cleanBucket(ctx context.Context, minute time.Time) error {
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.reads.Add(1)
	entries, _, err := c.batcher.store.List(listCtx, bucketOf(minute))
	if err != nil {
		return err
	}
	for len(entries) > 0 {
		n := min(len(entries), store.MaxOps)
		ops := make([]store.Op, n)
		for i, entry := range entries[:n] {
			ops[i] = store.Op{Kind: store.OpDelete, Key: entry.Key}
		}
		if err := c.txn(ctx, ops); err != nil {
			return err
		}
		c.deleted.Add(uint64(n))
		entries = entries[n:]
		time.Sleep(cleanPause)
	}
	return nil
}

func (c *Claimer) txn(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.txns.Add(1)
	return c.batcher.store.Txn(ctx, ops)
}
