package filters

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Headers that callers may send, and RevisionHeader of responses.
const (
	WorkHeader        = "Fuchsia-Work"        // name of the work; takes precedence over path and model
	DeadlineHeader    = "Fuchsia-Deadline-Ms" // timeout of the whole request, in milliseconds
	IdempotencyHeader = "Idempotency-Key"
	RevisionHeader    = "Fuchsia-Revision" // response: revision of the configuration that the request used
)

// notReadyRetryAfter is the Retry-After while no configuration is loaded.
const notReadyRetryAfter = time.Second

// servicePathPrefix is the prefix of requests that name their service in the path:
// /services/SERVICE/WORK/PATH.
const servicePathPrefix = "/services/"

// Resolve sets the service and the work of a request whose path begins with
// /services/ and so contains their names. Any other request is an OpenAI call
// with the model "SERVICE" or "SERVICE/WORK", which ReadBody resolves.
type Resolve struct{}

// Name implements Filter.
func (Resolve) Name() string { return "resolve" }

// Handle implements Filter.
func (Resolve) Handle(x *Exchange, next Handler) *outcome.Error {
	x.IdempotencyKey = x.Request.Header.Get(IdempotencyHeader)
	rest, ok := strings.CutPrefix(x.Request.URL.Path, servicePathPrefix)
	if !ok {
		x.Path = x.Request.URL.RequestURI()
		return next(x)
	}
	service, rest, _ := strings.Cut(rest, "/")
	work, rest, _ := strings.Cut(rest, "/")
	x.Path = "/" + rest
	if query := x.Request.URL.RawQuery; query != "" {
		x.Path += "?" + query
	}
	if err := resolve(x, service, work); err != nil {
		return err
	}
	return next(x)
}

// resolve sets the service, the work and the deadline of x. The deadline is that
// of the policy, or an earlier one that the caller sets.
func resolve(x *Exchange, service, work string) *outcome.Error {
	if header := x.Request.Header.Get(WorkHeader); header != "" {
		work = header
	}
	svc, w, err := x.Snapshot.Resolve(service, work)
	if err != nil {
		return unknownService(err)
	}
	x.Service, x.Work = svc, w
	timeout := x.Policy().Deadline
	if text := x.Request.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > catalog.MaxDeadline {
			return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadDeadline,
				"%s must be a whole number from 1 to %d", DeadlineHeader, catalog.MaxDeadline.Milliseconds())
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.Deadline = x.Received.Add(timeout)
	return nil
}

func unknownService(err error) *outcome.Error {
	code := outcome.CodeUnknownService
	if errors.Is(err, catalog.ErrUnknownWork) {
		code = outcome.CodeUnknownWork
	}
	refusal := outcome.Refuse(http.StatusNotFound, code, "no such service or work")
	refusal.Cause = err
	return refusal
}

// Home refuses work whose data must stay in another region, and returns the URL
// of an instance there to the caller. It is in the callers' chain before and
// after ReadBody: a request with its service in the path is refused before its
// body is read.
type Home struct {
	Region string
	// InstanceURL returns the URL of an instance in a region for callers, or "" if
	// none is known.
	InstanceURL func(region string) string
}

// Name implements Filter.
func (Home) Name() string { return "home" }

// Handle implements Filter.
func (f Home) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Service == nil || x.Work.Home == "" || x.Work.Home == f.Region {
		return next(x)
	}
	refusal := outcome.Refuse(http.StatusMisdirectedRequest, outcome.CodeWrongRegion, "this work must enter in region %s", x.Work.Home)
	refusal.Location = f.InstanceURL(x.Work.Home)
	return refusal
}
