package dispatch

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/relay"
)

// errOtherVersion is the cause of a stream that another region has not shown to come from
// the version that must run the request.
var errOtherVersion = errors.New("the region does not tell that the required version runs the request")

// streamBegins is called before the first event of a stream is sent to the caller. From
// then on, no other version may continue the response.
func (r *attemptLoop) streamBegins(header http.Header) {
	x, version := r.x, r.answeredVersion(header)
	if version == 0 {
		r.recordVersion(origin.Ambiguous, false)
		return
	}
	if x.Version == 0 {
		x.Version, x.VersionSource = version, origin.SourceAnswer
	}
	r.recordVersion(version, false)
}

// recordVersion records the version that begins a stream. It is recorded as provisional before
// an attempt, so that other instances know of it before the first event is sent.
func (r *attemptLoop) recordVersion(version origin.Version, provisional bool) {
	if r.StreamBegan != nil && r.x.Work.Streamed && r.x.Work.Resumable {
		r.StreamBegan(r.x, version, provisional)
	}
}

// answeredVersion returns the version of the server of the attempt in progress, or 0 if an
// instance of another region does not tell it.
func (r *attemptLoop) answeredVersion(header http.Header) origin.Version {
	if r.server != nil {
		return r.server.Origin()
	}
	return r.regionVersion(r.x, header)
}

// regionVersion returns the version that an instance of another region names in the header
// of its response. An older build names none.
func (d *Dispatcher) regionVersion(x *filters.Exchange, header http.Header) origin.Version {
	version, err := origin.ParseVersion(header.Get(relay.VersionHeader))
	if err == nil && version == 0 && d.OnlyVersion != nil {
		return d.OnlyVersion(x.Service.Name)
	}
	return version
}

// checkVersion returns the failure of a response of another region that must not be used,
// as it may come from another version than the required one, or nil.
func (d *Dispatcher) checkVersion(x *filters.Exchange, resp *http.Response, region string) *outcome.Error {
	if x.Version == 0 || resp.StatusCode != http.StatusOK || d.regionVersion(x, resp.Header) == x.Version {
		return nil
	}
	return outcome.Fail(outcome.CodeBackendFailed, errors.Wrapf(errOtherVersion, "response of region %s", region), "the answer may come from another version")
}

// mayContinue reports whether another attempt may continue the caller's stream.
func (r *attemptLoop) mayContinue() bool {
	return r.callerResponse.Resumable() && r.x.Version != 0
}
