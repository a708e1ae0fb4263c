package progress

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowResponse guards against calls that are canceled while their response is
// still arriving, and against calls that wait for a response that has stalled.
func TestSlowResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, timer := WithTimeout(context.Background(), time.Second)
		defer timer.Stop()
		reader, writer := io.Pipe()
		body := timer.Reader(reader)
		go func() {
			for range 10 {
				time.Sleep(900 * time.Millisecond)
				_, _ = writer.Write([]byte("x"))
			}
		}()
		_, err := io.ReadFull(body, make([]byte, 10))
		c.Assert(err, qt.IsNil)
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(time.Second + time.Millisecond)
		c.Assert(context.Cause(ctx), qt.Equals, ErrStalled)
	})
}

// TestStopCancelsContext guards against contexts that accumulate as children of
// a parent context that lives as long as the process.
func TestStopCancelsContext(t *testing.T) {
	ctx, timer := WithTimeout(context.Background(), time.Hour)
	timer.Stop()
	qt.Assert(t, ctx.Err(), qt.Equals, context.Canceled)
}
