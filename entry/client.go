package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Limits of the client.
const (
	maxAttempts        = 4                // per request, including those that resume its stream
	ejectDuration      = 10 * time.Second // ejection of an instance after a failure
	maxEjectDuration   = 30 * time.Second // maximum ejection, for example by Retry-After
	queryTimeout       = 2 * time.Second  // of a query for instances at one instance
	maxCachedResponses = 64               // lists of instances, one per kind of work
	minRefreshInterval = time.Second      // an expired list is used while one request refreshes it
	maxResponseBytes   = 64 << 10
)

// ErrNoInstance is returned when no instance is known and no queried instance
// returns any.
var ErrNoInstance = errors.New("entry: no queried instance returned any entry instances")

// Client is an http.RoundTripper that sends each request to the preferred entry
// instance of the list that an instance returned. Use it as the Transport of
// the http.Client of any API client; it replaces the scheme and host of the
// request's URL. It resends a request only if the request is known not to have
// run, and resumes broken event streams. It is safe for concurrent use; its
// fields must not be changed after the first request.
type Client struct {
	// Bootstrap lists base URLs of instances to query first, and whenever the
	// known instances return no list.
	Bootstrap []string
	// Region and Zone are those in which the caller runs.
	Region, Zone string
	// Service and Work apply to requests whose path does not name them, so that
	// data that must stay in a region is sent only to that region.
	Service, Work string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper

	mu           sync.Mutex
	caller       string
	responses    map[workKind]*cachedResponse
	ejectedUntil map[string]time.Time // by base URL
}

// workKind identifies the work that a request is for. It is the zero value if
// none is specified.
type workKind struct{ service, work string }

// cachedResponse is the response to a query for instances.
type cachedResponse struct {
	Response
	receivedAt, expires time.Time
}

// RoundTrip implements http.RoundTripper.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	t := &roundTrip{client: c, req: req}
	resp, err := t.run()
	if err != nil {
		return nil, err
	}
	return t.resumable(resp), nil
}

// Instances returns the instances for the client's Service and Work in order of
// preference.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	return c.instances(ctx, workKind{c.Service, c.Work})
}

// eject makes requests prefer other instances for duration d, at most
// maxEjectDuration. It also lets the cached lists expire early, since other
// instances may have been replaced too, but not before they are
// minRefreshInterval old: otherwise each failed request would cause a query.
func (c *Client) eject(base string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ejectedUntil == nil {
		c.ejectedUntil = make(map[string]time.Time)
	}
	for other, until := range c.ejectedUntil {
		if now.After(until) {
			delete(c.ejectedUntil, other)
		}
	}
	c.ejectedUntil[base] = now.Add(min(d, maxEjectDuration))
	for _, a := range c.responses {
		if earliest := a.receivedAt.Add(minRefreshInterval); a.expires.After(earliest) {
			a.expires = earliest
		}
	}
}

// pickInstance returns the base URL of the first instance that is neither tried
// nor ejected. If there is none, it returns the first that is not tried, since
// an ejected instance is better than none, or "" if all have been tried.
func (c *Client) pickInstance(instances []Instance, tried map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	fallback := ""
	for _, i := range instances {
		if tried[i.URL] {
			continue
		}
		if time.Now().After(c.ejectedUntil[i.URL]) {
			return i.URL
		}
		if fallback == "" {
			fallback = i.URL
		}
	}
	return fallback
}

// expireCache makes the next request of a kind query for instances again.
func (c *Client) expireCache(k workKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.responses[k]; a != nil {
		a.expires = time.Time{}
	}
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}
