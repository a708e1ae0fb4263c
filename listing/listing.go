// Package listing is the client of the platform's list of backend servers
// and of its directory of entry instances.
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

// callTimeout bounds one call.
const callTimeout = 2 * time.Second

// maxAnswerBytes bounds one answer.
const maxAnswerBytes = 16 << 20

// Instance is an entry instance as the directory shows it.
type Instance struct {
	ID          string `json:"id"`
	URL         string `json:"url"`          // base URL for callers
	PeerAddr    string `json:"peer_addr"`    // host:port for requests of other instances
	ControlAddr string `json:"control_addr"` // host:port for control messages of other instances
	Region      string `json:"region"`
	Zone        string `json:"zone"`
}

// Client calls the platform over HTTP.
type Client struct {
	base string
	http *http.Client

	mu   sync.Mutex
	list serverList // the last one, for conditional requests
}

// serverList is a list of backend servers with its entity tag.
type serverList struct {
	region, etag string
	servers      []backend.Info
}

// New returns a client of the platform at base, such as
// "http://127.0.0.1:8600".
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}
}

// Servers returns the listed backend servers of a region. The list lags. An
// unchanged list is not sent again.
func (c *Client) Servers(ctx context.Context, region string) ([]backend.Info, error) {
	servers, err := c.servers(ctx, region)
	return servers, wrap(err, "list backend servers")
}

func (c *Client) servers(ctx context.Context, region string) ([]backend.Info, error) {
	c.mu.Lock()
	known := c.list
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/servers?region="+url.QueryEscape(region), http.NoBody)
	if err != nil {
		return nil, err
	}
	if known.region == region && known.etag != "" {
		req.Header.Set("If-None-Match", known.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return known.servers, nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	var answer struct {
		Servers []backend.Info `json:"servers"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.list = serverList{region: region, etag: resp.Header.Get("ETag"), servers: answer.Servers}
	c.mu.Unlock()
	return answer.Servers, nil
}

// Instances returns the entry instances of a region, or of all regions if
// region is empty.
func (c *Client) Instances(ctx context.Context, region string) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/directory?region="+url.QueryEscape(region), nil, &answer)
	return answer.Instances, wrap(err, "list instances")
}

// Register enters an instance into the directory for ttl.
func (c *Client) Register(ctx context.Context, instance Instance, ttl time.Duration) error {
	request := struct {
		Instance
		TTLSeconds float64 `json:"ttl_seconds"`
	}{instance, ttl.Seconds()}
	err := c.call(ctx, http.MethodPut, "/v1/directory/"+url.PathEscape(instance.ID), request, nil)
	return wrap(err, "register")
}

// Deregister removes an instance from the directory.
func (c *Client) Deregister(ctx context.Context, id string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/directory/"+url.PathEscape(id), nil, nil)
	return wrap(err, "deregister")
}

// wrap names the call that failed. A nil err stays nil.
func wrap(err error, call string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, call)
}

func (c *Client) call(ctx context.Context, method, path string, request, answer any) error {
	var body bytes.Buffer
	if request != nil {
		if err := json.NewEncoder(&body).Encode(request); err != nil {
			return errors.Wrap(err, "encode")
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
		return errors.Errorf("status %d", resp.StatusCode)
	}
	if answer == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return err
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer)
}
