package kv

import (
	"net/http"
	"net/http/httptest"

	"github.com/go-faster/errors"
)

// errAborted is the error of a call whose answer is lost.
var errAborted = errors.New("connection reset by the key-value service")

// Transport returns a RoundTripper that calls the stand-in without a network,
// so that tests can run it in virtual time.
func (s *Server) Transport() http.RoundTripper { return transport{s} }

type transport struct{ server *Server }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.resp, r.err = t.call(req)
		done <- r
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (t transport) call(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, errAborted
		}
	}()
	if req.Body == nil {
		req.Body = http.NoBody
	}
	recorder := httptest.NewRecorder()
	t.server.ServeHTTP(recorder, req)
	return recorder.Result(), nil
}
