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

// errUnknownWork is returned for a query with a service or work that is not in
// the configuration of the queried instance.
var errUnknownWork = errors.New("entry: query for instances: unknown service or work")

// servicePath begins the path of a request that names its service and work.
const servicePath = "/services/"

// workKindOf returns the service and work in the path of a request, or else
// those of the client.
func (c *Client) workKindOf(req *http.Request) workKind {
	rest, ok := strings.CutPrefix(req.URL.Path, servicePath)
	if !ok {
		return workKind{c.Service, c.Work}
	}
	service, rest, _ := strings.Cut(rest, "/")
	work, _, _ := strings.Cut(rest, "/")
	return workKind{service, work}
}

// instances returns the instances for a kind of work in order of preference. If
// no current list can be fetched, it returns the expired one: an instance
// refuses by itself requests that must not enter there. For work that is not in
// the configuration of a queried instance, it returns the instances for
// unspecified work.
func (c *Client) instances(ctx context.Context, k workKind) ([]Instance, error) {
	cached, fresh := c.cachedInstances(k)
	if fresh {
		return cached, nil
	}
	for _, base := range c.queryURLs(cached) {
		response, err := c.fetchInstances(ctx, base, k)
		if errors.Is(err, errUnknownWork) && k != (workKind{}) {
			return c.instances(ctx, workKind{})
		}
		if err != nil || len(response.Instances) == 0 {
			continue
		}
		c.cacheResponse(k, response)
		return response.Instances, nil
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, ErrNoInstance
}

// cachedInstances returns the cached list and whether it is still valid. An
// expired list becomes valid for another minRefreshInterval, so that only one
// of several concurrent requests refreshes it.
func (c *Client) cachedInstances(k workKind) (instances []Instance, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.responses[k]
	if cached == nil {
		return nil, false
	}
	now := time.Now()
	fresh = now.Before(cached.expires)
	if !fresh {
		cached.expires = now.Add(minRefreshInterval)
	}
	return cached.Instances, fresh
}

func (c *Client) cacheResponse(k workKind, response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responses == nil || len(c.responses) >= maxCachedResponses {
		c.responses = make(map[workKind]*cachedResponse)
	}
	now := time.Now()
	c.responses[k] = &cachedResponse{response, now, now.Add(time.Duration(response.TTLSeconds) * time.Second)}
}

// queryURLs returns the base URLs to query, in this order: known instances that
// are not ejected, the bootstrap list, ejected instances.
func (c *Client) queryURLs(known []Instance) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var bases, ejected []string
	for _, i := range known {
		if time.Now().Before(c.ejectedUntil[i.URL]) {
			ejected = append(ejected, i.URL)
		} else {
			bases = append(bases, i.URL)
		}
	}
	return append(append(bases, c.Bootstrap...), ejected...)
}

func (c *Client) fetchInstances(ctx context.Context, base string, k workKind) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query := url.Values{"region": {c.Region}, "zone": {c.Zone}, "caller": {c.callerID()}}
	if k.service != "" {
		query.Set("service", k.service)
		query.Set("work", k.work)
	}
	target := strings.TrimSuffix(base, "/") + Path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Response{}, err
	}
	resp, err := c.transport().RoundTrip(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Response{}, errUnknownWork
	default:
		return Response{}, errors.Errorf("entry: query %s for instances: status %d", base, resp.StatusCode)
	}
	var response Response
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response)
	return response, err
}

// callerID returns a random id for this caller, so that callers behind the same
// address are distributed over the instances too.
func (c *Client) callerID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caller == "" {
		c.caller = rand.Text()
	}
	return c.caller
}
