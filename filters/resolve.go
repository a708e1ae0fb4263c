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

// Headers that callers may send.
const (
	WorkHeader        = "Fuchsia-Work"        // name of the work, over the one in path or model
	DeadlineHeader    = "Fuchsia-Deadline-Ms" // time to the end of the answer, in milliseconds
	IdempotencyHeader = "Idempotency-Key"
	RevisionHeader    = "Fuchsia-Revision" // of an answer: the configuration it was decided under
)

// notReadyRetry is the Retry-After of an instance without configuration.
const notReadyRetry = time.Second

// servicePath is the prefix of requests that name their service in the path:
// /services/SERVICE/WORK/PATH.
const servicePath = "/services/"

// Resolve finds the service and the work of a request. A path below /services/
// names them; any other request is an OpenAI call whose model is
// "SERVICE" or "SERVICE/WORK", which ReadBody resolves.
type Resolve struct{}

// Name implements Filter.
func (Resolve) Name() string { return "resolve" }

// Handle implements Filter.
func (Resolve) Handle(x *Exchange, next Handler) *outcome.Error {
	x.Idempotency = x.Request.Header.Get(IdempotencyHeader)
	rest, ok := strings.CutPrefix(x.Request.URL.Path, servicePath)
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

// resolve sets the service, the work and the deadline.
func resolve(x *Exchange, service, work string) *outcome.Error {
	if named := x.Request.Header.Get(WorkHeader); named != "" {
		work = named
	}
	svc, w, err := x.Snapshot.Resolve(service, work)
	if err != nil {
		return unknownService(err)
	}
	x.Service, x.Work = svc, w
	limit := x.Policy().Deadline
	if text := x.Request.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > catalog.MaxDeadline {
			return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadDeadline,
				"%s must be a whole number from 1 to %d", DeadlineHeader, catalog.MaxDeadline.Milliseconds())
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	x.Deadline = x.Received.Add(limit)
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

// Home refuses work whose data must stay in another region, and names an
// instance there. It stands before and after ReadBody: a request that names
// its service in the path is refused before its body is read.
type Home struct {
	Region string
	// EntryOf returns the URL of an instance in a region, or "".
	EntryOf func(region string) string
}

// Name implements Filter.
func (Home) Name() string { return "home" }

// Handle implements Filter.
func (f Home) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Service == nil || x.Work.Home == "" || x.Work.Home == f.Region {
		return next(x)
	}
	refusal := outcome.Refuse(http.StatusMisdirectedRequest, outcome.CodeWrongRegion, "this work must enter in region %s", x.Work.Home)
	refusal.Location = f.EntryOf(x.Work.Home)
	return refusal
}
