package hosted

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// tokensPerEvent is the length of the events of pacedStream.
const tokensPerEvent = 7

// pacedStream is an override that sends a stream of the announced length with an event
// each interval.
func pacedStream(interval time.Duration) hosting.Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		hint, _ := strconv.Atoi(r.Header.Get("Length-Hint"))
		for n := range hint / tokensPerEvent {
			fmt.Fprintf(w, "id: %d\ndata: event\n\n", n+1)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		return true
	}
}

// sendStream sends a request for a stream of the given number of events, and waits for its
// end or that of ctx.
func (n *testInstance) sendStream(ctx context.Context, id string, events int, deadline time.Duration) {
	req := n.request(http.MethodPost, "/grades/x", id, "body")
	req.Header.Set("Length-Hint", strconv.Itoa(events*tokensPerEvent))
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	n.send(req.WithContext(ctx))
}

func hasArrived(s *hosting.Server, id string) bool {
	return slices.ContainsFunc(s.Arrivals(), func(a hosting.Arrival) bool { return a.ID == id })
}

// TestLongStreamRunsWhereItEnds guards against long answers that are cut at their deadline
// on servers that send slowly, although their first token is in time, beside a region
// in which they would end.
func TestLongStreamRunsWhereItEnds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const slow = 50 * time.Millisecond
	f := newFleet(t)
	grades := newStreamRoute("grades")
	grades.Target = 30000
	f.configure(1, grades)
	here, there := f.startServer("drafts", "cairo-a", 0), f.startServer("drafts", "alex-a", 0)
	here.SetOverride(pacedStream(slow))
	there.SetOverride(pacedStream(0))
	n := f.startFor("alex-a", 1)[0].waitForServers(1)

	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	// Its events tell the present interval of the server.
	group.Go(func() { n.sendStream(ctx, "background", 4000, time.Minute) })
	f.eventually("background stream", func() bool { return hasArrived(here, "background") })
	var learning sync.WaitGroup
	for k := range 8 {
		learning.Go(func() { n.sendStream(ctx, fmt.Sprint("learning-", k), 5, time.Minute) })
	}
	learning.Wait()

	// It takes 10 s here, of 8 s.
	count := 0
	f.eventually("a long stream is sent to the other region", func() bool {
		count++
		id := fmt.Sprint("long-", count)
		attempt, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		n.sendStream(attempt, id, 200, 8*time.Second)
		return hasArrived(there, id)
	})
	for k := range 3 {
		id := fmt.Sprint("short-", k)
		n.sendStream(ctx, id, 4, time.Minute)
		c.Check(hasArrived(here, id), qt.IsTrue, qt.Commentf("%s", id))
	}
}
