package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["version"] = versionCase }

// versionCase replaces the replicas of a model service by ones with new weights, while a
// client at each instance goes on to ask for the old version, and then kills all instances.
func versionCase(newWorld func(map[string]string) *World, trouble bool) []string {
	w := newWorld(map[string]string{"cairo-a": "cairo"})
	const host, service = "ficu95.example", "desk"
	route := Route("query", host, "/query/", "stream", service, 5000, 2)
	route["resumable"], route["sticky"], route["gap-slo-ms"], route["slo-ms"] = true, true, 400, 800
	config := Config(7, []map[string]any{route}, service)
	config["services"].([]map[string]any)[0]["engine"] = map[string]any{
		"slots": 64, "kv-capacity": 339710, "kv-token-bytes": 18432, "link-mbps": 180000.0, "stride": 6, "most": 12,
		"models": []map[string]any{{"name": "m"}},
	}
	w.Store.Put("op/config", config)
	var count int
	add := func(weights int) *Replica {
		count++
		p := NewReplica(w.Store, w.Record, w.NewHost(), fmt.Sprintf("i-%d", count), service, "cairo-a")
		p.Slots = 64
		p.Admit = func(x *Call) bool {
			wanted := x.Header.Get("Expect-Version")
			if wanted == "" || wanted == strconv.Itoa(weights) {
				return true
			}
			x.Send(http.StatusMisdirectedRequest, "Weight-Versions: "+strconv.Itoa(weights)+"\r\n", nil)
			return false
		}
		p.Answer = func(x *Call) {
			text := x.Head(200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: " + strconv.Itoa(weights) + "\r\n\r\n"
			write(x, text)
			first := 1
			if last := x.Header.Get("Last-Event-Id"); last != "" {
				_, _ = fmt.Sscan(last, &first)
				first++
			}
			for n := first; n <= 4; n++ {
				time.Sleep(10 * time.Millisecond)
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, x.ID)
				write(x, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			}
			write(x, "0\r\n\r\n")
		}
		p.Register("ready")
		w.Record.Add("replica %s with weights of version %d is ready", p.ID, weights)
		return p
	}
	old := []*Replica{add(1), add(1), add(1), add(1)}
	for _, name := range []string{"edge-cairo-a-1", "edge-cairo-a-2"} {
		w.AddDaemon(name, "cairo-a")
	}
	w.StartAll()
	var number atomic.Int64
	var all []*Sent
	var mu sync.Mutex
	var group sync.WaitGroup
	const fault, recoverTime, judged = 20 * time.Second, 12 * time.Second, 8 * time.Second
	start := time.Now()
	stop := start.Add(fault + 2*time.Second + recoverTime + judged)
	for k := range 8 {
		pinned := k < 2
		group.Go(func() {
			c := &Client{World: w, To: w.Daemons[k%2].Front, Host: host}
			for time.Now().Before(stop) {
				id := fmt.Sprintf("%016x", number.Add(1))
				lines := "Model: m\r\nTokens: 810,4\r\nPrefix-Hash: 5c1e07a2:800," + id + ":10\r\n"
				pause := 250 * time.Millisecond
				if pinned {
					lines += "Expect-Version: 1\r\n"
					pause = time.Second
				}
				s := c.Do(Request{Method: "POST", Path: "/query/2f", ID: id, Lines: lines, Body: "which paper", Safe: true, Budget: 5 * time.Second})
				if !pinned {
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(time.Until(start.Add(5 * time.Second)))
	if trouble {
		for k, p := range old { // two releases, of a half of the replicas each
			if k == len(old)/2 {
				time.Sleep(2 * time.Second)
			}
			add(2)
			time.Sleep(time.Second)
			p.leaving.Store(true)
			p.Register("draining")
			w.Record.Add("replica %s drains", p.ID)
			time.AfterFunc(6*time.Second, func() {
				p.Crash()
				w.Store.Delete("servers/" + p.ID)
			})
		}
	}
	time.Sleep(time.Until(start.Add(fault)))
	for _, d := range w.Daemons {
		d.Signal(syscall.SIGKILL)
	}
	for _, d := range w.Daemons {
		<-d.done
	}
	time.Sleep(900 * time.Millisecond)
	for _, d := range w.Daemons {
		d.Start()
	}
	for _, d := range w.Daemons {
		d.AwaitReady()
	}
	back := time.Now()
	w.Record.Add("all instances are ready again")
	group.Wait()
	share := func(from, to time.Time) (served, n int) {
		for _, s := range all {
			if s.At.Before(from) || !s.At.Before(to) {
				continue
			}
			n++
			if s.Status == 200 && s.Whole {
				served++
			}
		}
		return served, n
	}
	before, n := share(start, start.Add(fault))
	after, m := share(back.Add(recoverTime), stop)
	w.Record.Add("before the final fault %d of %d were served, from %v after the machines were back %d of %d", before, n, recoverTime, after, m)
	fmt.Printf("before the final fault %d of %d were served, later %d of %d\n", before, n, after, m)
	if 4*before >= n && 4*after < m {
		return []string{fmt.Sprintf("RECOVER: of the requests sent later than recover-s after the machines were back, %d of %d were served", after, m)}
	}
	return nil
}
