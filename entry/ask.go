package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// errUnknownWork is the answer of an instance that does not know the work.
var errUnknownWork = errors.New("entry: unknown service or work")

// servicePath begins the path of a request that names its service and work.
const servicePath = "/services/"

// kindOf returns what a request asks for.
func (c *Client) kindOf(req *http.Request) kind {
	rest, ok := strings.CutPrefix(req.URL.Path, servicePath)
	if !ok {
		return kind{c.Service, c.Work}
	}
	service, rest, _ := strings.Cut(rest, "/")
	work, _, _ := strings.Cut(rest, "/")
	return kind{service, work}
}

// instances returns the instances for a kind of work, best first. An old
// answer is better than none: the instances themselves refuse what must not
// enter there.
func (c *Client) instances(ctx context.Context, k kind) ([]Instance, error) {
	old, fresh := c.cached(k)
	if fresh {
		return old, nil
	}
	for _, base := range c.sources(old) {
		next, err := c.ask(ctx, base, k)
		if errors.Is(err, errUnknownWork) && k != (kind{}) {
			return c.instances(ctx, kind{})
		}
		if err != nil || len(next.Instances) == 0 {
			continue
		}
		c.keep(k, next)
		return next.Instances, nil
	}
	if len(old) > 0 {
		return old, nil
	}
	return nil, ErrNoInstance
}

// cached returns the last answer and whether it holds. Of several requests that
// find it expired one asks.
func (c *Client) cached(k kind) (instances []Instance, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers[k]
	if a == nil {
		return nil, false
	}
	now := time.Now()
	fresh = now.Before(a.expires)
	if !fresh {
		a.expires = now.Add(refreshPause)
	}
	return a.Instances, fresh
}

func (c *Client) keep(k kind, answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == nil || len(c.answers) >= maxKinds {
		c.answers = make(map[kind]*cached)
	}
	now := time.Now()
	c.answers[k] = &cached{answer, now, now.Add(time.Duration(answer.TTLSeconds) * time.Second)}
}

// sources lists whom to ask: the instances known, then the bootstrap list, and
// last those that are avoided.
func (c *Client) sources(known []Instance) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var bases, avoided []string
	for _, i := range known {
		if time.Now().Before(c.avoided[i.URL]) {
			avoided = append(avoided, i.URL)
		} else {
			bases = append(bases, i.URL)
		}
	}
	return append(append(bases, c.Bootstrap...), avoided...)
}

func (c *Client) ask(ctx context.Context, base string, k kind) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"region": {c.Region}, "zone": {c.Zone}, "caller": {c.id()}}
	if k.service != "" {
		query.Set("service", k.service)
		query.Set("work", k.work)
	}
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
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Answer{}, errUnknownWork
	default:
		return Answer{}, errors.Errorf("entry: status %d", resp.StatusCode)
	}
	var answer Answer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
	return answer, err
}

// id returns a random text that stands for this caller, so that callers behind
// one address are spread too.
func (c *Client) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caller == "" {
		c.caller = rand.Text()
	}
	return c.caller
}
