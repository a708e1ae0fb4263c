package daemon

import (
	"net/http"
)

// ExplainPath is where the admin listener tells the log lines of a request,
// one JSON object a line. The query parameter is "request_id".
const ExplainPath = "/explain"

func (d *Daemon) answerExplain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	for _, line := range d.journal.Request(r.URL.Query().Get("request_id")) {
		_, _ = w.Write(line)
	}
}
