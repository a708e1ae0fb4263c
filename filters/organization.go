package filters

import (
	"net/http"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Organization identifies the organization of a caller by its API key and applies the
// organization's homes and priority to the work. If the configuration has no organizations,
// it does nothing.
type Organization struct {
	KeyHeader  string // canonical name of the header with the API key
	NameHeader string // canonical name of the header that tells backend servers the organization
	Observer   AdmissionObserver
}

// Reasons of the refusals.
const (
	reasonNoKey         = "no_key"
	reasonUnknownKey    = "unknown_key"
	reasonNoCommonHome  = "no_common_home"
	reasonNotConfigured = "not_configured"
)

// Name implements Filter.
func (Organization) Name() string { return "organization" }

// Handle implements Filter. The request must have its work, and its body must not have been
// read.
func (f Organization) Handle(x *Exchange, next Handler) *outcome.Error {
	organizations := x.Snapshot.Organizations
	if organizations == nil {
		return next(x)
	}
	keys := x.Request.Header[f.KeyHeader]
	f.deleteHeaders(x)
	var organization *catalog.Organization
	if !x.Work.Public {
		if len(keys) != 1 || keys[0] == "" {
			return f.unauthenticated(x, reasonNoKey, "one API key is required")
		}
		if organization = organizations.Authenticate(keys[0]); organization == nil {
			return f.unauthenticated(x, reasonUnknownKey, "the API key is unknown")
		}
	}
	if refusal := f.apply(x, organization); refusal != nil {
		return refusal
	}
	return next(x)
}

// accept applies the organization that another instance has authenticated to a request that
// it forwarded. Exchange.Caller is its name, or empty on public routes.
func (f Organization) accept(x *Exchange) *outcome.Error {
	organizations := x.Snapshot.Organizations
	if organizations == nil && x.Caller == "" {
		return nil
	}
	f.deleteHeaders(x)
	var organization *catalog.Organization
	if organizations != nil {
		organization = organizations.ByName(x.Caller)
	}
	if organization == nil && (x.Caller != "" || !x.Work.Public) {
		// The configuration of the forwarding instance is another one.
		return f.refuse(x, reasonNotConfigured, outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNotReady, "organization not yet configured here").WithRetryAfter(notReadyRetryAfter))
	}
	return f.apply(x, organization)
}

// deleteHeaders keeps both headers of the caller from backend servers and other instances.
func (f Organization) deleteHeaders(x *Exchange) {
	delete(x.Request.Header, f.KeyHeader)
	delete(x.Request.Header, f.NameHeader)
}

func (f Organization) apply(x *Exchange, organization *catalog.Organization) *outcome.Error {
	if organization != nil {
		x.Organization, x.Caller = organization, organization.Name
	}
	work, permitted := x.Service.WorkOf(organization, x.Work)
	if !permitted {
		return f.refuse(x, reasonNoCommonHome, outcome.Refuse(http.StatusMisdirectedRequest, outcome.CodeWrongRegion, "the organization and the route have no home region in common"))
	}
	x.Work = work
	return nil
}

// unauthenticated refuses a request without waiting for its body.
func (f Organization) unauthenticated(x *Exchange, reason, message string) *outcome.Error {
	if x.Request.ContentLength != 0 {
		closeAfterResponse(x)
	}
	return f.refuse(x, reason, outcome.Refuse(http.StatusUnauthorized, outcome.CodeUnauthenticated, "%s", message))
}

func (f Organization) refuse(x *Exchange, reason string, refusal *outcome.Error) *outcome.Error {
	f.Observer.Refused(x, f.Name(), reason, refusal)
	return refusal
}
