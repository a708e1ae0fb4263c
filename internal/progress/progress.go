// Package progress cancels a call when no response data has arrived for a given
// time. Unlike a limit on the total duration, this does not abort and repeat a
// call whose large response is still arriving over a slow link.
package progress

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// ErrStalled is the cancellation cause of a context whose call made no progress.
var ErrStalled = errors.New("no response data arrived within the time limit")

// Timer cancels a context when a call makes no progress.
type Timer struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithTimeout returns a context that is canceled with the cause ErrStalled once
// no data has been read from the readers of the Timer for limit. The caller must
// call Stop when the call has ended.
func WithTimeout(ctx context.Context, limit time.Duration) (context.Context, *Timer) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Timer{limit: limit, timer: time.AfterFunc(limit, func() { cancel(ErrStalled) }), cancel: cancel}
}

// Stop stops the timer and cancels the context.
func (t *Timer) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Reader returns a reader of r that restarts the timer whenever it reads data.
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
