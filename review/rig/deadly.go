package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deadlyBody     = "deadly booking"
	deadlyRepeats  = 24
	deadlyInterval = 1500 * time.Millisecond
	downtime       = 3 * time.Second

	contact         = 6 * time.Second // contact-ms
	crashesTillRule = 3
	retriesAllowed  = 3 // after the crash of the third replica
)

// deadly sends a request that crashes each replica that begins to run it, again and
// again at any instance, beside bookings of other clients.
func deadly(d *Deployment, trouble bool) (verdict, error) {
	d.Store.Put("op/config", plainConfig(7))
	var mu sync.Mutex
	var crashes []time.Time
	var replicas []*Replica
	for n := range 6 {
		replica := &Replica{ID: fmt.Sprintf("i-order-%d", n+1), Service: bookService, Zone: "cairo-a", Work: 100 * time.Millisecond}
		replica.Begin = func(body string) {
			if trouble && body == deadlyBody {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				replica.Crash(downtime)
			}
		}
		if _, err := d.NewReplica(replica); err != nil {
			return failed, err
		}
		replicas = append(replicas, replica)
	}
	if err := d.Start("cairo-a", "cairo-a"); err != nil {
		return failed, err
	}
	time.Sleep(contact) // from here on the instances are in touch
	var group sync.WaitGroup
	var over, served, unanswered atomic.Int64
	group.Go(func() {
		for n := 0; over.Load() == 0; n++ {
			group.Go(func() {
				if reply := d.Send(d.instances[n%2].Front(), host, http.MethodPost, bookRoute+"2f", fmt.Sprintf("booking %d", n), bookingBudget); reply.Status == http.StatusOK {
					served.Add(1)
				} else {
					unanswered.Add(1)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	type repeat struct {
		at    time.Time
		reply Reply
	}
	var repeats []repeat
	for n := range deadlyRepeats {
		at := time.Now()
		repeats = append(repeats, repeat{at, d.Send(d.instances[n%2].Front(), host, http.MethodPost, bookRoute+"2f", deadlyBody, bookingBudget)})
		time.Sleep(deadlyInterval)
	}
	over.Store(1)
	group.Wait()
	late := 0
	for _, r := range repeats {
		for _, replica := range replicas {
			runs := len(replica.Runs(r.reply.ID))
			if len(crashes) >= crashesTillRule && r.at.After(crashes[crashesTillRule-1].Add(contact)) && runs > 0 {
				late += runs
				d.Record.Line("%s, sent more than %v after the crash of replica %d, reached %s", r.reply.ID, contact, crashesTillRule, replica.ID)
			}
		}
	}
	result := held
	if late > retriesAllowed {
		d.Record.Line("BUDGET: a request under which three replicas had crashed reached replicas %d times more", late)
		result = broken
	}
	d.Record.Line("%d crashes; of the other bookings %d served, %d not; exit %d", len(crashes), served.Load(), unanswered.Load(), result)
	if served.Load() == 0 {
		return failed, nil
	}
	return result, nil
}
