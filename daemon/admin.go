package daemon

import (
	"net/http"
)

// ExplainPath is the path on the admin listener that returns the retained log
// lines of a request, one JSON object per line. The query parameter is
// "request_id".
const ExplainPath = "/explain"

func (d *Daemon) handleExplain(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	for _, line := range d.recentLog.RequestLines(r.URL.Query().Get("request_id")) {
		_, _ = w.Write(line)
	}
}
