package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly"] = deadlyCase }

// deadlyCase repeats a request for a stream that crashes each replica that runs it,
// somewhat over a second after its first event.
func deadlyCase(newWorld func(map[string]string) *World, trouble bool) []string {
	w := newWorld(map[string]string{"cairo-a": "cairo"})
	const host, service, lateness, downtime, contact = "ficu95.example", "desk", 1100 * time.Millisecond, 3 * time.Second, 6 * time.Second
	route := Route("draft", host, "/draft/", "stream", service, 5000, 1)
	route["sticky"], route["gap-slo-ms"], route["slo-ms"] = true, 400, 800
	config := Config(7, []map[string]any{route}, service)
	config["services"].([]map[string]any)[0]["engine"] = map[string]any{
		"slots": 64, "kv-capacity": 339710, "kv-token-bytes": 18432, "link-mbps": 180000.0, "stride": 6, "most": 12,
		"models": []map[string]any{{"name": "m"}},
	}
	w.Store.Put("op/config", config)
	var mu sync.Mutex
	var crashes, late []time.Time // crashes, and arrivals of the deadly request
	for k := range 6 {
		p := NewReplica(w.Store, w.Record, w.NewHost(), fmt.Sprintf("i-%d", k), service, "cairo-a")
		p.Slots = 64
		p.Answer = func(x *Call) {
			deadly := strings.HasPrefix(string(x.Body), "deadly")
			if deadly {
				mu.Lock()
				late = append(late, time.Now())
				mu.Unlock()
			}
			write(x, x.Head(200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			start := time.Now()
			for n := 1; n <= 10; n++ {
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, x.ID)
				write(x, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
				time.Sleep(200 * time.Millisecond)
				if deadly && trouble && time.Since(start) >= lateness {
					if p.Crash() {
						mu.Lock()
						crashes = append(crashes, time.Now())
						mu.Unlock()
						time.AfterFunc(downtime, p.Restart)
					}
					x.Close = true
					return
				}
			}
			write(x, "0\r\n\r\n")
		}
		p.Register("ready")
	}
	for _, name := range []string{"edge-cairo-a-1", "edge-cairo-a-2"} {
		w.AddDaemon(name, "cairo-a")
	}
	w.StartAll()
	time.Sleep(contact - 3*time.Second)
	const repeats, pause = 24, 1500 * time.Millisecond
	stop := time.Now().Add(repeats * pause)
	var number atomic.Int64
	var others, lost atomic.Int64
	var group sync.WaitGroup
	ask := func(c *Client, body string) *Sent {
		id := fmt.Sprintf("%016x", number.Add(1))
		lines := "Model: m\r\nTokens: 810,60\r\nPrefix-Hash: 5c1e07a2:800," + fmt.Sprintf("%x", len(body)) + ":10\r\n"
		return c.Do(Request{Method: "POST", Path: "/draft/2f", ID: id, Lines: lines, Body: body, Budget: 5 * time.Second})
	}
	for k := range 20 {
		group.Go(func() {
			c := &Client{World: w, To: w.Daemons[k%2].Front, Host: host}
			for n := 0; time.Now().Before(stop); n++ {
				s := ask(c, fmt.Sprintf("draft %d of %d", n, k))
				others.Add(1)
				if s.Status == 200 && !s.Whole {
					lost.Add(1)
				}
			}
		})
	}
	for k := range repeats {
		group.Go(func() {
			time.Sleep(time.Duration(k) * pause)
			ask(&Client{World: w, To: w.Daemons[k%2].Front, Host: host}, "deadly draft")
		})
	}
	group.Wait()
	count := 0
	for _, at := range late {
		if len(crashes) >= 3 && at.After(crashes[2].Add(contact)) {
			count++
		}
	}
	summary := fmt.Sprintf("%d crashes, %d arrivals of the request later than contact-ms after the third; of %d other streams %d were broken off", len(crashes), count, others.Load(), lost.Load())
	w.Record.Add("%s", summary)
	fmt.Println(summary)
	if count > 3 {
		return []string{fmt.Sprintf("BUDGET: a request that crashes the replicas that run it reached replicas %d times, sent later than contact-ms after it had crashed the third", count)}
	}
	return nil
}
