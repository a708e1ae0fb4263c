package claim

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// Layout of the keys in the store.
const (
	keyPrefix        = "claims/"
	paramsKey        = keyPrefix + "params"
	cleanProgressKey = keyPrefix + "clean"
	recordPrefix     = keyPrefix + "r/"
	bucketLayout     = "200601021504" // records are grouped by the minute of their key's date
	bucketSize       = time.Minute
)

// Record is the state of one idempotency key in the store.
type Record struct {
	// AttemptID is the random id of the attempt that wrote the claim. Reading
	// it back shows whether a write whose response was lost took effect.
	AttemptID string `json:"a"`
	// RequestDigest is the keyed digest of the request. It detects a key that
	// is used for two different requests.
	RequestDigest string `json:"q"`
	// Outcome is the outcome of the attempt; Unknown while it is unfinished.
	// After NotRun the key may be claimed again.
	Outcome outcome.Outcome `json:"o,omitempty"`
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("claim: encode record: " + err.Error())
	}
	return data
}

func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "claim: decode record")
	}
	return r, nil
}

func bucketPrefix(date time.Time) string {
	return recordPrefix + date.UTC().Format(bucketLayout) + "/"
}
