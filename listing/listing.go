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
	"github.com/fuchsiastack/fuchsiastack/internal/boundedhttp"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
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
	// RejectedServer and RejectedInstance are called for an entry of a list that
	// cannot be used: when it first appears, and when the cause changes. object is
	// the id, or the beginning of the entry if that has none. Nil for none; they
	// must be set before the first call.
	RejectedServer, RejectedInstance func(object string, err error)

	base string
	http *http.Client

	mu     sync.Mutex
	cached cachedServers // last list received, for conditional requests
	// Errors of the last lists by object, to report each only once.
	serverErrors, instanceErrors map[string]string
}

// cachedServers is a list of backend servers with its entity tag.
type cachedServers struct {
	region, etag string
	servers      []backend.Info
}

// New returns a client of the platform at base, such as
// "http://127.0.0.1:8600".
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout, Transport: boundedhttp.NewTransport()}}
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
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, err
	}
	servers, rejected := decodeEntries(response.Servers, (*backend.Info).Validate, func(i *backend.Info) string { return i.ID })
	report(c, rejected, &c.serverErrors, c.RejectedServer)
	c.mu.Lock()
	c.cached = cachedServers{region: region, etag: resp.Header.Get("ETag"), servers: servers}
	c.mu.Unlock()
	return servers, nil
}

// decodeEntries decodes each entry of a list on its own, so that one that cannot
// be used does not hide the others. It returns the errors of those by object.
func decodeEntries[T any](texts []json.RawMessage, validate func(*T) error, id func(*T) string) (entries []T, rejected map[string]error) {
	rejected = make(map[string]error)
	for _, text := range texts {
		var entry T
		err := check.DecodeJSON(text, &entry)
		if err == nil {
			err = validate(&entry)
		}
		if err == nil {
			entries = append(entries, entry)
			continue
		}
		object := check.Shorten(id(&entry))
		if object == "" {
			object = check.Shorten(string(text))
		}
		rejected[object] = err
	}
	return entries, rejected
}

// report calls observe for the rejected entries whose errors are not in *known,
// and stores the errors there.
func report(c *Client, rejected map[string]error, known *map[string]string, observe func(object string, err error)) {
	texts := make(map[string]string, len(rejected))
	c.mu.Lock()
	before := *known
	for object, err := range rejected {
		texts[object] = err.Error()
	}
	*known = texts
	c.mu.Unlock()
	for object, err := range rejected {
		if observe != nil && before[object] != texts[object] {
			observe(object, err)
		}
	}
}

// validate returns a *check.FieldError if the instance has no id or an address that
// cannot be dialed. Addresses are optional.
func (i *Instance) validate() error {
	if i.ID == "" {
		return check.Field("id", i.ID, check.ErrMissing)
	}
	if i.PeerAddr != "" {
		if err := check.Addr(i.PeerAddr); err != nil {
			return check.Field("peer_addr", i.PeerAddr, err)
		}
	}
	if i.ControlAddr != "" {
		return check.Field("control_addr", i.ControlAddr, check.Addr(i.ControlAddr))
	}
	return nil
}

// Instances returns the gateway instances of a region, or of all regions if
// region is empty.
func (c *Client) Instances(ctx context.Context, region string) ([]Instance, error) {
	var response struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err := c.call(ctx, http.MethodGet, "/v1/directory?region="+url.QueryEscape(region), nil, &response); err != nil {
		return nil, wrap(err, "list instances in directory")
	}
	instances, rejected := decodeEntries(response.Instances, (*Instance).validate, func(i *Instance) string { return i.ID })
	report(c, rejected, &c.instanceErrors, c.RejectedInstance)
	return instances, nil
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
