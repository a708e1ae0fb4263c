package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// params are the parameters that must be the same on all instances that share a
// store. Instances with different secrets would not see each other's claims, and
// an instance with a shorter retention period would delete records that others
// still need.
type params struct {
	SecretDigest string        `json:"check"` // digest of a fixed text; differs if the secret differs
	Retention    time.Duration `json:"retention"`
}

// ErrParamsMismatch means that the store was first used with another secret or
// retention.
var ErrParamsMismatch = errors.New("claim: secret or retention differ from the parameters in the store")

// paramsCheck compares the parameters of this instance with those in the store
// until they have matched once.
type paramsCheck struct {
	sem    chan struct{} // semaphore of capacity 1: one check at a time
	passed atomic.Bool
}

func newParamsCheck() *paramsCheck {
	return &paramsCheck{sem: make(chan struct{}, 1)}
}

// check returns ErrParamsMismatch if the parameters of c differ from those in the
// store. If the store has none, it writes those of c.
func (p *paramsCheck) check(ctx context.Context, c *Claimer) error {
	if p.passed.Load() {
		return nil
	}
	select {
	case p.sem <- struct{}{}:
		defer func() { <-p.sem }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.passed.Load() {
		return nil
	}
	want := params{SecretDigest: c.digester.digest([]byte("parameters of claims")), Retention: c.config.Retention}
	stored, err := loadParams(ctx, c.batcher.store)
	if errors.Is(err, store.ErrNotFound) {
		stored, err = createParams(ctx, c.batcher.store, want)
	}
	if err != nil {
		return err
	}
	if stored != want {
		return ErrParamsMismatch
	}
	p.passed.Store(true)
	return nil
}

func loadParams(ctx context.Context, s store.Store) (params, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.Get(ctx, paramsKey)
	if err != nil {
		return params{}, err
	}
	var p params
	if err := json.Unmarshal(entry.Value, &p); err != nil {
		return params{}, errors.Wrapf(err, "claim: decode parameters at key %s", paramsKey)
	}
	return p, nil
}

// createParams writes p unless the store has parameters, and returns those in
// the store afterwards: another instance may have written them first, and the
// response to the write may be lost.
func createParams(ctx context.Context, s store.Store, p params) (params, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return params{}, errors.Wrap(err, "claim: encode parameters")
	}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = s.Txn(writeCtx, []store.Op{{Kind: store.OpCAS, Key: paramsKey, Value: data}})
	if err != nil && !errors.Is(err, store.ErrConflict) && store.EffectOf(err) == store.NotApplied {
		return params{}, err
	}
	return loadParams(ctx, s)
}
