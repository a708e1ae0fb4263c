package filters

import (
	"hash/maphash"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// HeaderReader reads the routing hints and the timeout in the header of a
// request.
type HeaderReader interface {
	// Read sets the tokens and the prefix of x, and returns the caller's timeout;
	// 0 if the header has none.
	Read(x *Exchange) (time.Duration, error)
}

// Match sets the service and the work of a request by the route of its host and
// path.
type Match struct {
	Reader HeaderReader
}

// maxTimeout is the longest timeout of a request. It applies if neither the caller
// nor the route sets a shorter one; a longer timeout of a route is cut to it.
const maxTimeout = time.Minute

// Name implements Filter.
func (Match) Name() string { return "match" }

// Handle implements Filter.
func (f Match) Handle(x *Exchange, next Handler) *outcome.Error {
	target := x.Request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(target, "/") {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "the request target must be a path")
	}
	timeout, err := f.Reader.Read(x)
	if err != nil {
		refusal := outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "bad header: %v", err)
		refusal.Cause = err
		return refusal
	}
	route := x.Snapshot.Routes.Find(x.Request.Host, path)
	if route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownService, "no route for this host and path")
	}
	name := route.SelectService(hashFraction(x.ID))
	x.Service = x.Snapshot.Services[name]
	x.Work = x.Service.Work[route.Name]
	x.Path = target
	x.Stream = x.Work.Streamed
	x.Deadline = x.Received.Add(shortestTimeout(timeout, route.Timeout))
	if x.Work.FirstEventTimeout > 0 {
		// The caller measures from when it sent the request, which is before
		// Received, and so has disconnected by this time.
		x.FirstEventDeadline = x.Received.Add(x.Work.FirstEventTimeout)
	}
	return next(x)
}

// shortestTimeout returns the shortest of the positive timeouts and maxTimeout.
func shortestTimeout(timeouts ...time.Duration) time.Duration {
	shortest := maxTimeout
	for _, timeout := range timeouts {
		if timeout > 0 {
			shortest = min(shortest, timeout)
		}
	}
	return shortest
}

var hashSeed = maphash.MakeSeed()

// hashFraction hashes a request id to a number of at least 0 and less than 1.
// The numbers of different ids are evenly distributed.
func hashFraction(id string) float64 {
	return float64(maphash.String(hashSeed, id)>>11) / (1 << 53)
}
