// Package catalog holds the operators' configuration in force: the services
// behind the gateway, the kinds of work of each service, and the callers. A
// Snapshot is immutable; a Table replaces it atomically, so that readers take
// no lock.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// Rank orders work by urgency.
type Rank uint8

const (
	// Urgent is latency-sensitive work.
	Urgent Rank = iota
	// Batch is work that tolerates waiting.
	Batch
	// RankCount is the number of ranks.
	RankCount = 2
)

var rankNames = [RankCount]string{"urgent", "batch"}

// String returns "urgent" or "batch".
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) {
	if int(r) >= len(rankNames) {
		return nil, fmt.Errorf("catalog: encode rank: unknown rank %d", uint8(r))
	}
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	i := slices.Index(rankNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("catalog: decode rank: found %q, want one of %q", text, rankNames)
	}
	*r = Rank(i)
	return nil
}

// Kind distinguishes services that run model engines from plain services.
type Kind string

// The kinds of services.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Upper bounds of the durations of a RankPolicy.
const (
	MaxTarget   = 10 * time.Minute
	MaxDeadline = time.Hour
)

// RankPolicy holds the latency target, the deadline and the reserved capacity
// of a rank of a service.
type RankPolicy struct {
	Target   time.Duration `json:"target"`    // time to the first token, or to the response of a plain service
	Deadline time.Duration `json:"deadline"`  // maximum time to the end of the response
	MinShare float64       `json:"min_share"` // fraction of the service's capacity reserved while the other rank overloads it, 0 to 1
}

// Work is a kind of request to a service.
type Work struct {
	Name       string `json:"name"`
	Rank       Rank   `json:"rank"`
	Home       string `json:"home,omitempty"` // region that its data must not leave and where its requests must enter; "": none
	Repeatable bool   `json:"repeatable"`     // false: a request runs at most once

	// Priority orders work within a rank; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Policy overrides the policy of the rank; nil: no override.
	Policy *RankPolicy `json:"policy,omitempty"`
	// Homes are the regions that may run the work, in whichever region its
	// requests enter. Empty permits all regions.
	Homes []string `json:"homes,omitempty"`
	// MaxServers is the maximum number of backend servers that one request may
	// run on; 0: the retry policy decides.
	MaxServers int `json:"max_servers,omitempty"`
	// Streamed work has a stream of events as its response, and MaxGap is the
	// target for the time between two events. Another server may continue the
	// stream if it is Resumable.
	Streamed  bool          `json:"streamed,omitempty"`
	Resumable bool          `json:"resumable,omitempty"`
	MaxGap    time.Duration `json:"max_gap,omitempty"`
	// FirstEventTimeout is how long a caller of streamed work waits for the first
	// event before it disconnects; 0: unknown.
	FirstEventTimeout time.Duration `json:"patience,omitempty"`
	// Public work needs no API key.
	Public bool `json:"public,omitempty"`
}

// MayRunIn reports whether the work may run in region.
func (w *Work) MayRunIn(region string) bool {
	if w.Home != "" && w.Home != region {
		return false
	}
	return len(w.Homes) == 0 || slices.Contains(w.Homes, region)
}

// MayRunOutside reports whether the work may run in a region other than the
// given one.
func (w *Work) MayRunOutside(region string) bool {
	if w.Home != "" {
		return false // its requests enter at home
	}
	return len(w.Homes) == 0 || slices.ContainsFunc(w.Homes, func(home string) bool { return home != region })
}

// Limits bound one caller's use of a service across all instances of a region.
// Zero means unlimited.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	InFlight          int     `json:"in_flight,omitempty"`
}

// EngineState describes what a model engine has loaded and its role.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"` // such as "prefill", "decode" or ""
}

// Equal reports whether both states are the same, regardless of the order of
// the adapters.
func (s EngineState) Equal(o EngineState) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role &&
		slices.Equal(slices.Sorted(slices.Values(s.Adapters)), slices.Sorted(slices.Values(o.Adapters)))
}

// Service is one service behind the gateway.
type Service struct {
	Name    string                `json:"name"`
	Kind    Kind                  `json:"kind"`
	Regions []string              `json:"regions,omitempty"` // permitted regions; empty permits all
	Ranks   [RankCount]RankPolicy `json:"ranks"`
	Work    map[string]Work       `json:"work"`
	Default string                `json:"default,omitempty"` // work of a request that does not name one
	Limits  Limits                `json:"limits"`            // of a caller without an entry in Callers
	Callers map[string]Limits     `json:"callers,omitempty"`
	Engine  *EngineState          `json:"engine,omitempty"` // desired state of its engines; nil: not managed
	Warmup  Warmup                `json:"warmup,omitzero"`
	// TransferRate is the number of prompt tokens per second that a backend
	// server can fetch from the cache of another server of its region; 0: servers
	// cannot fetch.
	TransferRate float64 `json:"transfer_rate,omitempty"`
	// HealthPath is the path at which a backend server reports its health; "": it does not.
	HealthPath string `json:"health_path,omitempty"`
	// Levels order the requests of organizations with priorities; nil if none has one.
	Levels *Levels `json:"-"`
}

// Warmup bounds the requests sent to a backend server with cold caches.
type Warmup struct {
	Time  time.Duration `json:"time"`  // from the start of the server until it is warm
	Rate  float64       `json:"rate"`  // requests per second, summed over all instances
	Burst float64       `json:"burst"` // requests above the rate, summed over all instances
}

// LimitsOf returns the limits of the named caller.
func (s *Service) LimitsOf(caller string) Limits {
	if l, ok := s.Callers[caller]; ok {
		return l
	}
	return s.Limits
}

// hasHomes reports whether work of the service may not run in every region.
func (s *Service) hasHomes(work string) bool {
	w := s.Work[work]
	return w.Home != "" || len(w.Homes) > 0 || len(s.Regions) > 0
}

// Permits reports whether work w of the service may run in region.
func (s *Service) Permits(w Work, region string) bool {
	if w.Home != "" {
		return region == w.Home
	}
	return w.MayRunIn(region) && (len(s.Regions) == 0 || slices.Contains(s.Regions, region))
}

// PolicyOf returns the policy of work w of the service: its own, or that of its
// rank.
func (s *Service) PolicyOf(w Work) RankPolicy {
	if w.Policy != nil {
		return *w.Policy
	}
	return s.Ranks[w.Rank]
}

// Caller is an organization that sends requests.
type Caller struct {
	Name      string `json:"name"`
	KeyDigest string `json:"key_digest"` // of its API key, as returned by the function KeyDigest
}

// KeyDigest returns the SHA-256 of an API key in hex. The configuration contains
// this digest in place of the key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is one revision of the configuration. It must not be modified.
type Snapshot struct {
	Revision uint64              `json:"revision"`
	Services map[string]*Service `json:"services"`
	Callers  map[string]*Caller  `json:"callers"` // keyed by Caller.KeyDigest
	Routes   Routes              `json:"-"`       // nil if requests name their service
	Limits   RequestLimits       `json:"-"`
	// Organizations are nil if the configuration has none: callers need no key then.
	Organizations *Organizations `json:"-"`
}

// Resolve finds a service and its work. An empty work selects the service's
// default.
func (s *Snapshot) Resolve(service, work string) (*Service, Work, error) {
	svc, ok := s.Services[service]
	if !ok {
		return nil, Work{}, fmt.Errorf("catalog: %w: %q", ErrUnknownService, service)
	}
	if work == "" {
		work = svc.Default
	}
	w, ok := svc.Work[work]
	if !ok {
		return nil, Work{}, fmt.Errorf("catalog: %w: %q of service %q", ErrUnknownWork, work, service)
	}
	return svc, w, nil
}

// HomedRoutes returns the routes of a host whose requests may not run in every
// region.
func (s *Snapshot) HomedRoutes(host string) []*Route {
	var homed []*Route
	for _, route := range s.Routes.ForHost(host) {
		if slices.ContainsFunc(route.Targets, func(t RouteTarget) bool { return s.Services[t.Service].hasHomes(route.Name) }) {
			homed = append(homed, route)
		}
	}
	return homed
}

// RouteMayRunIn reports whether the requests of a route may run in region,
// whichever of the route's services they are for.
func (s *Snapshot) RouteMayRunIn(route *Route, region string) bool {
	for _, target := range route.Targets {
		service := s.Services[target.Service]
		if !service.Permits(service.Work[route.Name], region) {
			return false
		}
	}
	return true
}

// Authenticate returns the caller with the given API key.
func (s *Snapshot) Authenticate(key string) (*Caller, bool) {
	c, ok := s.Callers[KeyDigest(key)]
	return c, ok
}

// Table holds the snapshot in force. Reads take no lock.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// Advance puts next in force if its revision is higher than the current
// revision, and reports whether it did. A lower revision never replaces a higher
// one.
func (t *Table) Advance(next *Snapshot) bool {
	return t.replace(next, func(current uint64) bool { return next.Revision > current })
}

// Repair is like Advance, and also replaces a snapshot of the same revision. Its
// callers must know that the content in force is wrong.
func (t *Table) Repair(next *Snapshot) bool {
	return t.replace(next, func(current uint64) bool { return next.Revision >= current })
}

func (t *Table) replace(next *Snapshot, replaces func(current uint64) bool) bool {
	for {
		old := t.current.Load()
		if old != nil && !replaces(old.Revision) {
			return false
		}
		if t.current.CompareAndSwap(old, next) {
			return true
		}
	}
}
