package gateway_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/gateway"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

type nopObserver struct{}

func (nopObserver) Begin(*filters.Exchange) func(*outcome.Error) { return func(*outcome.Error) {} }

func (nopObserver) Panicked(*filters.Exchange, any, []byte, bool) {}

// TestAbortedResponseLooksIncomplete guards against a response that fails after its
// start and ends like a complete one, for callers of every version of HTTP/1.
func TestAbortedResponseLooksIncomplete(t *testing.T) {
	const chunk = "id: 1\ndata: a\n\n"
	for _, secure := range []bool{false, true} {
		for _, request := range []string{"HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n", "HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"} {
			for _, fails := range []bool{false, true} {
				name := fmt.Sprintf("%s tls=%t fails=%t", strings.ReplaceAll(request, "\r\n", " "), secure, fails)
				t.Run(name, func(t *testing.T) {
					c := qt.New(t)
					handler := &gateway.Handler{Observer: nopObserver{}, AbortOnError: true, Chain: func(x *filters.Exchange) *outcome.Error {
						x.Started = true
						_, _ = io.WriteString(x.Writer, chunk)
						_ = http.NewResponseController(x.Writer).Flush()
						if fails {
							return outcome.Fail(outcome.CodeBackendFailed, nil, "truncated")
						}
						return nil
					}}
					server := httptest.NewUnstartedServer(handler)
					if secure {
						server.StartTLS()
					} else {
						server.Start()
					}
					defer server.Close()
					conn := dial(c, server)
					defer conn.Close()
					_, err := io.WriteString(conn, "GET / "+request+"Host: x\r\n\r\n")
					c.Assert(err, qt.IsNil)
					complete, body := readResponse(conn)
					c.Assert(complete, qt.Equals, !fails, qt.Commentf("%q", body))
					if !fails {
						c.Assert(body, qt.Contains, chunk)
					}
				})
			}
		}
	}
}

func dial(c *qt.C, server *httptest.Server) net.Conn {
	addr := server.Listener.Addr().String()
	if server.TLS == nil {
		conn, err := net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		return conn
	}
	transport := server.Client().Transport.(*http.Transport)
	conn, err := tls.Dial("tcp", addr, transport.TLSClientConfig)
	c.Assert(err, qt.IsNil)
	return conn
}

// readResponse reads until the connection ends or the last chunk has arrived, and
// reports whether the response is complete.
func readResponse(conn net.Conn) (complete bool, text string) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	var data []byte
	buffer := make([]byte, 1024)
	for {
		n, err := conn.Read(buffer)
		data = append(data, buffer[:n]...)
		chunked := strings.Contains(string(data), "chunked")
		if chunked && strings.HasSuffix(string(data), "\r\n0\r\n\r\n") {
			return true, string(data)
		}
		if err != nil {
			return !chunked && errors.Is(err, io.EOF), string(data)
		}
	}
}
