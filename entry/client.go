package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of the client.
const (
	maxAttempts    = 4                // of one request, also to resume its stream
	ejectTime      = 10 * time.Second // that an instance is avoided after a failure
	maxAvoidTime   = 30 * time.Second // that a Retry-After keeps an instance out
	askTimeout     = 2 * time.Second  // of the question to one instance
	maxKinds       = 64               // kinds of work with an answer of their own
	refreshPause   = time.Second      // an old answer is used while one request asks anew
	maxAnswerBytes = 64 << 10
)

// ErrNoInstance is returned when no instance answers.
var ErrNoInstance = errors.New("entry: no instance answers")

// Client is an http.RoundTripper that sends each request to the entry
// instance that the system names. Put it into the http.Client of any API
// client; the host of the request's URL is replaced. It sends a request again
// only if it is known not to have run, and resumes broken streams of events.
// It is safe for concurrent use; its fields must not change once it is used.
type Client struct {
	// Bootstrap lists URLs of instances to ask first.
	Bootstrap []string
	// Region and Zone are the caller's own.
	Region, Zone string
	// Service and Work name what is asked for by requests whose path does not,
	// so that data which must stay in a region is sent there only.
	Service, Work string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper

	mu      sync.Mutex
	caller  string
	answers map[kind]*cached
	avoided map[string]time.Time // by URL: until when
}

// kind is what a request asks for.
type kind struct{ service, work string }

// cached is an answer, when it was given and until when it holds.
type cached struct {
	Answer
	since, expires time.Time
}

// RoundTrip implements http.RoundTripper.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	t := &trip{client: c, req: req}
	resp, err := t.run()
	if err != nil {
		return nil, err
	}
	return t.resumable(resp), nil
}

// Instances returns the instances to use, best first.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	return c.instances(ctx, kind{c.Service, c.Work})
}

// avoid keeps requests off an instance for a while. Instances are asked for
// anew, since others may have been replaced too, but not once for each request
// that fails.
func (c *Client) avoid(base string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.avoided == nil {
		c.avoided = make(map[string]time.Time)
	}
	for other, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, other)
		}
	}
	c.avoided[base] = now.Add(min(d, maxAvoidTime))
	for _, a := range c.answers {
		if soon := a.since.Add(refreshPause); a.expires.After(soon) {
			a.expires = soon
		}
	}
}

// usable returns the first instance that has not been tried and is not
// avoided, or else the first that has not been tried: an instance that failed
// is better than none.
func (c *Client) usable(instances []Instance, tried map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := ""
	for _, i := range instances {
		if tried[i.URL] {
			continue
		}
		if time.Now().After(c.avoided[i.URL]) {
			return i.URL
		}
		if second == "" {
			second = i.URL
		}
	}
	return second
}

// forget makes the next request of a kind ask again.
func (c *Client) forget(k kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.answers[k]; a != nil {
		a.expires = time.Time{}
	}
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}
