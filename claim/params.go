package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/store"
)

// params is what all instances must agree on. Instances with different secrets
// would not see each other's claims, and one with a shorter retention would
// delete records that others still rely on.
type params struct {
	Check     string        `json:"check"` // keyed digest that shows the secret
	Retention time.Duration `json:"retention"`
}

// ErrParams means that the store was first used with another secret or
// retention.
var ErrParams = errors.New("claim: secret or retention differ from those in the store")

// paramsCheck compares the parameters with those in the store until they were
// found equal once.
type paramsCheck struct {
	turn   chan struct{} // holds one token: one check at a time
	passed atomic.Bool
}

func newParamsCheck() *paramsCheck {
	return &paramsCheck{turn: make(chan struct{}, 1)}
}

func (p *paramsCheck) check(ctx context.Context, c *Claimer) error {
	if p.passed.Load() {
		return nil
	}
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if p.passed.Load() {
		return nil
	}
	want := params{Check: c.digester.digest([]byte("parameters of claims")), Retention: c.config.Retention}
	found, err := loadParams(ctx, c.batcher.store)
	if errors.Is(err, store.ErrNotFound) {
		found, err = createParams(ctx, c.batcher.store, want)
	}
	if err != nil {
		return err
	}
	if found != want {
		return ErrParams
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
		return params{}, errors.Wrap(err, "decode parameters")
	}
	return p, nil
}

// createParams writes the parameters unless they exist, and reads them back.
func createParams(ctx context.Context, s store.Store, p params) (params, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return params{}, errors.Wrap(err, "encode parameters")
	}
	writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = s.Txn(writeCtx, []store.Op{{Kind: store.OpCAS, Key: paramsKey, Value: text}})
	if err != nil && !errors.Is(err, store.ErrConflict) && store.EffectOf(err) == store.DidNotHappen {
		return params{}, err
	}
	return loadParams(ctx, s)
}
