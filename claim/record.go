package claim

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Keys of the store.
const (
	prefix       = "claims/"
	paramsKey    = prefix + "params"
	cleanKey     = prefix + "clean"
	recordPrefix = prefix + "r/"
	bucketLayout = "200601021504" // records lie in buckets of one minute
	bucketSize   = time.Minute
)

// Record is the stored state of one idempotency key.
type Record struct {
	// Attempt is the random id of the attempt that holds the claim. Reading it
	// back settles a write whose answer was lost.
	Attempt string `json:"a"`
	// Request is the keyed digest of the request, so that a key used for a
	// second, different request is noticed.
	Request string `json:"q"`
	// Outcome is that of the attempt; Unknown while it is unfinished. After
	// NotRun the key may be claimed again.
	Outcome outcome.Outcome `json:"o,omitempty"`
}

func (r Record) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic("claim: record cannot be encoded: " + err.Error())
	}
	return text
}

func decodeRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, errors.Wrap(err, "claim: decode record")
	}
	return r, nil
}

func bucketOf(date time.Time) string {
	return recordPrefix + date.UTC().Format(bucketLayout) + "/"
}
