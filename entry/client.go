package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// maxAnswerBytes bounds an Answer on the wire.
const maxAnswerBytes = 64 << 10

// Client is an http.RoundTripper that sends each request to the entry
// instance that the system names. Put it into the http.Client of any API
// client; the host of the request's URL is replaced.
type Client struct {
	// Bootstrap lists URLs of instances to ask first.
	Bootstrap []string
	// Region and Zone are the caller's own.
	Region, Zone string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper

	mu      sync.Mutex
	answer  Answer
	expires time.Time
}

// ErrNoInstance is returned when no instance answers.
var ErrNoInstance = errors.New("entry: no instance answers")

// maxRounds bounds how often the system is asked for one request.
const maxRounds = 2

// RoundTrip implements http.RoundTripper. A request that was refused as not
// run is sent to the next instance if its body can be had again. If no known
// instance is left, the system is asked once more: several instances may have
// been replaced since its last answer.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	tried := make(map[string]bool)
	var resp *http.Response
	err := ErrNoInstance
	for range maxRounds {
		instances, askErr := c.Instances(req.Context())
		if askErr != nil {
			break
		}
		for _, instance := range instances {
			if tried[instance.URL] {
				continue
			}
			if resp != nil {
				_ = resp.Body.Close()
			}
			resp, err = c.try(req, instance.URL, len(tried) > 0)
			tried[instance.URL] = true
			if !notRun(resp, err) || !canResend(req) {
				return resp, err
			}
		}
	}
	return resp, err
}

// try sends req to the instance at base. An instance that cannot be reached or
// that is leaving makes the next request ask again.
func (c *Client) try(req *http.Request, base string, again bool) (*http.Response, error) {
	attempt, err := redirect(req, base, again)
	if err != nil {
		return nil, err
	}
	resp, err := c.transport().RoundTrip(attempt)
	if err != nil || refusedForNow(resp) && resp.Close {
		c.forget()
	}
	return resp, err
}

// notRun reports whether another instance may serve the request.
func notRun(resp *http.Response, err error) bool {
	if err != nil {
		return neverConnected(err)
	}
	return refusedForNow(resp)
}

// refusedForNow reports whether another instance may serve what this one
// refused.
func refusedForNow(resp *http.Response) bool {
	notRun := outcome.Parse(resp.Header.Get(outcome.Header)) == outcome.NotRun
	return notRun && resp.StatusCode == http.StatusServiceUnavailable
}

func canResend(req *http.Request) bool {
	return req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
}

// redirect returns a copy of req for the instance at base.
func redirect(req *http.Request, base string, again bool) (*http.Request, error) {
	target, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "entry: URL of an instance")
	}
	attempt := req.Clone(req.Context())
	attempt.URL.Scheme = target.Scheme
	attempt.URL.Host = target.Host
	attempt.Host = ""
	if again && req.GetBody != nil {
		attempt.Body, err = req.GetBody()
	}
	return attempt, err
}

// Instances returns the instances to use, best first.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	answer, fresh := c.answer, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return answer.Instances, nil
	}
	for _, base := range c.sources(answer) {
		next, err := c.ask(ctx, base)
		if err != nil || len(next.Instances) == 0 {
			continue
		}
		c.mu.Lock()
		c.answer = next
		c.expires = time.Now().Add(time.Duration(next.TTLSeconds) * time.Second)
		c.mu.Unlock()
		return next.Instances, nil
	}
	if len(answer.Instances) > 0 {
		return answer.Instances, nil
	}
	return nil, ErrNoInstance
}

// sources lists whom to ask: the instances known, then the bootstrap list.
func (c *Client) sources(answer Answer) []string {
	var bases []string
	for _, i := range answer.Instances {
		bases = append(bases, i.URL)
	}
	return append(bases, c.Bootstrap...)
}

func (c *Client) ask(ctx context.Context, base string) (Answer, error) {
	query := url.Values{"region": {c.Region}, "zone": {c.Zone}}
	target := strings.TrimSuffix(base, "/") + Path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Answer{}, err
	}
	resp, err := c.transport().RoundTrip(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Answer{}, errors.Errorf("entry: status %d", resp.StatusCode)
	}
	var answer Answer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
	return answer, err
}

// forget makes the next request ask again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}

// neverConnected reports whether err arose before a connection existed.
func neverConnected(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
