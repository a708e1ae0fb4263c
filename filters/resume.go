package filters

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Retry-After times of a stream that cannot be continued now.
const (
	resumeRetryAfter = time.Second // its version is unknown or has no server
	lostRetryAfter   = time.Minute // its version will not be known: no request lasts so long
)

// Reasons of the refusals.
const (
	reasonUnknownStream   = "unknown_stream"
	reasonNoServerVersion = "no_server_of_version"
)

// Resume finds the version that must continue a stream, and refuses the request at once if
// it is unknown or has no server. Only requests for the rest of a stream of resumable work
// are affected.
type Resume struct {
	// FindLocal returns the version that began a stream, if this instance knows it. Find asks
	// other instances for it.
	FindLocal func(key origin.Key) (origin.Version, origin.Source)
	Find      func(ctx context.Context, key origin.Key) (origin.Version, origin.Source)
	// Possible returns the versions of a service that may have begun a stream whose rest
	// callers may still ask for; none if they are not known.
	Possible func(service string) []origin.Version
	// ListCurrent reports whether the list of servers, of which Possible knows, is up to date.
	ListCurrent func() bool
	// HasServer reports whether a server with the version of the service may run requests.
	HasServer func(service string, version origin.Version) bool
	Observer  AdmissionObserver
}

// Name implements Filter.
func (Resume) Name() string { return "resume" }

// Handle implements Filter.
func (f Resume) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Version == 0 && x.TakesUp && x.Work.Streamed && x.Work.Resumable {
		x.Version, x.VersionSource = f.find(x)
		if x.Version == 0 {
			retryAfter := resumeRetryAfter
			if x.VersionSource == origin.SourceLost {
				retryAfter = lostRetryAfter
			}
			return f.refuse(x, reasonUnknownStream, retryAfter, outcome.CodeUnknownStream, "the version that began the stream is unknown")
		}
	}
	if x.Version != 0 && !f.selectService(x) {
		return f.refuse(x, reasonNoServerVersion, resumeRetryAfter, outcome.CodeNoBackend, "no backend server has the version that began the stream")
	}
	return next(x)
}

// find returns the version that began the stream, 0 if it is unknown. While the list of
// servers may be out of date, other instances are asked even if only one version is known here.
func (f Resume) find(x *Exchange) (origin.Version, origin.Source) {
	only := f.onlyVersion(x)
	if x.Resumes != "" {
		if version, source := f.FindLocal(x.StreamKey()); version != 0 {
			return version, source
		}
		if only == 0 || !f.ListCurrent() {
			version, source := f.Find(x.Request.Context(), x.StreamKey())
			if version != 0 || source == origin.SourceLost {
				return version, source
			}
		}
	}
	if only != 0 {
		return only, origin.SourceOnlyVersion
	}
	return 0, origin.SourceUnknown
}

// onlyVersion returns the version that has begun the stream if the services of the route
// have only one, else 0.
func (f Resume) onlyVersion(x *Exchange) origin.Version {
	only := origin.Version(0)
	for _, service := range servicesOf(x) {
		possible := f.Possible(service)
		if len(possible) != 1 || possible[0] == origin.Ambiguous || only != 0 {
			return 0
		}
		only = possible[0]
	}
	return only
}

// selectService sets the service to the one of the route that has a server of the version.
// The instance that has forwarded a request has selected the service.
func (f Resume) selectService(x *Exchange) bool {
	if f.HasServer(x.Service.Name, x.Version) {
		return true
	}
	if x.Hop != nil {
		return false
	}
	for _, name := range servicesOf(x) {
		service := x.Snapshot.Services[name]
		if service == nil || service == x.Service || !f.HasServer(name, x.Version) {
			continue
		}
		work, permitted := service.WorkOf(x.Organization, service.Work[x.Work.Name])
		if !permitted {
			return false
		}
		x.Service, x.Work = service, work
		return true
	}
	return false
}

// servicesOf returns the names of the services that requests of the route may go to.
func servicesOf(x *Exchange) []string {
	path, _, _ := strings.Cut(x.Path, "?")
	route := x.Snapshot.Routes.Find(x.Request.Host, path)
	if route == nil || route.Name != x.Work.Name {
		return []string{x.Service.Name}
	}
	names := make([]string, 0, len(route.Targets))
	for _, target := range route.Targets {
		names = append(names, target.Service)
	}
	return names
}

func (f Resume) refuse(x *Exchange, reason string, retryAfter time.Duration, code outcome.Code, message string) *outcome.Error {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, code, "%s", message).WithRetryAfter(retryAfter)
	f.Observer.Refused(x, f.Name(), reason, refusal)
	return refusal
}
