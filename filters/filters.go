// Package filters defines the filter chain that every request passes through,
// and its filters. A filter inspects or changes the Exchange and calls the next
// handler, or returns an error, which ends the request.
package filters

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

// Exchange is one request and its response, as passed through the chain.
type Exchange struct {
	Writer   http.ResponseWriter
	Request  *http.Request
	ID       string
	Received time.Time

	Hop      *Hop              // set if another instance forwarded the request
	Snapshot *catalog.Snapshot // configuration that all decisions on the request use
	Caller   string            // name of the caller
	// Organization is the organization that the caller belongs to. It is nil on public
	// routes, and if the configuration has no organizations.
	Organization *catalog.Organization
	Service      *catalog.Service
	Work         catalog.Work
	Path         string // path and query at the backend server
	Deadline     time.Time
	// FirstEventDeadline is the time by which the caller has disconnected if its
	// stream has not begun. Zero if unknown.
	FirstEventDeadline time.Time
	Body               []byte
	Stream             bool      // the response is to be a stream of events
	Started            bool      // the response has been started
	FirstByteAt        time.Time // when the first byte of the response was sent; zero before
	Status             int       // HTTP status of the relayed response; 0 if none was relayed
	ResetRequired      bool      // the response is incomplete, which only a connection reset can signal

	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Prefix has a digest of each leading part of the prompt, for routing.
	// PrefixTokens is the number of prompt tokens that each digest covers; nil if
	// all blocks have the same size. SharedBlocks is the number of leading digests
	// that other prompts have in common; 0 if unknown. PromptTokens is an estimate.
	Prefix       []uint64
	PrefixTokens []int
	SharedBlocks int
	PromptTokens int
	// Parts identifies the parts of the prompt that other requests may share, in
	// whatever order and company; nil if unknown.
	Parts []quarantine.PartID
	// MaxOutputTokens is the caller's limit on the length of the response, in
	// tokens; 0 if there is none.
	MaxOutputTokens int
	// OutputTokensHint is the caller's estimate of the length of the response, in
	// tokens; 0 if there is none.
	OutputTokensHint int
	// Weights is the version of the weights that the caller wants; "" for any.
	Weights string
	// TakesUp reports that the caller asks for the rest of a stream. Resumes is the id of the
	// request that began the stream; "" if the caller does not tell.
	TakesUp bool
	Resumes string
	// Version is the version that must run the request, as it began the stream; 0 for any.
	Version       origin.Version
	VersionSource origin.Source
	// EventsSent is the number of events that were sent to the caller, and LongestGap the
	// longest time between two of them.
	EventsSent int
	LongestGap time.Duration
	// NoLocalSlot reports that no slot of this region becomes free in time, so that
	// only another region can serve the request.
	NoLocalSlot bool

	contentIDs []quarantine.PartID // see ContentIDs
}

// ContentIDs returns the ids under which crashes of backend servers are counted against
// the request: Parts, and last that of the whole request. It is valid once the body has
// been read, and must not be called concurrently.
func (x *Exchange) ContentIDs() []quarantine.PartID {
	if x.contentIDs == nil {
		whole := quarantine.ContentID(x.Request.Method, x.Request.Host, x.Path, x.Body)
		x.contentIDs = append(slices.Clone(x.Parts), whole)
	}
	return x.contentIDs
}

// ContentID returns the id of the whole request among ContentIDs.
func (x *Exchange) ContentID() quarantine.PartID {
	ids := x.ContentIDs()
	return ids[len(ids)-1]
}

// StreamKey returns the key of the stream that the response begins or continues. Callers
// name the request that began the stream, however often they take it up.
func (x *Exchange) StreamKey() origin.Key {
	organization, id := "", x.ID
	if x.Organization != nil {
		organization = x.Organization.Name
	}
	if x.Resumes != "" {
		id = x.Resumes
	}
	return origin.KeyOf(organization, x.Work.Name, id)
}

// Policy returns the policy of the request's work, or of its rank if the work has
// none.
func (x *Exchange) Policy() catalog.RankPolicy { return x.Service.PolicyOf(x.Work) }

// Handler processes a request. A nil result means that the response was sent.
type Handler func(x *Exchange) *outcome.Error

// Filter is one step of the chain.
type Filter interface {
	// Name identifies the filter in logs and metrics.
	Name() string
	// Handle processes x and calls next at most once.
	Handle(x *Exchange, next Handler) *outcome.Error
}

// Chain returns a Handler that passes requests through the filters in order
// and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = wrap(filters[i], handler)
	}
	return handler
}

func wrap(f Filter, next Handler) Handler {
	return func(x *Exchange) *outcome.Error { return f.Handle(x, next) }
}
