package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"sync"
	"time"
)

func init() { cases["ids"] = idsCase }

// idsCase sends requests whose ids are in base64 while the zone of one region is
// evacuated, so that the requests are passed on to the other region.
func idsCase(newWorld func(map[string]string) *World, trouble bool) []string {
	w := newWorld(map[string]string{"cairo-a": "cairo", "alex-a": "alex"})
	const host, service = "ficu95.example", "orders"
	w.Store.Put("op/config", Config(7, []map[string]any{
		Route("dispatch", host, "/dispatch/", "unsafe", service, 3000, 1),
		Route("lookup", host, "/lookup/", "safe", service, 3000, 2),
	}, service))
	here := []*Replica{NewReplica(w.Store, w.Record, w.NewHost(), "i-c1", service, "cairo-a"), NewReplica(w.Store, w.Record, w.NewHost(), "i-c2", service, "cairo-a")}
	there := []*Replica{NewReplica(w.Store, w.Record, w.NewHost(), "i-a1", service, "alex-a"), NewReplica(w.Store, w.Record, w.NewHost(), "i-a2", service, "alex-a")}
	for _, p := range append(here, there...) {
		p.Register("ready")
	}
	entry := w.AddDaemon("edge-cairo-a-1", "cairo-a")
	w.AddDaemon("edge-alex-a-1", "alex-a")
	w.StartAll()
	var group sync.WaitGroup
	stop := time.Now().Add(8 * time.Second)
	for k := range 4 {
		group.Go(func() {
			c := &Client{World: w, To: entry.Front, Host: host}
			for time.Now().Before(stop) {
				var raw [12]byte
				_, _ = rand.Read(raw[:11])
				q := Request{Method: "POST", Path: "/dispatch/2f", ID: base64.StdEncoding.EncodeToString(raw[:11]), Body: "one book"}
				if k%2 == 1 {
					q.Method, q.Path, q.Safe, q.Body = "GET", "/lookup/2f", true, ""
				}
				c.Do(q)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.Store.Put("op/evacuate/cairo-a", map[string]any{})
		w.Record.Add("evacuation of cairo-a acknowledged")
		time.Sleep(3 * time.Second)
		w.Store.Delete("op/evacuate/cairo-a")
		w.Record.Add("cairo-a taken back")
	}
	group.Wait()
	return append(w.Record.Unasked(), w.Record.Foreign()...)
}

// Unasked returns the runs of requests whose id no client sent.
func (r *Record) Unasked() (broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.runs {
		if r.sent[id] == nil {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran a request with the id %q, which no client sent", runs[0].Replica, id))
		}
	}
	return broken
}

// Foreign returns the successes that bear the id of another request.
func (r *Record) Foreign() (broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sent {
		if s.Status/100 == 2 && s.AnswerID != s.ID {
			broken = append(broken, fmt.Sprintf("MIXED: the client of %q got a success with the id %q", s.ID, s.AnswerID))
		}
	}
	return broken
}
