// Package entry answers the callers' question which entry instance to use,
// and holds the client that follows the answer.
package entry

// Path is where every instance answers the question. Its query parameters are
// the caller's "region" and "zone", a "caller" that stays the same for one
// caller and is different for others, and optionally the "service" and "work"
// that the caller is going to ask for.
const Path = "/v1/entry"

// Instance is an entry instance that a caller may use.
type Instance struct {
	ID     string `json:"id"`
	URL    string `json:"url"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// Answer lists instances, best first.
type Answer struct {
	Instances  []Instance `json:"instances"`
	TTLSeconds int        `json:"ttl_seconds"` // how long the answer holds
}

// Query is what is known of a caller that asks.
type Query struct {
	Region, Zone string
	Caller       string // orders equal instances differently for different callers
	// Permits reports whether a region may receive the caller's work; nil
	// permits all.
	Permits func(region string) bool
}
