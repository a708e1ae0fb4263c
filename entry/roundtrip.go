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

// roundTrip is the state of one request: its attempts at instances, including
// those that resume its stream.
type roundTrip struct {
	client     *Client
	req        *http.Request
	header     http.Header // added to each attempt to resume the stream
	attempts   int
	lastBase   string // base URL of the instance of the last attempt
	redirected bool   // the Location of a 421 response has been followed
	refreshed  bool   // a new list of instances has been requested
}

// run sends the request to instances until a response is final or the request
// must not be sent again.
func (t *roundTrip) run() (*http.Response, error) {
	tried := make(map[string]bool)
	next, err := t.nextInstance(tried)
	for err == nil {
		tried[next], t.lastBase = true, next
		var resp *http.Response
		var bodyRead bool
		resp, bodyRead, err = t.attempt(next)
		if err != nil && errors.Is(t.req.Context().Err(), context.Canceled) {
			return nil, err // a cancellation by the caller is no evidence about the instance
		}
		if err != nil {
			t.client.eject(next, ejectDuration)
			if t.attempts >= maxAttempts || !neverConnected(err) || !t.canResend() {
				return nil, err
			}
			next, err = t.nextOrCause(tried, err)
			continue
		}
		retryBase := t.retryTarget(resp, bodyRead, tried)
		if retryBase == "" {
			return resp, nil
		}
		_ = resp.Body.Close()
		next = retryBase
	}
	return nil, err
}

// nextInstance returns the base URL of the instance to try next, or "". If all
// known instances have been tried, it requests a new list, once per roundTrip:
// several instances may have been replaced since the last list.
func (t *roundTrip) nextInstance(tried map[string]bool) (string, error) {
	k := t.client.workKindOf(t.req)
	instances, err := t.client.instances(t.req.Context(), k)
	if err != nil {
		return "", err
	}
	next := t.client.pickInstance(instances, tried)
	if next != "" || t.refreshed {
		return next, nil
	}
	t.refreshed = true
	t.client.expireCache(k)
	return t.nextInstance(tried)
}

// nextOrCause returns an instance that has not been tried, or cause as the
// error if there is none.
func (t *roundTrip) nextOrCause(tried map[string]bool, cause error) (string, error) {
	next, err := t.nextInstance(tried)
	if err == nil && next == "" {
		err = cause
	}
	return next, err
}

// attempt sends the request to one instance. bodyRead reports whether the
// transport has begun to read the body, so that a part of it may have been
// sent.
func (t *roundTrip) attempt(base string) (resp *http.Response, bodyRead bool, err error) {
	target, err := url.Parse(base)
	if err != nil {
		return nil, false, errors.Wrap(err, "entry: parse URL of an instance")
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
	// Prevents the transport from resending the body by itself.
	attempt.GetBody = nil
	body := &trackedBody{ReadCloser: attempt.Body}
	if attempt.Body != nil && attempt.Body != http.NoBody {
		attempt.Body = body
		if strings.HasPrefix(t.req.URL.Path, servicePath) {
			// If the instance refuses the request because it must enter in
			// another region, it responds before the body is sent.
			attempt.Header.Set("Expect", "100-continue")
		}
	}
	resp, err = t.client.transport().RoundTrip(attempt)
	return resp, body.read.Load(), err
}

// retryTarget returns the base URL of the instance at which to retry the
// request after resp, or "" if resp is final. It retries only a request that
// did not run.
func (t *roundTrip) retryTarget(resp *http.Response, bodyRead bool, tried map[string]bool) string {
	notRun := outcome.Parse(resp.Header.Get(outcome.Header)) == outcome.NotRun
	if !notRun || t.attempts >= maxAttempts || !t.canResend() {
		return ""
	}
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		if t.redirected || bodyRead {
			return ""
		}
		t.redirected = true
		return resp.Header.Get("Location")
	case http.StatusServiceUnavailable:
		return t.retryUnavailable(retryAfter(resp), tried)
	}
	return ""
}

// retryUnavailable returns the instance at which to retry after a 503 response:
// one that has not been tried, or else any instance after waiting for the
// Retry-After time. It returns "" if that wait does not end before the
// deadline.
func (t *roundTrip) retryUnavailable(wait time.Duration, tried map[string]bool) string {
	t.client.eject(t.lastBase, max(wait, time.Second))
	if next, err := t.nextInstance(tried); err == nil && next != "" {
		return next
	}
	if !waitBeforeDeadline(t.req.Context(), wait) {
		return ""
	}
	clear(tried)
	next, _ := t.nextInstance(tried)
	return next
}

// retryAfter returns the Retry-After time of a response, or 0 if the header is
// missing or is not a number of seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// waitBeforeDeadline waits and returns true if wait is positive and ends before
// the deadline of ctx. It returns false at once if ctx has no deadline.
func waitBeforeDeadline(ctx context.Context, wait time.Duration) bool {
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

func (t *roundTrip) canResend() bool {
	return t.req.Body == nil || t.req.Body == http.NoBody || t.req.GetBody != nil
}

// neverConnected reports whether err occurred while connecting, so that nothing
// was sent.
func neverConnected(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// trackedBody records whether any of a request body has been read.
type trackedBody struct {
	io.ReadCloser
	read atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}
