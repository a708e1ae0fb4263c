package filters

import (
	"hash/maphash"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Reader reads what the header of a request tells of it.
type Reader interface {
	// Read sets the tokens and the prefix of x, and returns the time that the
	// caller waits; 0 if it does not say.
	Read(x *Exchange) (time.Duration, error)
}

// Match finds the service and the work of a request by its host and path.
type Match struct {
	Reader Reader
}

// unboundedWait is the deadline of a request whose caller and route state none.
const unboundedWait = time.Minute

// Name implements Filter.
func (Match) Name() string { return "match" }

// Handle implements Filter.
func (f Match) Handle(x *Exchange, next Handler) *outcome.Error {
	target := x.Request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(target, "/") {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "the request target must be a path")
	}
	wait, err := f.Reader.Read(x)
	if err != nil {
		refusal := outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "bad header: %v", err)
		refusal.Cause = err
		return refusal
	}
	route := x.Snapshot.Routes.Find(x.Request.Host, path)
	if route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownService, "no route for this host and path")
	}
	name := route.Target(position(x.ID))
	x.Service = x.Snapshot.Services[name]
	x.Work = x.Service.Work[route.Name]
	x.Path = target
	x.Stream = x.Work.Streamed
	x.Deadline = x.Received.Add(earliest(wait, route.Timeout))
	if x.Work.Patience > 0 {
		// The caller counts from when it sent the request, and so has left by then.
		x.FirstBy = x.Received.Add(x.Work.Patience)
	}
	return next(x)
}

// earliest returns the shortest of the times that are stated.
func earliest(times ...time.Duration) time.Duration {
	least := unboundedWait
	for _, t := range times {
		if t > 0 {
			least = min(least, t)
		}
	}
	return least
}

var positionSeed = maphash.MakeSeed()

// position spreads requests evenly between 0 and 1.
func position(id string) float64 {
	return float64(maphash.String(positionSeed, id)>>11) / (1 << 53)
}
