package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// Limits of the cleanup.
const (
	meanCleanInterval = time.Minute           // between two cleanup runs of one instance
	cleanLockTTL      = 2 * time.Minute       // time after which another instance may take over the cleanup
	deletePause       = 50 * time.Millisecond // between two transactions that delete records
	deleteMargin      = 2*MaxClockSkew + cleanLockTTL
	maxBucketsPerRun  = 1000
)

// cleanProgress is the progress of the cleanup, stored under cleanProgressKey. It
// also serves as a lock, so that only one instance cleans at a time and calls of
// the store are saved. Two instances that clean at once do no harm: the keys of
// the deleted records are too old to be accepted, and a deletion can be repeated.
type cleanProgress struct {
	NextBucket  time.Time `json:"next"`  // first bucket that is not yet cleaned
	LockedUntil time.Time `json:"until"` // until then only the instance that set it cleans; zero if unlocked
}

// Clean calls CleanOnce about once a minute, at random intervals, until ctx ends.
// After an error the next run continues from the stored progress.
func (c *Claimer) Clean(ctx context.Context) {
	for {
		jitter := time.Duration(rand.Int64N(int64(meanCleanInterval)))
		select {
		case <-time.After(meanCleanInterval/2 + jitter):
		case <-ctx.Done():
			return
		}
		_ = c.CleanOnce(ctx)
	}
}

// CleanOnce deletes records whose keys are too old to be accepted. It does
// nothing while another instance holds the cleanup lock, and stops early to
// finish before its own lock expires.
func (c *Claimer) CleanOnce(ctx context.Context) error {
	if err := c.params.check(ctx, c); err != nil {
		return err
	}
	now := time.Now()
	progress, version, err := c.loadProgress(ctx, now)
	if err != nil || now.Before(progress.LockedUntil) {
		return err
	}
	cutoff := now.Add(-c.config.Retention - deleteMargin).Truncate(bucketSize)
	if !progress.NextBucket.Before(cutoff) {
		return nil
	}
	progress.LockedUntil = now.Add(cleanLockTTL)
	if err := c.saveProgress(ctx, progress, version); err != nil {
		return err
	}
	for range maxBucketsPerRun {
		if !progress.NextBucket.Before(cutoff) || time.Since(now) > cleanLockTTL/2 {
			break
		}
		if err := c.cleanBucket(ctx, progress.NextBucket); err != nil {
			return err
		}
		progress.NextBucket = progress.NextBucket.Add(bucketSize)
	}
	progress.LockedUntil = time.Time{}
	_, version, err = c.loadProgress(ctx, now)
	if err != nil {
		return err
	}
	return c.saveProgress(ctx, progress, version)
}

// loadProgress returns the stored progress and its version. If none is stored,
// this is the first cleanup, and nothing has been deleted. Since older keys are
// rejected, no record is expected to be older than the retention period yet, and
// cleaning starts with the newest bucket that is old enough to be deleted.
func (c *Claimer) loadProgress(ctx context.Context, now time.Time) (cleanProgress, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.reads.Add(1)
	entry, err := c.batcher.store.Get(ctx, cleanProgressKey)
	if errors.Is(err, store.ErrNotFound) {
		return cleanProgress{NextBucket: now.Add(-c.config.Retention - deleteMargin).Truncate(bucketSize).Add(-bucketSize)}, 0, nil
	}
	if err != nil {
		return cleanProgress{}, 0, err
	}
	var progress cleanProgress
	if err := json.Unmarshal(entry.Value, &progress); err != nil {
		return cleanProgress{}, 0, errors.Wrapf(err, "claim: decode cleanup progress at key %s", cleanProgressKey)
	}
	return progress, entry.Version, nil
}

func (c *Claimer) saveProgress(ctx context.Context, progress cleanProgress, version uint64) error {
	data, err := json.Marshal(progress)
	if err != nil {
		return errors.Wrap(err, "claim: encode cleanup progress")
	}
	return c.txn(ctx, []store.Op{{Kind: store.OpCAS, Key: cleanProgressKey, Value: data, Version: version}})
}

// cleanBucket deletes the records of all keys dated in the given minute.
func (c *Claimer) cleanBucket(ctx context.Context, minute time.Time) error {
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.reads.Add(1)
	entries, _, err := c.batcher.store.List(listCtx, bucketPrefix(minute))
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
		time.Sleep(deletePause)
	}
	return nil
}

func (c *Claimer) txn(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.batcher.txns.Add(1)
	return c.batcher.store.Txn(ctx, ops)
}
