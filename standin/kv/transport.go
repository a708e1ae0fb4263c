package kv

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Transport serves requests without a network, so that tests can use virtual
// time. A call that the service cut off, or whose context ended, gives an
// error; what it had begun still takes effect.
type Transport struct{ Server *Server }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	done := make(chan *http.Response, 1)
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		recorder := httptest.NewRecorder()
		t.Server.ServeHTTP(recorder, r)
		done <- recorder.Result()
	}()
	select {
	case resp, ok := <-done:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
