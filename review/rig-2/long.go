package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["long"] = longCase }

// longCase sends streams of 57 s, while one replica of seven is slow for some seconds.
// The route and the clients allow for two minutes.
func longCase(newWorld func(map[string]string) *World, trouble bool) []string {
	w := newWorld(map[string]string{"cairo-a": "cairo"})
	const host, service, budget = "ficu95.example", "desk", 110 * time.Second
	const events, pause = 285, 200 * time.Millisecond
	route := Route("draft", host, "/draft/", "stream", service, 120000, 1)
	route["gap-slo-ms"], route["slo-ms"] = 1500, 2000
	w.Store.Put("op/config", Config(7, []map[string]any{route, Route("lookup", host, "/lookup/", "safe", service, 3000, 2)}, service))
	const replicas = 7
	var slowFrom, slowTo time.Time
	var mu sync.Mutex
	slow := func(p *Replica) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		return p.ID == "i-0" && now.After(slowFrom) && now.Before(slowTo)
	}
	for k := range replicas {
		p := NewReplica(w.Store, w.Record, w.NewHost(), fmt.Sprintf("i-%d", k), service, "cairo-a")
		p.Slots = 64
		p.Answer = func(x *Call) {
			if strings.HasPrefix(x.RequestURI, "/lookup/") {
				time.Sleep(5 * time.Millisecond)
				x.Send(http.StatusOK, "", []byte("a shelf"))
				return
			}
			write(x, x.Head(200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := 1; n <= events; n++ {
				time.Sleep(pause)
				if slow(p) {
					time.Sleep(4 * pause)
				}
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, x.ID)
				if _, err := fmt.Fprintf(x.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
					x.Close = true
					w.Record.Add("replica %s: the channel of %s ended at event %d", p.ID, x.ID, n)
					return
				}
			}
			write(x, "0\r\n\r\n")
			w.Record.Add("replica %s: answer to %s complete", p.ID, x.ID)
		}
		p.Register("ready")
	}
	for _, name := range []string{"edge-cairo-a-1", "edge-cairo-a-2"} {
		w.AddDaemon(name, "cairo-a")
	}
	w.StartAll()
	cut := map[string]int{}
	var group sync.WaitGroup
	for k := range 84 {
		group.Go(func() {
			d := w.Daemons[k%2]
			c := &Client{World: w, To: d.Front, Host: host}
			c.Do(Request{Method: "GET", Path: "/lookup/2f", ID: fmt.Sprintf("%016x", 1000+k), Safe: true})
			if c.conn == nil {
				return
			}
			defer c.conn.Close()
			id := fmt.Sprintf("%016x", 2000+k)
			s := &Sent{ID: id, Route: "/draft/2f"}
			w.Record.Send(s)
			_ = c.conn.SetDeadline(time.Now().Add(budget))
			got, replica, err := draft(c.conn, c.in, host, id, budget)
			w.Record.Answered(s, 200, err == nil, id, replica, fmt.Sprintf("%d events, error %v", got, err))
			mu.Lock()
			defer mu.Unlock()
			if got > 0 && (err != nil || got != events) {
				cut[d.Name]++
			}
		})
	}
	if trouble {
		time.Sleep(10 * time.Second)
		mu.Lock()
		slowFrom, slowTo = time.Now(), time.Now().Add(6500*time.Millisecond)
		mu.Unlock()
		w.Record.Add("replica i-0 works 5 times as long for 6.5 s")
	}
	group.Wait()
	var broken []string
	for name, n := range cut {
		w.Record.Add("%s closed %d channels before the end of the stream", name, n)
		if n > 3 {
			broken = append(broken, fmt.Sprintf("LOST: %s passed %d requests from kept channels on to a sound replica and closed the channels without a whole answer", name, n))
		}
	}
	return broken
}

// draft reads a stream and returns the number of its events.
func draft(conn net.Conn, in *bufio.Reader, host, id string, budget time.Duration) (events int, replica string, err error) {
	fmt.Fprintf(conn, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 5\r\n\r\ndraft", host, id, budget.Milliseconds())
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return strings.Count(string(body), "\n\n"), resp.Header.Get("Signature"), err
}
