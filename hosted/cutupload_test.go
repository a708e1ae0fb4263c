package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
)

// uploadServer answers requests with a body of more than one byte, of which it reads
// nothing, with the part of an answer that has no length.
type uploadServer struct {
	part  string
	end   func(conn *net.TCPConn) // after the part
	parts atomic.Int64            // sent
}

// serve answers the requests of a connection until it is cut.
func (s *uploadServer) serve(conn net.Conn) {
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetReadBuffer(4 << 10) // so that the upload does not fit
	reader := bufio.NewReaderSize(conn, 1<<10)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if !strings.HasPrefix(id, "cut-") {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
			continue
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s", id, s.part)
		s.parts.Add(1)
		time.Sleep(20 * time.Millisecond) // the instance reads the part before the end
		s.end(tcp)
		return
	}
}

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 12 << 20

// TestPartBeforeEndOfUploadIsNoSuccess guards against a caller that gets the part of an
// answer without a length as a complete one, because the server ended the connection while
// the request was still being written. The part is short, so that an instance has not
// begun to send it, or exceeds what an instance buffers.
func TestPartBeforeEndOfUploadIsNoSuccess(t *testing.T) {
	t.Parallel()
	plainPart, longPart := "\r\npart", "\r\n"+strings.Repeat("part", 2<<20)
	streamPart := "Content-Type: text/event-stream\r\n\r\n" + streamEvents(1, 2)
	ends := map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"close": func(*net.TCPConn) {}, // resets as well, as unread bytes are left
	}
	for name, part := range map[string]string{"plain": plainPart, "long": longPart, "stream": streamPart} {
		for endName, end := range ends {
			for _, zone := range []string{"cairo-a", "alex-a"} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, endName, zone), func(t *testing.T) {
					t.Parallel()
					testPartBeforeEndOfUpload(newFleet(t), zone, &uploadServer{part: part, end: end}, name == "stream")
				})
			}
		}
	}
}

func testPartBeforeEndOfUpload(f *fleet, zone string, server *uploadServer, stream bool) {
	kind := "unsafe"
	if stream {
		kind = "stream"
	}
	f.store.Put(platform.ConfigKey, fmt.Sprintf(`{"version":1,"routes":[{"prefix":"/book/","name":"book","host":%q,"type":%q,
		"service":"orders","timeout-ms":5000,"slo-ms":1000,"attempts":2}],"services":[{"name":"orders"}],"limits":{"max-body-bytes":%d}}`, host, kind, uploadBytes))
	f.startConnServer("orders", zone, server.serve)
	n := f.startFor(zone, 1)[0]
	body := strings.Repeat("x", uploadBytes)
	for number, test := range []struct{ kept, chunked, slow bool }{{}, {kept: true}, {chunked: true}, {kept: true, chunked: true}, {slow: true}} {
		if test.kept {
			got := n.send(n.request("POST", "/book/", fmt.Sprintf("warm-%d", number), "x"))
			f.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%v", got.err))
		}
		// A server with several failures is ejected for a moment.
		before, tries := server.parts.Load(), 0
		f.eventually("part of an answer", func() bool {
			tries++
			req := n.request("POST", "/book/", fmt.Sprintf("cut-%d-%d", number, tries), body)
			if test.chunked {
				req.ContentLength = -1
			}
			got := n.sendSlowly(req, test.slow)
			whole := got.err == nil && got.status < http.StatusMultipleChoices
			f.Check(whole, qt.IsFalse, qt.Commentf("%+v: status %d, %d bytes", test, got.status, len(got.body)))
			sent := server.parts.Load() > before
			f.Check(sent && got.status == http.StatusServiceUnavailable, qt.IsFalse, qt.Commentf("%+v: said not to have run", test))
			return sent
		})
	}
}

// sendSlowly sends a request. If slow is set, the caller stalls before it reads the body
// of the response.
func (n *testInstance) sendSlowly(req *http.Request, slow bool) response {
	resp, err := callerClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	if slow {
		time.Sleep(500 * time.Millisecond)
	}
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(body), err: err}
}
