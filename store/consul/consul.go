// Package consul adapts the HTTP key-value API of Consul (KV, sessions,
// blocking queries and transactions) to store.Store. It is the only package
// that depends on the wire protocol of the platform's key-value service.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/internal/boundedhttp"
	"github.com/fuchsiastack/fuchsiastack/store"
)

// maxResponseBytes limits the response body of one call. A longer body is
// truncated.
const maxResponseBytes = 64 << 20

// Client is a store.Store over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client of the service at baseURL, such as
// "http://127.0.0.1:8500". Apart from a dial timeout of 2 s, the duration of a call
// is limited only by its context.
func New(baseURL string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: boundedhttp.MaxHeaderBytes,
	}
	return NewWithTransport(baseURL, transport)
}

// NewWithTransport returns a client of the service at baseURL that sends its
// requests through transport.
func NewWithTransport(baseURL string, transport http.RoundTripper) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), httpClient: &http.Client{Transport: transport}}
}

var _ store.Store = (*Client)(nil)

// pair is the JSON form of an entry.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	entries, _, err := c.read(ctx, "get", key, nil)
	if err != nil {
		return store.Entry{}, err
	}
	if len(entries) == 0 {
		return store.Entry{}, &store.Error{Op: "get", Key: key, Cause: store.ErrNotFound}
	}
	return entries[0], nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	return c.read(ctx, "list", prefix, url.Values{"recurse": {""}})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	query := url.Values{
		"recurse": {""},
		"index":   {strconv.FormatUint(index, 10)},
		"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	return c.read(ctx, "watch", prefix, query)
}

func (c *Client) read(ctx context.Context, op, key string, query url.Values) ([]store.Entry, uint64, error) {
	status, header, body, err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, query, nil)
	if err != nil {
		return nil, 0, &store.Error{Op: op, Key: key, Cause: errors.Wrap(store.ErrUnavailable, err.Error())}
	}
	index, _ := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if status == http.StatusNotFound {
		return nil, index, nil
	}
	if status != http.StatusOK {
		return nil, 0, statusError(op, key, status, store.NotApplied)
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, 0, &store.Error{Op: op, Key: key, Cause: errors.Wrap(err, "decode response")}
	}
	entries := make([]store.Entry, len(pairs))
	for i, p := range pairs {
		entries[i] = store.Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex}
	}
	return entries, index, nil
}

// txnOp is the JSON form of an operation in a transaction.
type txnOp struct {
	KV txnKV
}

type txnKV struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	Index uint64 `json:",omitempty"`
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, ops []store.Op) error {
	if len(ops) == 0 {
		return nil
	}
	if len(ops) > store.MaxOps {
		return &store.Error{Op: "txn", Key: ops[0].Key, Cause: errors.Errorf("transaction has %d operations, maximum is %d", len(ops), store.MaxOps)}
	}
	wire := make([]txnOp, len(ops))
	for i, op := range ops {
		wire[i] = txnOp{KV: encodeOp(op)}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return &store.Error{Op: "txn", Key: ops[0].Key, Cause: errors.Wrap(err, "encode")}
	}
	_, err = c.write(ctx, "txn", ops[0].Key, "/v1/txn", nil, body)
	return err
}

func encodeOp(op store.Op) txnKV {
	kv := txnKV{Key: op.Key, Value: op.Value, Index: op.Version}
	switch op.Kind {
	case store.OpSet:
		kv.Verb, kv.Index = "set", 0
	case store.OpCAS:
		kv.Verb = "cas"
	case store.OpDelete:
		kv.Verb, kv.Index, kv.Value = "delete", 0, nil
	case store.OpCheck:
		kv.Verb, kv.Value = "check-index", nil
		if op.Version == 0 {
			kv.Verb = "check-not-exists"
		}
	default:
		panic(fmt.Sprintf("consul: encode operation: unknown kind %d", op.Kind))
	}
	return kv
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	request := fmt.Sprintf(`{"TTL":"%dms","Behavior":"delete","LockDelay":"0s"}`, ttl.Milliseconds())
	body, err := c.write(ctx, "grant", "", "/v1/session/create", nil, []byte(request))
	if err != nil {
		return "", err
	}
	var session struct{ ID string }
	if err := json.Unmarshal(body, &session); err != nil {
		return "", &store.Error{Op: "grant", Effect: store.MayBeApplied, Cause: errors.Wrap(err, "decode session")}
	}
	return store.LeaseID(session.ID), nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := c.write(ctx, "keepalive", string(id), "/v1/session/renew/"+string(id), nil, nil)
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := c.write(ctx, "revoke", string(id), "/v1/session/destroy/"+string(id), nil, nil)
	return err
}

// Acquire implements store.Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	query := url.Values{"acquire": {string(id)}}
	body, err := c.write(ctx, "acquire", key, "/v1/kv/"+key, query, value)
	if err != nil {
		return err
	}
	if strings.TrimSpace(string(body)) != "true" {
		return &store.Error{Op: "acquire", Key: key, Cause: store.ErrConflict}
	}
	return nil
}

func (c *Client) write(ctx context.Context, op, key, path string, query url.Values, body []byte) ([]byte, error) {
	status, _, respBody, err := c.do(ctx, http.MethodPut, path, query, body)
	if err != nil {
		return nil, &store.Error{Op: op, Key: key, Effect: effectOf(err), Cause: errors.Wrap(store.ErrUnavailable, err.Error())}
	}
	if status != http.StatusOK {
		return nil, statusError(op, key, status, store.MayBeApplied)
	}
	return respBody, nil
}

// effectOf returns the effect of a write that received no response: none if the
// connection could not be established, unknown otherwise.
func effectOf(err error) store.Effect {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return store.NotApplied
	}
	return store.MayBeApplied
}

// statusError returns the error for an HTTP status other than 200.
// serverErrorEffect is its Effect for statuses other than 4xx.
func statusError(op, key string, status int, serverErrorEffect store.Effect) error {
	e := &store.Error{Op: op, Key: key}
	switch {
	case status == http.StatusConflict:
		e.Cause = store.ErrConflict
	case status == http.StatusNotFound:
		e.Cause = store.ErrNotFound
	case status == http.StatusTooManyRequests:
		e.Cause = store.ErrThrottled
	case status >= 400 && status < 500:
		e.Cause = errors.Errorf("request rejected with HTTP status %d", status)
	default:
		e.Effect = serverErrorEffect
		e.Cause = errors.Wrapf(store.ErrUnavailable, "HTTP status %d", status)
	}
	return e
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) (int, http.Header, []byte, error) {
	requestURL := c.baseURL + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if method != http.MethodGet {
		req.GetBody = nil // keeps the transport from sending a write again after a lost response
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, nil, err
	}
	return resp.StatusCode, resp.Header, respBody, nil
}
