package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is the end of one client attempt.
type Reply struct {
	ID         string
	Status     int // 0: no answer
	Body       string
	Signature  string
	RetryAfter time.Duration
	Err        error
}

// promises reports whether a status promises that the request has not run and never
// will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// NewID returns an id for a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one client attempt on a new connection.
func (d *Deployment) Send(front, host, method, target, body string, budget time.Duration) Reply {
	reply := Reply{ID: NewID()}
	d.Record.Line("client sends %s to %s: %s %s, body %q", reply.ID, front, method, target, body)
	reply.Err = reply.do(front, host, method, target, body, budget)
	d.Record.Line("client gets for %s: status %d, signature %q, body %q, error %v", reply.ID, reply.Status, reply.Signature, reply.Body, reply.Err)
	return reply
}

func (reply *Reply) do(front, host, method, target, body string, budget time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+target, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Request-Id", reply.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	reply.Status, reply.Signature = resp.StatusCode, resp.Header.Get("Signature")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		reply.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(resp.Body)
	reply.Body = string(text)
	return err
}
