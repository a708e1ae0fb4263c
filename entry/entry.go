// Package entry answers the callers' question which entry instance to use,
// and holds the client that follows the answer.
package entry

import (
	"cmp"
	"slices"
)

// Path is where every instance answers the question, with the caller's region
// and zone as the query parameters "region" and "zone".
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

// maxInstances bounds an answer.
const maxInstances = 8

// answerTTLSeconds is how long an answer holds.
const answerTTLSeconds = 5

// Select orders instances for a caller: those of its zone first, then those of
// its region, then the rest. spread decides among equals.
func Select(instances []Instance, region, zone string, spread func(id string) uint64) Answer {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(distance(a, region, zone), distance(b, region, zone)),
			cmp.Compare(spread(a.ID), spread(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return Answer{Instances: ordered[:min(len(ordered), maxInstances)], TTLSeconds: answerTTLSeconds}
}

func distance(i Instance, region, zone string) int {
	switch {
	case i.Region == region && i.Zone == zone:
		return 0
	case i.Region == region:
		return 1
	}
	return 2
}
