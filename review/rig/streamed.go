package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	draftRoute    = "/lohu930/" // may not be resumed
	gradeRoute    = "/pufi791/" // may be resumed
	engineService = "huvo11a"
	streams       = 24
	streamBudget  = 5 * time.Second
	pieceInterval = 20 * time.Millisecond
)

// Texts that an engine generates, a word in each event.
const (
	plainText = "An answer of that interface is a stream whose last event reads END so that a reader knows that it is whole"
	doneText  = "An answer of that interface is a stream whose last event reads [DONE] so that a reader knows that it is whole"
)

func streamConfig(version int) map[string]any {
	route := func(name, prefix string, attempts int, resumable bool) any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "type": "stream", "timeout-ms": 5000, "slo-ms": 800, "priority": 0,
			"service": engineService, "attempts": attempts, "sticky": true, "resumable": resumable, "gap-slo-ms": 400, "home-regions": []string{},
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-draft", draftRoute, 1, false), route("r-grade", gradeRoute, 2, true)},
		"services": []any{map[string]any{
			"name": engineService, "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": false, "warmup-s": 3.0, "warmup-per-s": 2.3,
			"engine": map[string]any{
				"slots": 64, "kv-capacity": 339710, "kv-token-bytes": 18432, "link-mbps": 180000.0, "moves": true, "backups": true,
				"stride": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// streamOf returns the whole stream of a text.
func streamOf(text string) string {
	var stream strings.Builder
	for n, word := range strings.Fields(text) {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n+1, word)
	}
	return stream.String()
}

// generate answers with the stream of a text, from the event on that the request asks
// for.
func generate(w http.ResponseWriter, r *http.Request, text string) bool {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscanf(last, "%d", &first); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return true
		}
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Signature", sign(text))
	for n, word := range strings.Fields(text) {
		if n+1 < first {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, word); err != nil {
			return true
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pieceInterval):
		case <-r.Context().Done():
			return true
		}
	}
	return true
}

// cutShort lets sound engines generate a text in which a word in the middle reads
// "[DONE]".
func cutShort(d *Deployment, trouble bool) (verdict, error) {
	text := plainText
	if trouble {
		text = doneText
	}
	d.Store.Put("op/config", streamConfig(7))
	for n := range 3 {
		_, err := d.NewReplica(&Replica{
			ID: fmt.Sprintf("i-engine-%d", n+1), Service: engineService, Zone: "cairo-a", Work: 20 * time.Millisecond,
			Answer: func(w http.ResponseWriter, r *http.Request) bool { return generate(w, r, text) },
		})
		if err != nil {
			return failed, err
		}
	}
	if err := d.Start("cairo-a", "cairo-a"); err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	replies := make([]Reply, streams)
	for n := range streams {
		group.Go(func() {
			route := []string{draftRoute, gradeRoute}[n%2]
			front := d.instances[n/2%len(d.instances)].Front()
			replies[n] = d.Send(front, host, http.MethodPost, route+"2f", fmt.Sprintf("prompt %d", n), streamBudget)
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	return judgeStreams(d, replies, streamOf(text)), nil
}

// judgeStreams checks the rule ORDER: a stream that ends as complete has all pieces.
func judgeStreams(d *Deployment, replies []Reply, whole string) verdict {
	result, complete, cut := held, 0, 0
	for _, reply := range replies {
		switch {
		case reply.Status != http.StatusOK || reply.Err != nil:
		case reply.Body == whole:
			complete++
		default:
			cut++
			d.Record.Line("ORDER: the stream of %s ends as complete after %d of %d bytes", reply.ID, len(reply.Body), len(whole))
			result = broken
		}
	}
	d.Record.Line("%d streams, %d whole, %d that end early as complete, exit %d", len(replies), complete, cut, result)
	if complete+cut == 0 {
		return failed
	}
	return result
}
