package dispatch

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// ackTimeout is how long an instance of another region may take to acknowledge
// a forwarded request. An unresponsive or unreachable instance would otherwise
// hold the request until its deadline.
const ackTimeout = 1500 * time.Millisecond

// ackTimer cancels a forwarded request that is not acknowledged in time. The
// other instance acknowledges with an interim (1xx) status as soon as it has
// read the request header.
type ackTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

func newAckTimer(cancel context.CancelFunc) *ackTimer {
	t := &ackTimer{}
	t.timer = time.AfterFunc(connectTimeout+ackTimeout, func() {
		t.expired.Store(true)
		cancel()
	})
	return t
}

// connectTimeout is the additional time to obtain a connection, before
// ackTimeout starts.
const connectTimeout = 2 * time.Second

func (t *ackTimer) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.timer.Reset(ackTimeout) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			t.stop()
			return nil
		},
		GotFirstResponseByte: t.stop,
	})
}

func (t *ackTimer) stop() { t.timer.Stop() }

// classify reports an expired timer as a failure of the other instance. The
// failure would otherwise look like a cancellation by the caller.
func (t *ackTimer) classify(failure *outcome.Error) *outcome.Error {
	if t.expired.Load() {
		failure.Code = outcome.CodeBackendFailed
		failure.Status = http.StatusBadGateway
		failure.Message = "the instance of the other region did not acknowledge the request"
	}
	return failure
}
