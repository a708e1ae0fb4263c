package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
)

func init() { cases["large"] = large }

const (
	largeBytes      = 20 << 20 // of a large answer
	usualBytes      = 2 << 20  // of an answer without the disruption
	largePiece      = 64 << 10 // of a chunk
	largeClients    = 4        // at two instances
	largeRounds     = 3        // large answers on each channel
	largeLostBefore = 3        // channels that one machine may close without an answer
)

// large checks that large answers of sound replicas to requests on kept channels arrive.
func large(w *world, trouble bool) bool {
	w.putConfig(1, []route{{name: "r-export", prefix: "/export/", kind: "unsafe", service: "orders", timeout: 10000, target: 2000, attempts: 1}})
	size := usualBytes
	if trouble {
		size = largeBytes
	}
	for k := range 2 {
		r := newReplica(w.rec, w.store, fmt.Sprintf("i-%d", k+1), "orders", "cairo-a", w.addr())
		r.handle = func(a *arrival) bool {
			if !strings.Contains(a.target, "large") {
				return a.reply(200, map[string]string{"Signature": "sig-" + a.id}, answerBody(a.id)) == nil
			}
			_, err := io.WriteString(a.conn, a.head(200, map[string]string{"Signature": "sig-" + a.id}, "Transfer-Encoding: chunked"))
			piece := strings.Repeat("x", largePiece)
			sent := 0
			for ; sent < size && err == nil; sent += largePiece {
				_, err = fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(piece), piece)
			}
			if err == nil {
				_, err = io.WriteString(a.conn, "0\r\n\r\n")
			}
			w.rec.printf("replica %s: has run request %s and written %d bytes of its answer, error %v", r.id, a.id, sent, err)
			return err == nil
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
	var mu sync.Mutex
	lost, whole := map[string]int{}, 0
	var group sync.WaitGroup
	for c := range largeClients {
		group.Go(func() {
			m := w.machines[c%2]
			cl := &client{rec: w.rec, addr: m.front}
			for n := range largeRounds {
				ask := func(kind string) *answerTo {
					id := fmt.Sprintf("9c41d07b%s%02x%02x", kind[:1], c, n)
					return cl.do(call{method: "POST", target: "/export/" + kind + "/" + id, host: host, id: id, body: id, header: map[string]string{"Deadline-Ms": "10000"}})
				}
				if a := ask("small"); a.err != nil || a.status != 200 {
					w.rec.say("small: %v", a)
					continue
				}
				a := ask("large") // on the channel that the small one has opened or used
				mu.Lock()
				switch {
				case a.err != nil:
					w.rec.say("%s, kept channel: %v", m.name, a)
					lost[m.name]++
				case a.status == 200 && len(a.body) == size:
					whole++
				default:
					w.rec.say("%s: %v", m.name, a)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.rec.say("large answers: %d whole; channels closed without the answer: %v (allowed: %d at one machine)", whole, lost, largeLostBefore)
	for _, count := range lost {
		if count > largeLostBefore {
			return true
		}
	}
	return false
}
