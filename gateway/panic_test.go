package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// panicObserver counts panics and ended requests.
type panicObserver struct{ panics, ended *atomic.Int64 }

func (o panicObserver) Begin(*filters.Exchange) func(*outcome.Error) {
	return func(*outcome.Error) { o.ended.Add(1) }
}

func (o panicObserver) Panicked(*filters.Exchange, any, []byte, bool) { o.panics.Add(1) }

// TestPanicIsAnswered guards against a caller that gets a closed connection and no answer
// because of a panic before the response was started, or the header of the response that
// was given up; and against a part of a response that looks complete.
func TestPanicIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		chain   func(x *filters.Exchange)
		started bool
	}{
		"before":         {func(*filters.Exchange) {}, false},
		"invalid status": {func(x *filters.Exchange) { x.Writer.WriteHeader(99) }, false},
		"interim":        {func(x *filters.Exchange) { x.Writer.WriteHeader(http.StatusProcessing) }, false},
		"header":         {func(x *filters.Exchange) { x.Writer.WriteHeader(http.StatusOK) }, true},
		"part":           {func(x *filters.Exchange) { _, _ = io.WriteString(x.Writer, "part") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			observer := panicObserver{&atomic.Int64{}, &atomic.Int64{}}
			server := httptest.NewServer(&gateway.Handler{Observer: observer, Chain: func(x *filters.Exchange) *outcome.Error {
				x.Writer.Header().Set("Signature", "of the response")
				test.chain(x)
				panic("test")
			}})
			defer server.Close()
			resp, err := http.Get(server.URL)
			if !test.started {
				c.Assert(err, qt.IsNil)
				defer resp.Body.Close()
				c.Check(resp.StatusCode, qt.Equals, http.StatusInternalServerError)
				c.Check(resp.Header.Get("Signature"), qt.Equals, "")
				c.Check(resp.Header.Get(outcome.Header), qt.Equals, outcome.MayHaveRun.String())
			} else if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				c.Check(err, qt.IsNotNil)
			}
			c.Check(observer.panics.Load(), qt.Equals, int64(1))
			c.Check(observer.ended.Load(), qt.Equals, int64(1))
		})
	}
}
