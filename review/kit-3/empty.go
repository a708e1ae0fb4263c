package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["empty"] = empty }

const (
	emptyReplicas  = 4
	emptyCrashes   = 6 // of one replica after the other
	emptyDowntime  = 2 * time.Second
	emptyInterval  = 3 * time.Second // from one crash to the next
	emptyClients   = 24              // on the later route
	firstClients   = 8               // on the first route
	emptyWork      = 200 * time.Millisecond
	emptyJudged    = 10 * time.Second // of the steady state
	emptyMinServed = 4                // the later route must be served a quarter as often as the first one
)

// routeCount counts the requests on a route in the steady state.
type routeCount struct{ sent, served atomic.Int64 }

// empty checks that a sound route whose answers have neither a length nor a body is served in
// the steady state after crashes of single replicas.
func empty(w *world, trouble bool) bool {
	first := route{name: "r-first", prefix: "/first/", kind: "safe", service: "orders", timeout: 3000, target: 1500, attempts: 2}
	later := route{name: "r-later", prefix: "/later/", kind: "safe", service: "orders", timeout: 3000, target: 1500, attempts: 2}
	w.putConfig(1, []route{first})
	var replicas []*replica
	for k := range emptyReplicas {
		r := newReplica(w.rec, w.store, fmt.Sprintf("i-%d", k+1), "orders", "cairo-a", w.addr())
		r.slots, r.work = 64, emptyWork
		r.handle = func(a *arrival) bool {
			time.Sleep(emptyWork)
			if a.target != "/later/state" {
				return a.reply(200, map[string]string{"Signature": "sig-" + a.id}, answerBody(a.id)) == nil
			}
			_, _ = io.WriteString(a.conn, a.head(200, map[string]string{"Signature": "sig-" + a.id, "Connection": "close"}, ""))
			return false // the channel ends the answer
		}
		r.start()
		go r.beat()
		replicas = append(replicas, r)
	}
	for k := range 2 {
		w.newMachine(fmt.Sprintf("edge-cairo-a-%d", k+1), "cairo-a")
	}
	for _, m := range w.machines {
		m.start()
	}
	for _, m := range w.machines {
		m.awaitReady()
	}
	time.Sleep(time.Second)
	w.putConfig(2, []route{first, later})
	time.Sleep(5 * time.Second) // config-ms, and a second

	stop := make(chan struct{})
	var judged atomic.Bool
	var group sync.WaitGroup
	counts := map[string]*routeCount{"/first/": {}, "/later/": {}}
	for c := range emptyClients + firstClients {
		group.Go(func() {
			prefix := "/later/"
			if c >= emptyClients {
				prefix = "/first/"
			}
			count := counts[prefix]
			cl := &client{rec: w.rec, addr: w.machines[c%2].front}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				target := prefix + "state"
				if prefix == "/first/" {
					target = fmt.Sprintf("%s%d-%d", prefix, c, n)
				}
				counted := judged.Load()
				a := cl.do(call{method: "GET", target: target, host: host, id: fmt.Sprintf("e%02x%08x", c, n), header: map[string]string{"Deadline-Ms": "3000"}})
				served := a.err == nil && a.status == 200 && a.header.Get("Signature") != ""
				if counted {
					count.sent.Add(1)
					if served {
						count.served.Add(1)
					}
				}
				if !served {
					time.Sleep(emptyWork) // clients don't press
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range emptyCrashes {
		if trouble {
			r := replicas[n%emptyReplicas]
			w.rec.say("replica %s crashes", r.id)
			r.crash()
			time.Sleep(emptyDowntime)
			r.start()
			time.Sleep(emptyInterval - emptyDowntime)
		}
	}
	time.Sleep(contactTime)
	judged.Store(true)
	time.Sleep(emptyJudged)
	close(stop)
	group.Wait()
	f, l := counts["/first/"], counts["/later/"]
	w.rec.say("steady state: first route %d of %d served, later route %d of %d served", f.served.Load(), f.sent.Load(), l.served.Load(), l.sent.Load())
	if f.sent.Load() < 20 || l.sent.Load() < 20 {
		panic("too few requests")
	}
	return float64(l.served.Load())/float64(l.sent.Load()) < float64(f.served.Load())/float64(f.sent.Load())/emptyMinServed
}
