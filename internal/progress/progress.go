// Package progress bounds a call by the time in which nothing of its answer
// arrives, so that a large answer over a thin link is not given up, and asked for
// again, while it still comes.
package progress

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// ErrStalled is the cause of a context whose call made no progress.
var ErrStalled = errors.New("nothing of the answer arrived in time")

// Timer ends a context when a call makes no progress.
type Timer struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithTimeout returns a context that is canceled once nothing has been read from
// the Timer's readers for the given time. Stop must be called at the end.
func WithTimeout(ctx context.Context, limit time.Duration) (context.Context, *Timer) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Timer{limit: limit, timer: time.AfterFunc(limit, func() { cancel(ErrStalled) }), cancel: cancel}
}

// Stop ends the bound and the context.
func (t *Timer) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Reader returns r with its reads counted as progress.
func (t *Timer) Reader(r io.Reader) io.Reader { return &reader{r, t} }

type reader struct {
	io.Reader
	timer *Timer
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.timer.Reset(r.timer.limit)
	}
	return n, err
}
