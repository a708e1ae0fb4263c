package catalog

import "crypto/sha256"

// Organization is a customer whose callers share API keys, a priority, home regions
// and a quota.
type Organization struct {
	Name string
	// Priority precedes the priority of the work; 0 is the most urgent. It is nil if the
	// configuration sets none, and the priority of the work alone counts.
	Priority *int
	// Homes are the regions that may run its requests. Empty permits all regions.
	Homes []string
	Quota Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	QuotaRequests QuotaUnit = "requests"
	QuotaTokens   QuotaUnit = "tokens"
)

// Quota bounds what all instances together run for an organization: within any time T,
// at most Rate times T plus Burst.
type Quota struct {
	Rate  float64 // units per second; 0: no limit
	Burst float64 // units
	Unit  QuotaUnit
	// PlainTokens is what a request without token counts uses of a quota in tokens.
	PlainTokens int
}

// Limited reports whether the quota limits anything.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request with the given numbers of prompt tokens and of output
// tokens at most uses of the quota. A request without token counts has 0 of both.
func (q *Quota) Cost(promptTokens, maxOutputTokens int) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case promptTokens <= 0 && maxOutputTokens <= 0:
		return float64(q.PlainTokens)
	default:
		return float64(max(promptTokens, 0)) + float64(max(maxOutputTokens, 0)) // the sum of integers could overflow
	}
}

// Digest is the SHA-256 of an API key. Looking up a digest in a map takes no time that
// depends on how much of a key is right.
type Digest [sha256.Size]byte

// usualKeyBytes is the length up to which hashing a key allocates no memory.
const usualKeyBytes = 256

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	var buffer [usualKeyBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// Organizations are the organizations of a configuration. They must not be modified
// after the Snapshot is in force.
type Organizations struct {
	byKey  map[Digest]*Organization
	byName map[string]*Organization
}

// NewOrganizations returns a set without organizations.
func NewOrganizations() *Organizations {
	return &Organizations{byKey: make(map[Digest]*Organization), byName: make(map[string]*Organization)}
}

// Add adds an organization with the digests of its keys. It returns false, and adds
// nothing, if the name or a key is of another organization.
func (o *Organizations) Add(organization *Organization, keys []Digest) bool {
	if _, known := o.byName[organization.Name]; known {
		return false
	}
	for _, key := range keys {
		if _, known := o.byKey[key]; known {
			return false
		}
	}
	o.byName[organization.Name] = organization
	for _, key := range keys {
		o.byKey[key] = organization
	}
	return true
}

// Authenticate returns the organization that holds an API key, or nil.
func (o *Organizations) Authenticate(key string) *Organization {
	return o.byKey[DigestOf(key)]
}

// HasKey reports whether an organization holds the key with a digest.
func (o *Organizations) HasKey(key Digest) bool { return o.byKey[key] != nil }

// ByName returns the organization with a name, or nil.
func (o *Organizations) ByName(name string) *Organization { return o.byName[name] }

// Len returns the number of organizations.
func (o *Organizations) Len() int { return len(o.byName) }

// All calls yield with each organization, in no particular order, until it returns false.
func (o *Organizations) All(yield func(*Organization) bool) {
	for _, organization := range o.byName {
		if !yield(organization) {
			return
		}
	}
}
