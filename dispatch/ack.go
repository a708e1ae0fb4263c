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
// a forwarded request. A frozen or cut-off instance would otherwise hold the
// request until its deadline.
const ackTimeout = 1500 * time.Millisecond

// ackTimer gives a forwarded request up that is not acknowledged: the other
// instance answers with an interim status as soon as it has read the header.
type ackTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

func newAckTimer(cancel context.CancelFunc) *ackTimer {
	t := &ackTimer{}
	t.timer = time.AfterFunc(dialAllowance+ackTimeout, func() {
		t.expired.Store(true)
		cancel()
	})
	return t
}

// dialAllowance is the time for a connection to be made before the request is
// sent.
const dialAllowance = 2 * time.Second

func (t *ackTimer) attach(ctx context.Context) context.Context {
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

// explain tells an expired timer from a request that its caller gave up.
func (t *ackTimer) explain(failure *outcome.Error) *outcome.Error {
	if t.expired.Load() {
		failure.Code = outcome.CodeBackendFailed
		failure.Status = http.StatusBadGateway
		failure.Message = "the instance of the other region did not acknowledge the request"
	}
	return failure
}
