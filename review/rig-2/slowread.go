package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowread"] = slowReadCase }

// slowReadCase reads answers of 3.6 MB at 150 KB a second, well within the time budget.
func slowReadCase(newWorld func(map[string]string) *World, trouble bool) (broken []string) {
	w := newWorld(map[string]string{"attica-a": "attica"})
	const host, service, budget, size, rate = "ficu95.example", "studio", 30 * time.Second, 3600000, 150000
	w.Store.Put("op/config", Config(7, []map[string]any{Route("file", host, "/file/", "unsafe", service, 30000, 1)}, service))
	for k := range 3 {
		p := NewReplica(w.Store, w.Record, w.NewHost(), fmt.Sprintf("i-%d", k), service, "attica-a")
		p.Answer = func(x *Call) {
			time.Sleep(20 * time.Millisecond)
			n := size
			if strings.HasSuffix(x.RequestURI, "/short") {
				n = 800
			}
			x.Send(http.StatusOK, "", []byte(strings.Repeat("p", n)))
		}
		p.Register("ready")
	}
	for _, name := range []string{"edge-attica-a-1", "edge-attica-a-2"} {
		w.AddDaemon(name, "attica-a")
	}
	w.StartAll()
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := map[string]int{}
	for k := range 12 {
		group.Go(func() {
			d := w.Daemons[k%2]
			// The segments and windows of a real link; loopback has larger ones.
			dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
				})
			}}
			conn, err := dialer.Dial("tcp", d.Front)
			if err != nil {
				return
			}
			defer conn.Close()
			c := &Client{World: w, To: d.Front, Host: host, conn: conn, in: bufio.NewReaderSize(conn, 16<<10)}
			c.Do(Request{Method: "POST", Path: "/file/short", ID: fmt.Sprintf("%016x", 1000+k), Safe: true})
			if c.conn == nil {
				return
			}
			s := &Sent{ID: fmt.Sprintf("%016x", 2000+k), Route: "/file/long"}
			w.Record.Send(s)
			_ = conn.SetDeadline(time.Now().Add(budget))
			fmt.Fprintf(conn, "POST /file/long HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", host, s.ID, budget.Milliseconds())
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				w.Record.Answered(s, 0, false, "", "", err.Error())
				return
			}
			total := int64(0)
			for err == nil {
				var n int64
				n, err = io.CopyN(io.Discard, resp.Body, rate/10)
				total += n
				if trouble {
					time.Sleep(100 * time.Millisecond)
				}
			}
			whole := err == io.EOF && total == size
			w.Record.Answered(s, resp.StatusCode, whole, resp.Header.Get("Request-Id"), resp.Header.Get("Signature"),
				fmt.Sprintf("%d of %d bytes in %.3f s, %v", total, size, time.Since(s.At).Seconds(), err))
			if resp.StatusCode == http.StatusOK && !whole && time.Since(s.At) < budget-time.Second {
				mu.Lock()
				cut[d.Name]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for name, n := range cut {
		if n > 3 {
			broken = append(broken, fmt.Sprintf("LOST: %s passed %d requests from kept channels on to sound replicas and closed the channels in the middle of their answers", name, n))
		}
	}
	return broken
}
