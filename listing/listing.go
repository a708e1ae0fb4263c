// Package listing is a client for the platform's list of backend servers and
// its directory of gateway instances.
package listing

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// callTimeout limits one HTTP request, including reading the response.
const callTimeout = 2 * time.Second

// maxResponseBytes is the maximum size of a response body that is read.
const maxResponseBytes = 16 << 20

// Instance is a gateway instance as registered in the directory.
type Instance struct {
	ID          string `json:"id"`
	URL         string `json:"url"`          // base URL for callers
	PeerAddr    string `json:"peer_addr"`    // host:port for requests of other instances
	ControlAddr string `json:"control_addr"` // host:port for control messages of other instances
	Region      string `json:"region"`
	Zone        string `json:"zone"`
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	mu     sync.Mutex
	cached cachedServers // last list received, for conditional requests
}

// cachedServers is a list of backend servers with its entity tag.
type cachedServers struct {
	region, etag string
	servers      []backend.Info
}

// New returns a client of the platform at base, such as
// "http://127.0.0.1:8600".
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}
}

// Servers returns the backend servers of a region that the platform lists. The
// list lags behind the actual servers. It is requested conditionally (with its
// entity tag), so that an unchanged list is not transferred again. Callers must
// not modify the returned slice.
func (c *Client) Servers(ctx context.Context, region string) ([]backend.Info, error) {
	servers, err := c.servers(ctx, region)
	return servers, wrap(err, "list backend servers")
}

func (c *Client) servers(ctx context.Context, region string) ([]backend.Info, error) {
	c.mu.Lock()
	cached := c.cached
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/servers?region="+url.QueryEscape(region), http.NoBody)
	if err != nil {
		return nil, err
	}
	if cached.region == region && cached.etag != "" {
		req.Header.Set("If-None-Match", cached.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return cached.servers, nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("region %q: status %d", region, resp.StatusCode)
	}
	var response struct {
		Servers []backend.Info `json:"servers"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.cached = cachedServers{region: region, etag: resp.Header.Get("ETag"), servers: response.Servers}
	c.mu.Unlock()
	return response.Servers, nil
}

// Instances returns the gateway instances of a region, or of all regions if
// region is empty.
func (c *Client) Instances(ctx context.Context, region string) ([]Instance, error) {
	var response struct {
		Instances []Instance `json:"instances"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/directory?region="+url.QueryEscape(region), nil, &response)
	return response.Instances, wrap(err, "list instances in directory")
}

// Register adds an instance to the directory, or renews its entry. The entry
// expires after ttl.
func (c *Client) Register(ctx context.Context, instance Instance, ttl time.Duration) error {
	request := struct {
		Instance
		TTLSeconds float64 `json:"ttl_seconds"`
	}{instance, ttl.Seconds()}
	err := c.call(ctx, http.MethodPut, "/v1/directory/"+url.PathEscape(instance.ID), request, nil)
	return wrap(err, "register instance in directory")
}

// Deregister removes an instance from the directory.
func (c *Client) Deregister(ctx context.Context, id string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/directory/"+url.PathEscape(id), nil, nil)
	return wrap(err, "deregister instance from directory")
}

// wrap adds the failed operation to err. It returns nil if err is nil.
func wrap(err error, operation string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, operation)
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	var body bytes.Buffer
	if request != nil {
		if err := json.NewEncoder(&body).Encode(request); err != nil {
			return errors.Wrap(err, "encode request body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, &body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if response == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return err
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(response)
}
