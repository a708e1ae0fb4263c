package progress

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowAnswer guards against calls that are given up while their answer still
// comes, and against those that wait for one that has stopped.
func TestSlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, timer := WithTimeout(context.Background(), time.Second)
		defer timer.Stop()
		from, to := io.Pipe()
		body := timer.Reader(from)
		go func() {
			for range 10 {
				time.Sleep(900 * time.Millisecond)
				_, _ = to.Write([]byte("x"))
			}
		}()
		_, err := io.ReadFull(body, make([]byte, 10))
		c.Assert(err, qt.IsNil)
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(time.Second + time.Millisecond)
		c.Assert(context.Cause(ctx), qt.Equals, ErrStalled)
	})
}

// TestStopEndsTheContext guards against contexts that pile up at a parent which
// lives as long as the process.
func TestStopEndsTheContext(t *testing.T) {
	ctx, timer := WithTimeout(context.Background(), time.Hour)
	timer.Stop()
	qt.Assert(t, ctx.Err(), qt.Equals, context.Canceled)
}
