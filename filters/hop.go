package filters

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Headers of a request that one instance forwards to another. They are accepted
// only on the listener for peers.
const (
	hopPrefix         = "Fuchsia-Hop-"
	HopOriginHeader   = hopPrefix + "Origin"   // id of the forwarding instance
	HopRegionHeader   = hopPrefix + "Region"   // its region
	HopCallerHeader   = hopPrefix + "Caller"   // name of the caller
	HopServiceHeader  = hopPrefix + "Service"  // name of the service, escaped as part of a path
	HopWorkHeader     = hopPrefix + "Work"     // name of the work, escaped in the same way
	HopDeadlineHeader = hopPrefix + "Deadline" // remaining time in milliseconds
	HopFirstByHeader  = hopPrefix + "First-By" // remaining time to Exchange.FirstEventDeadline in milliseconds, if known
	HopStreamHeader   = hopPrefix + "Stream"   // "true" if the response is to be a stream of events
	HopOwnIDHeader    = hopPrefix + "Own-Id"   // X-Request-Id of the caller's request; between instances that header has the request id
	HopRunsHeader     = hopPrefix + "Runs"     // number of backend servers that the request may still run on, if limited
	HopVersionHeader  = hopPrefix + "Version"  // version that must run the request, if one must
)

// Hop identifies the instance that forwarded a request.
type Hop struct {
	Origin string // id of the instance that the caller sent the request to
	Region string // its region
}

// RejectHops refuses requests from callers that carry the headers of a forwarded
// request.
type RejectHops struct{}

// Name implements Filter.
func (RejectHops) Name() string { return "reject-hops" }

// Handle implements Filter.
func (RejectHops) Handle(x *Exchange, next Handler) *outcome.Error {
	for name := range x.Request.Header {
		if strings.HasPrefix(name, hopPrefix) {
			return outcome.Refuse(http.StatusBadRequest, outcome.CodeLoop, "header %s is reserved for instances", name)
		}
	}
	return next(x)
}

// AcceptHop reads the headers of a forwarded request. Such a request is
// served or refused here; it is never forwarded again.
type AcceptHop struct {
	Instance string // id of this instance
	Region   string // its region
	// Sender returns the authenticated instance that sent a request. If it is
	// nil, the headers are trusted without authentication, as in development and
	// in package hosted.
	Sender func(*http.Request) (instance, region string, err error)
	// Organization applies the rules of organizations to the request, whose caller is one.
	// It is nil if callers are not the organizations of the configuration.
	Organization *Organization
}

// Name implements Filter.
func (AcceptHop) Name() string { return "accept-hop" }

// Handle implements Filter.
func (f AcceptHop) Handle(x *Exchange, next Handler) *outcome.Error {
	header := x.Request.Header
	x.Hop = &Hop{Origin: header.Get(HopOriginHeader), Region: header.Get(HopRegionHeader)}
	if x.Hop.Origin == "" || x.Hop.Region == "" {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "forwarded request without origin")
	}
	if err := f.authenticate(x); err != nil {
		return err
	}
	if x.Hop.Origin == f.Instance || x.Hop.Region == f.Region {
		return outcome.Refuse(http.StatusLoopDetected, outcome.CodeLoop, "request came back to its origin %s", x.Hop.Origin)
	}
	if x.ID == "" {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "forwarded request without id")
	}
	remaining, err := strconv.ParseInt(header.Get(HopDeadlineHeader), 10, 64)
	if err != nil || remaining <= 0 {
		return outcome.Refuse(http.StatusGatewayTimeout, outcome.CodeDeadline, "forwarded request has no time left")
	}
	x.Deadline = x.Received.Add(time.Duration(remaining) * time.Millisecond)
	if firstEventMs, err := strconv.ParseInt(header.Get(HopFirstByHeader), 10, 64); err == nil {
		x.FirstEventDeadline = x.Received.Add(time.Duration(firstEventMs) * time.Millisecond)
	}
	x.Caller = header.Get(HopCallerHeader)
	x.Stream = header.Get(HopStreamHeader) == "true"
	service, work, lookupErr := f.resolve(x)
	if lookupErr != nil {
		// The forwarding instance has a newer configuration, in which they exist.
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNotReady, "service or work not yet configured here").WithRetryAfter(notReadyRetryAfter)
		refusal.Cause = lookupErr
		return refusal
	}
	x.Service, x.Work = service, work
	if maxServers, err := strconv.Atoi(header.Get(HopRunsHeader)); err == nil && maxServers > 0 {
		x.Work.MaxServers = maxServers
	}
	if text := header.Get(HopVersionHeader); text != "" {
		version, err := origin.ParseVersion(text)
		if err != nil {
			version = origin.Ambiguous
		}
		x.Version, x.VersionSource = version, origin.SourceForwarded
	}
	if ids, set := header[HopOwnIDHeader]; set {
		header[outcome.RequestIDHeader] = ids
	} else {
		header.Del(outcome.RequestIDHeader)
	}
	x.Path = x.Request.RequestURI // as received: url.URL may encode it anew
	if f.Organization != nil {
		if err := f.Organization.accept(x); err != nil {
			return err
		}
	}
	return next(x)
}

// resolve returns the service and the work that the headers name.
func (AcceptHop) resolve(x *Exchange) (*catalog.Service, catalog.Work, error) {
	service, err := url.PathUnescape(x.Request.Header.Get(HopServiceHeader))
	if err != nil {
		return nil, catalog.Work{}, errors.Wrapf(err, "unescape %s", HopServiceHeader)
	}
	work, err := url.PathUnescape(x.Request.Header.Get(HopWorkHeader))
	if err != nil {
		return nil, catalog.Work{}, errors.Wrapf(err, "unescape %s", HopWorkHeader)
	}
	return x.Snapshot.Resolve(service, work)
}

// authenticate checks that the origin in the headers is the authenticated sender.
func (f AcceptHop) authenticate(x *Exchange) *outcome.Error {
	if f.Sender == nil {
		return nil
	}
	instance, region, err := f.Sender(x.Request)
	if err != nil || instance != x.Hop.Origin || region != x.Hop.Region {
		return outcome.Refuse(http.StatusForbidden, outcome.CodeBadRequest, "the origin is not the instance that sends")
	}
	return nil
}
