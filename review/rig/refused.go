package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host        = "ficu95.example"
	bookRoute   = "/pule252/"
	bookService = "wuno96b"
)

// Traffic and trouble of the case refused.
const (
	bookings        = 240
	bookingInterval = 70 * time.Millisecond // 14.3 a second, as on the sheet
	bookingBudget   = 3 * time.Second
	greyFrom        = 2 * time.Second
	greyFor         = 6 * time.Second
	orderReplicas   = 7 // one of them turns grey, 0.143 of the service
)

func plainConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-book", "host": host, "prefix": bookRoute, "type": "unsafe", "timeout-ms": 1500, "slo-ms": 500,
			"priority": 2, "service": bookService, "attempts": 1, "sticky": false, "resumable": false, "home-regions": []string{},
		}},
		"services": []any{map[string]any{
			"name": bookService, "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": false, "warmup-s": 0.0, "warmup-per-s": 0.0,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// refused lets one replica fail a part of its requests, after it has run them, with a
// 503 that does not state Not-Executed. Clients repeat a booking only after a status
// that promises that it has not run.
func refused(d *Deployment, trouble bool) (verdict, error) {
	d.Store.Put("op/config", plainConfig(7))
	var replicas []*Replica
	for n := range orderReplicas {
		replica, err := d.NewReplica(&Replica{ID: fmt.Sprintf("i-order-%d", n+1), Service: bookService, Zone: "cairo-a", Work: 30 * time.Millisecond})
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, replica)
	}
	if err := d.Start("cairo-a", "cairo-a"); err != nil {
		return failed, err
	}
	start := time.Now()
	if trouble {
		var requests atomic.Int64 // at the replica while it is grey
		replicas[0].Answer = func(w http.ResponseWriter, r *http.Request) bool {
			since := time.Since(start)
			if since < greyFrom || since > greyFrom+greyFor {
				return false
			}
			// The third and the fifth of each five fail: at any time 0.4 at most.
			if position := requests.Add(1) % 5; position != 3 && position != 0 {
				return false
			}
			const text = "the booking failed"
			d.Record.Line("replica %s answers 503 to %s, which has run", replicas[0].ID, r.Header.Get("Request-Id"))
			w.Header().Set("Signature", sign(text))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(text))
			return true
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	replies := make(map[int][]Reply) // by booking
	for n := range bookings {
		group.Go(func() {
			end := time.Now().Add(bookingBudget)
			for attempt := range 2 {
				front := d.instances[(n+attempt)%len(d.instances)].Front()
				reply := d.Send(front, host, http.MethodPost, bookRoute+"2f", fmt.Sprintf("booking %d", n), time.Until(end))
				mu.Lock()
				replies[n] = append(replies[n], reply)
				mu.Unlock()
				if !promises(reply.Status) {
					return
				}
				time.Sleep(min(reply.RetryAfter, time.Until(end)/3))
			}
		})
		time.Sleep(bookingInterval)
	}
	group.Wait()
	return judgeRefused(d, replicas, replies), nil
}

// judgeRefused checks the rules REFUSED and TWICE.
func judgeRefused(d *Deployment, replicas []*Replica, replies map[int][]Reply) verdict {
	result, served, twice := held, 0, 0
	for n, attempts := range replies {
		ranBooking := 0
		for _, reply := range attempts {
			runs := 0
			for _, replica := range replicas {
				runs += len(replica.Runs(reply.ID))
			}
			ranBooking += runs
			if reply.Status == http.StatusOK {
				served++
			}
			if promises(reply.Status) && runs > 0 {
				d.Record.Line("REFUSED: %s was answered %d and has run", reply.ID, reply.Status)
				result = broken
			}
			if runs > 1 {
				d.Record.Line("TWICE: %s ran %d times", reply.ID, runs)
				result = broken
			}
		}
		if ranBooking > 1 {
			twice++
			d.Record.Line("booking %d ran %d times", n, ranBooking)
		}
	}
	d.Record.Line("%d bookings, %d answered with success, %d ran more than once, exit %d", len(replies), served, twice, result)
	if served == 0 {
		return failed
	}
	return result
}
