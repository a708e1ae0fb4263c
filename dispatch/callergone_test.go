package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/retry"
)

// endlessStreams simulates backend servers that send an event each 100 ms until the
// request is canceled.
type endlessStreams struct{ attempts int }

// RoundTrip implements http.RoundTripper.
func (s *endlessStreams) RoundTrip(req *http.Request) (*http.Response, error) {
	s.attempts++
	r, w := io.Pipe()
	go func() {
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n); err != nil {
				return
			}
			select {
			case <-req.Context().Done():
				w.CloseWithError(req.Context().Err())
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: r, ContentLength: -1, Close: true}, nil
}

// goneCaller fails to receive anything after some events.
type goneCaller struct {
	http.ResponseWriter
	left int
}

// Write implements http.ResponseWriter.
func (w *goneCaller) Write(p []byte) (int, error) {
	if w.left--; w.left < 0 {
		return 0, errors.New("write: broken pipe")
	}
	return w.ResponseWriter.Write(p)
}

// lossRecorder records what a stream that was cut is put down to.
type lossRecorder struct {
	nopObserver
	lost     int
	verdicts []retry.Verdict
}

func (r *lossRecorder) AnswerLost(*filters.Exchange, string, bool, time.Duration) { r.lost++ }

func (r *lossRecorder) RetryDecided(_ *filters.Exchange, _ int, v retry.Verdict) {
	r.verdicts = append(r.verdicts, v)
}

// TestStreamCutByItsCallerIsNoFailure guards against streams whose callers have left, or
// whose deadline has passed, that count as failures of their servers, take retries from the
// budget and cannot be told from streams that servers have cut.
func TestStreamCutByItsCallerIsNoFailure(t *testing.T) {
	const streams = 30 // more than the retry budget holds and earns meanwhile
	for name, test := range map[string]struct {
		cut  func(x *filters.Exchange)
		code outcome.Code
	}{
		"caller closes its connection": {func(x *filters.Exchange) {
			ctx, cancel := context.WithCancel(x.Request.Context())
			time.AfterFunc(450*time.Millisecond, cancel)
			x.Request = x.Request.WithContext(ctx)
		}, outcome.CodeCanceled},
		"caller receives nothing more": {func(x *filters.Exchange) {
			x.Writer = &goneCaller{httptest.NewRecorder(), 5}
		}, outcome.CodeCanceled},
		"deadline passes": {func(x *filters.Exchange) {
			x.Deadline = time.Now().Add(450 * time.Millisecond)
		}, outcome.CodeDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, 3, func(c *qt.C, _ *fakeEngines, all []*testInstance) {
				servers, recorder := &endlessStreams{}, &lossRecorder{}
				all[0].Transport, all[0].Observer, all[0].Passthrough = servers, recorder, true
				for range streams {
					_, err := all[0].send("x", func(x *filters.Exchange) {
						x.Stream, x.Service = true, streamService
						test.cut(x)
					})
					c.Assert(err, qt.IsNotNil)
					c.Check(err.Code, qt.Equals, test.code)
					c.Check(err.Outcome, qt.Equals, outcome.MayHaveRun)
				}
				c.Check(servers.attempts, qt.Equals, streams)
				c.Check(recorder.verdicts, qt.HasLen, streams)
				c.Check(all[0].Retry.TakeRetry(time.Now(), testService.Name), qt.IsTrue)
				for _, v := range recorder.verdicts {
					c.Check(v.Retry, qt.IsFalse)
				}
				c.Check(recorder.lost, qt.Equals, 0)
				for _, s := range all[0].registry.All() {
					c.Check(s.Health().Ejected(), qt.IsFalse)
				}
				time.Sleep(time.Second) // until the checks of servers have ended
			})
		})
	}
}

// streamService is testService as a model.
var streamService = &catalog.Service{Name: testService.Name, Kind: catalog.Model, Ranks: testService.Ranks}
