// Package entry selects the entry instances that a caller should use. It also
// contains the client that queries for these instances and sends requests to
// them.
package entry

// Path is the HTTP path at which every instance returns the list of entry
// instances for a caller. Its query parameters are the caller's "region" and
// "zone", a "caller" id that is stable for one caller and distinct from that of
// others, and optionally the "service" and "work" that the caller is going to
// request.
const Path = "/v1/entry"

// Instance is an entry instance that a caller may use.
type Instance struct {
	ID     string `json:"id"`
	URL    string `json:"url"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Response lists entry instances in order of preference.
type Response struct {
	Instances  []Instance `json:"instances"`
	TTLSeconds int        `json:"ttl_seconds"` // how long the caller may use the list
}

// Query describes the caller that queries for instances.
type Query struct {
	Region, Zone string
	Caller       string // determines the order of otherwise equal instances
	// Permits reports whether a region may receive the caller's work; nil
	// permits all.
	Permits func(region string) bool
}
