package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// TestTrafficLogLine checks the log line that distinguishes a saturated network link
// from a saturated CPU: bytes by purpose, unanswered queries and timer delays.
func TestTrafficLogLine(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	metrics, err := NewMetrics()
	c.Assert(err, qt.IsNil)
	traffic, err := NewTraffic(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, metrics)
	c.Assert(err, qt.IsNil)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener = traffic.WrapListener(listener, PurposePeers)
	defer listener.Close()
	dial := traffic.WrapDial((&net.Dialer{}).DialContext, PurposeServers)
	client, err := dial(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	server, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	_, err = client.Write([]byte("12345"))
	c.Assert(err, qt.IsNil)
	c.Assert(client.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
	received, err := io.ReadAll(server)
	c.Assert(err, qt.IsNil)
	c.Assert(string(received), qt.Equals, "12345")

	now := time.Now()
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 10 * time.Millisecond} {
		now = now.Add(100*time.Millisecond + delay)
		traffic.RecordTick(now, 100*time.Millisecond)
	}
	traffic.RecordQuery(nil)
	traffic.RecordQuery(errors.New("no answer"))
	traffic.RecordResponse(700)
	c.Assert(nextLineNumbers(c, traffic, &out), qt.DeepEquals, map[string]float64{
		"callers_in": 0, "callers_out": 0, "peers_in": 5, "peers_out": 0, "servers_in": 0, "servers_out": 5,
		"questions_in": 0, "questions_out": 0, "asked": 2, "unanswered": 1, "answered": 1, "answered_bytes": 700, "timers_late": 30,
	})
	c.Assert(nextLineNumbers(c, traffic, &out)["servers_out"], qt.Equals, 0.0) // counted since the previous line

	page := httptest.NewRecorder()
	metrics.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	c.Assert(page.Body.String(), qt.Contains, `fuchsia_link_bytes_total{direction="out",purpose="servers"} 5`)
	c.Assert(page.Body.String(), qt.Contains, `fuchsia_questions_total{answered="false"} 1`)
}

// nextLineNumbers calls LogSummary and returns the numeric fields of the log line.
func nextLineNumbers(c *qt.C, traffic *Traffic, out *bytes.Buffer) map[string]float64 {
	out.Reset()
	traffic.LogSummary(context.Background())
	var line map[string]any
	c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	numbers := make(map[string]float64)
	for name, value := range line {
		if number, ok := value.(float64); ok {
			numbers[name] = number
		}
	}
	return numbers
}
