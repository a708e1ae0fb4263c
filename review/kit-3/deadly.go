package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["deadly"] = func(w *world, trouble bool) bool { return deadly(w, trouble, (*replica).crash, 3*time.Second) }
	cases["dark"] = func(w *world, trouble bool) bool { return deadly(w, trouble, (*replica).goDark, darkTime) }
}

const (
	deadlyReplicas = 4 // of the service in a region, as on the sheet
	deadlyRounds   = 4 // how often the request comes
	deadlyPause    = 8 * time.Second
	deadlyTries    = 2                       // of a client: the first one and one repeat, as on the sheet
	darkTime       = 2500 * time.Millisecond // one replica at a time: back before an attempt is given up
	deadlyDelay    = 50 * time.Millisecond
	contactTime    = 6 * time.Second // contact-ms
	deadlyAllowed  = 3               // retries that may reach replicas after that

	draftClients = 26 // with a stream each at a time, one after the other
	draftEvents  = 20 // of a stream
	draftPause   = 100 * time.Millisecond

	deadlyPath = "/query/deadly"
)

// deadly checks how often a request that crashes replicas reaches replicas later than contact-ms
// after the third crash. crash makes a replica crash for downtime, and reports false if it is down
// already.
func deadly(w *world, trouble bool, crash func(*replica) bool, downtime time.Duration) bool {
	w.putConfig(1, []route{
		{name: "r-draft", prefix: "/draft/", kind: "stream", service: "engines", timeout: 5000, target: 800, attempts: 1},
		{name: "r-query", prefix: "/query/", kind: "stream", service: "engines", timeout: 12000, target: 1500, attempts: 2, resumable: true},
	})
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	for k := range deadlyReplicas {
		r := newReplica(w.rec, w.store, fmt.Sprintf("i-%d", k+1), "engines", "cairo-a", w.addr())
		r.slots = 64
		r.handle = func(a *arrival) bool {
			if a.target != deadlyPath {
				return a.stream(draftEvents, draftPause)
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			time.Sleep(deadlyDelay)
			if !trouble {
				return a.stream(draftEvents, draftPause)
			}
			if crash(r) {
				w.rec.printf("replica %s: crashes by request %s", r.id, a.id)
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.AfterFunc(downtime, r.restart)
			}
			r.awaitRestart()
			return false
		}
		r.start()
		go r.beat()
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
	time.Sleep(contactTime + time.Second)
	stop := make(chan struct{})
	var drafts sync.WaitGroup
	whole, cut, refused := 0, 0, 0
	for c := range draftClients {
		drafts.Go(func() {
			cl := &client{rec: w.rec, addr: w.machines[c%2].front}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("b%02x%06x", c, n)
				a := cl.do(call{method: "POST", target: "/draft/" + id, host: host, id: id, body: id, header: streamHeader("5000")})
				mu.Lock()
				switch {
				case a.err == nil && a.status == 200:
					whole++
				case a.err == nil && a.status == 503:
					refused++
				default:
					cut++
				}
				mu.Unlock()
				if a.err != nil || a.status != 200 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for round := range deadlyRounds {
		for n := range deadlyTries {
			cl := &client{rec: w.rec, addr: w.machines[(round+n)%2].front}
			id := fmt.Sprintf("9c41d07be2%02x%04x", round, n)
			a := cl.do(call{method: "POST", target: deadlyPath, host: host, id: id, body: "the same query", header: streamHeader("12000")})
			cl.close()
			w.rec.say("time %d, try %d: %v", round+1, n+1, a)
			if a.err == nil && a.status == 200 {
				break
			}
		}
		if round < deadlyRounds-1 {
			time.Sleep(deadlyPause)
		}
	}
	close(stop)
	drafts.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > contactTime {
				late++
			}
		}
	}
	w.rec.say("%d arrivals, %d crashes, %d arrivals later than %v after the third crash (allowed: %d)", len(arrivals), len(crashes), late, contactTime, deadlyAllowed)
	w.rec.say("other streams: %d whole, %d broken off or failed, %d refused", whole, cut, refused)
	return late > deadlyAllowed
}

// streamHeader returns the header of a request for a stream, without parts of its prompt that
// others share.
func streamHeader(deadline string) map[string]string {
	return map[string]string{"Deadline-Ms": deadline, "Model": "m", "Tokens": "826,120"}
}
