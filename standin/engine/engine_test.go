package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRequestWithFreeSlotIsNotReportedWaiting guards against a load report that counts
// a request as waiting while it takes a free slot. TestBatchFloodDoesNotBlockUrgent
// then saw a waiting request although the gateway sent no more requests than slots.
func TestRequestWithFreeSlotIsNotReportedWaiting(t *testing.T) {
	c := qt.New(t)
	const slots = 4
	e := New(Config{Slots: slots})
	handle := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	var callers sync.WaitGroup
	for range slots {
		callers.Go(func() {
			for range 5_000 {
				w := handle(http.MethodPost, "/v1/chat/completions", `{"max_tokens":1}`)
				if w.Code != http.StatusOK {
					t.Errorf("request with a free slot: status %d", w.Code)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Wait()
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		var load Load
		c.Assert(json.Unmarshal(handle(http.MethodGet, "/load", "").Body.Bytes(), &load), qt.IsNil)
		c.Check(load.Waiting, qt.Equals, 0)
		if c.Failed() {
			break
		}
	}
	<-done
}
