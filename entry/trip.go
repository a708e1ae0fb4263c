package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// trip is one request on its way through the instances.
type trip struct {
	client   *Client
	req      *http.Request
	header   http.Header // added to the attempts; to resume a stream
	attempts int
	base     string // instance of the last attempt
	moved    bool   // a 421 has been followed
	asked    bool   // the system has been asked once more
}

// run sends the request until it is answered or must not be sent again.
func (t *trip) run() (*http.Response, error) {
	tried := make(map[string]bool)
	next, err := t.next(tried)
	for err == nil {
		tried[next], t.base = true, next
		var resp *http.Response
		var sent bool
		resp, sent, err = t.attempt(next)
		if err != nil {
			t.client.avoid(next, ejectTime)
			if t.attempts >= maxAttempts || !neverConnected(err) || !t.canResend() {
				return nil, err
			}
			next, err = t.other(tried, err)
			continue
		}
		again := t.after(resp, sent, tried)
		if again == "" {
			return resp, nil
		}
		_ = resp.Body.Close()
		next = again
	}
	return nil, err
}

// next returns the instance to try, or "". If no known instance is left, the
// system is asked once more: several may have been replaced since its last
// answer.
func (t *trip) next(tried map[string]bool) (string, error) {
	k := t.client.kindOf(t.req)
	instances, err := t.client.instances(t.req.Context(), k)
	if err != nil {
		return "", err
	}
	next := t.client.usable(instances, tried)
	if next != "" || t.asked {
		return next, nil
	}
	t.asked = true
	t.client.forget(k)
	return t.next(tried)
}

// other returns an instance that has not been tried, or else cause.
func (t *trip) other(tried map[string]bool, cause error) (string, error) {
	next, err := t.next(tried)
	if err == nil && next == "" {
		err = cause
	}
	return next, err
}

// attempt sends the request to one instance. sent tells whether any of its body
// has left.
func (t *trip) attempt(base string) (resp *http.Response, sent bool, err error) {
	target, err := url.Parse(base)
	if err != nil {
		return nil, false, errors.Wrap(err, "entry: URL of an instance")
	}
	attempt := t.req.Clone(t.req.Context())
	attempt.URL.Scheme, attempt.URL.Host, attempt.Host = target.Scheme, target.Host, ""
	for name, values := range t.header {
		attempt.Header[name] = values
	}
	if t.attempts > 0 && t.req.GetBody != nil {
		if attempt.Body, err = t.req.GetBody(); err != nil {
			return nil, false, err
		}
	}
	t.attempts++
	// The transport must not send a body a second time by itself.
	attempt.GetBody = nil
	body := &countedBody{ReadCloser: attempt.Body}
	if attempt.Body != nil && attempt.Body != http.NoBody {
		attempt.Body = body
		if strings.HasPrefix(t.req.URL.Path, servicePath) {
			// An instance of another region refuses before it reads the body.
			attempt.Header.Set("Expect", "100-continue")
		}
	}
	resp, err = t.client.transport().RoundTrip(attempt)
	return resp, body.read.Load(), err
}

// after returns the instance to send an answered request to again, or "".
func (t *trip) after(resp *http.Response, sent bool, tried map[string]bool) string {
	notRun := outcome.Parse(resp.Header.Get(outcome.Header)) == outcome.NotRun
	if !notRun || t.attempts >= maxAttempts || !t.canResend() {
		return ""
	}
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		if t.moved || sent {
			return ""
		}
		t.moved = true
		return resp.Header.Get("Location")
	case http.StatusServiceUnavailable:
		return t.afterRefusal(retryAfter(resp), tried)
	}
	return ""
}

// afterRefusal chooses another instance, or the same ones once the time that
// they asked for has passed, if it does before the deadline.
func (t *trip) afterRefusal(wait time.Duration, tried map[string]bool) string {
	t.client.avoid(t.base, max(wait, time.Second))
	if next, err := t.next(tried); err == nil && next != "" {
		return next
	}
	if !waitWithin(t.req.Context(), wait) {
		return ""
	}
	clear(tried)
	next, _ := t.next(tried)
	return next
}

// retryAfter returns the time that an answer asks to wait.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// waitWithin waits and reports true if the wait is known and ends before the
// deadline of ctx, which must have one.
func waitWithin(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	if !ok || wait <= 0 || time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *trip) canResend() bool {
	return t.req.Body == nil || t.req.Body == http.NoBody || t.req.GetBody != nil
}

// neverConnected reports whether err arose before a connection existed.
func neverConnected(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// countedBody tells whether a body has been read.
type countedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}
