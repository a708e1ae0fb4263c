package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stopRequests = 60
	stopInterval = 50 * time.Millisecond
	stopWork     = 900 * time.Millisecond
	stopAt       = 2 * time.Second
	stopAgain    = time.Second // after the first SIGTERM
)

// stoppedTwice stops one of two instances with SIGTERM, and sends SIGTERM again while it
// drains.
func stoppedTwice(d *Deployment, trouble bool) (verdict, error) {
	d.Store.Put("op/config", plainConfig(7))
	var replicas []*Replica
	for n := range 6 {
		replica, err := d.NewReplica(&Replica{ID: fmt.Sprintf("i-order-%d", n+1), Service: bookService, Zone: "cairo-a", Work: stopWork})
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, replica)
	}
	if err := d.Start("cairo-a", "cairo-a"); err != nil {
		return failed, err
	}
	stopped := d.instances[0]
	time.AfterFunc(stopAt, func() {
		d.Record.Line("SIGTERM to %s", stopped.Node)
		_ = stopped.Command.Process.Signal(syscall.SIGTERM)
	})
	if trouble {
		time.AfterFunc(stopAt+stopAgain, func() {
			d.Record.Line("SIGTERM to %s again", stopped.Node)
			_ = stopped.Command.Process.Signal(syscall.SIGTERM)
		})
	}
	var group sync.WaitGroup
	replies := make([]Reply, stopRequests)
	for n := range stopRequests {
		group.Go(func() {
			replies[n] = d.Send(stopped.Front(), host, http.MethodPost, bookRoute+"2f", fmt.Sprintf("booking %d", n), bookingBudget)
		})
		time.Sleep(stopInterval)
	}
	group.Wait()
	result, served, lost := held, 0, 0
	for _, reply := range replies {
		if reply.Status == http.StatusOK {
			served++
		}
		for _, replica := range replicas {
			if len(replica.Runs(reply.ID)) > 0 && (reply.Status == 0 || reply.Err != nil) {
				lost++
				d.Record.Line("LOST: %s was passed on to %s, and its channel ended without an answer: %v", reply.ID, replica.ID, reply.Err)
				result = broken
			}
		}
	}
	d.Record.Line("%d requests, %d served, %d lost, exit %d", len(replies), served, lost, result)
	if served == 0 {
		return failed, nil
	}
	return result, nil
}
