package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	targetRequests = 20
	targetInterval = 80 * time.Millisecond
)

// changedTarget sends requests whose path begins with an empty segment, on a route with
// the prefix "/".
func changedTarget(d *Deployment, trouble bool) (verdict, error) {
	config := plainConfig(7)
	config["routes"].([]any)[0].(map[string]any)["prefix"] = "/"
	d.Store.Put("op/config", config)
	target := "/pule252/2f"
	if trouble {
		target = "/" + target
	}
	var replicas []*Replica
	for n := range 3 {
		replica, err := d.NewReplica(&Replica{ID: fmt.Sprintf("i-order-%d", n+1), Service: bookService, Zone: "cairo-a", Work: 30 * time.Millisecond})
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, replica)
	}
	if err := d.Start("cairo-a"); err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	replies := make([]Reply, targetRequests)
	for n := range targetRequests {
		group.Go(func() {
			replies[n] = d.Send(d.instances[0].Front(), host, http.MethodPost, target, fmt.Sprintf("booking %d", n), bookingBudget)
		})
		time.Sleep(targetInterval)
	}
	group.Wait()
	result, runs := held, 0
	for _, reply := range replies {
		for _, replica := range replicas {
			for _, run := range replica.Runs(reply.ID) {
				runs++
				if run.Path != target || run.Host != host {
					d.Record.Line("UNASKED: %s was sent as %s of host %s and has run as %s of host %s", reply.ID, target, host, run.Path, run.Host)
					result = broken
				}
			}
		}
	}
	d.Record.Line("%d requests, %d runs, exit %d", len(replies), runs, result)
	if runs == 0 {
		return failed, nil
	}
	return result, nil
}
