package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["empty"] = emptyCase }

// emptyCase adds a route whose answers have no body, and lets single replicas crash six times.
func emptyCase(newWorld func(map[string]string) *World, trouble bool) []string {
	w := newWorld(map[string]string{"cairo-a": "cairo"})
	const host, service = "ficu95.example", "orders"
	first := Route("lookup", host, "/lookup/", "safe", service, 3000, 2)
	later := Route("touch", host, "/touch/", "safe", service, 3000, 2)
	w.Store.Put("op/config", Config(7, []map[string]any{first}, service))
	var replicas []*Replica
	for k := range 4 {
		p := NewReplica(w.Store, w.Record, w.NewHost(), fmt.Sprintf("i-%d", k), service, "cairo-a")
		p.Work = 100 * time.Millisecond
		p.Answer = func(x *Call) {
			time.Sleep(p.Work)
			if strings.HasPrefix(x.RequestURI, "/touch/") {
				write(x, x.Head(http.StatusNoContent)+"\r\n")
				return
			}
			x.Send(http.StatusOK, "", []byte("a shelf of "+p.ID))
		}
		p.Register("ready")
		replicas = append(replicas, p)
	}
	for _, name := range []string{"edge-cairo-a-1", "edge-cairo-a-2"} {
		w.AddDaemon(name, "cairo-a")
	}
	w.StartAll()
	w.Store.Put("op/config", Config(8, []map[string]any{first, later}, service))
	w.Record.Add("version 8 with the route touch acknowledged")
	time.Sleep(4 * time.Second)
	const contact, judged = 6 * time.Second, 10 * time.Second
	start := time.Now()
	lastBack := start.Add(18 * time.Second)
	stop := lastBack.Add(contact + judged)
	var number atomic.Int64
	var mu sync.Mutex
	served, asked := map[string]int{}, map[string]int{}
	var group sync.WaitGroup
	for k := range 24 {
		group.Go(func() {
			c := &Client{World: w, To: w.Daemons[k%2].Front, Host: host}
			path := []string{"/lookup/2f", "/touch/2f", "/touch/2f"}[k/2%3]
			for time.Now().Before(stop) {
				s := c.Do(Request{Method: "GET", Path: path, ID: fmt.Sprintf("%016x", number.Add(1)), Safe: true})
				mu.Lock()
				if s.At.After(lastBack.Add(contact)) {
					asked[path]++
					if s.Status/100 == 2 && s.Whole {
						served[path]++
					}
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for k := range 6 {
		time.Sleep(time.Until(start.Add(time.Duration(1+3*k) * time.Second)))
		if trouble {
			replicas[k%4].Crash()
			time.Sleep(2 * time.Second)
			replicas[k%4].Restart()
		}
	}
	group.Wait()
	a, b := served["/lookup/2f"], asked["/lookup/2f"]
	c, d := served["/touch/2f"], asked["/touch/2f"]
	w.Record.Add("in steady state %d of %d requests on the first route were served, %d of %d on the later one", a, b, c, d)
	fmt.Printf("in steady state %d of %d requests on the first route were served, %d of %d on the later one\n", a, b, c, d)
	if d >= 20 && 4*c*b < a*d {
		return []string{fmt.Sprintf("CONFIG: %d of %d requests on a route that was added later were served, but %d of %d on the first one", c, d, a, b)}
	}
	return nil
}
