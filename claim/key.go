package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// KeyDateLayout is the time layout of the UTC date at the start of an idempotency
// key, such as "20261204T080000Z-RANDOM".
const KeyDateLayout = "20060102T150405Z"

// Limits of an idempotency key.
const (
	maxKeyBytes    = 128
	minRandomBytes = 8
)

// MaxClockSkew is the assumed upper bound on the clock difference between two
// instances, or between an instance and a caller.
const MaxClockSkew = 5 * time.Minute

// Reasons for rejecting an idempotency key. A key whose date is more than
// MaxClockSkew in the future is malformed.
var (
	ErrMalformedKey = errors.New("claim: idempotency key is malformed")
	ErrExpiredKey   = errors.New("claim: idempotency key is older than the retention period")
)

// ParseKey returns the date of an idempotency key, or ErrMalformedKey. It does
// not check the age of the key.
func ParseKey(key string) (time.Time, error) {
	date, random, ok := strings.Cut(key, "-")
	if !ok || len(random) < minRandomBytes || len(key) > maxKeyBytes {
		return time.Time{}, ErrMalformedKey
	}
	at, err := time.Parse(KeyDateLayout, date)
	if err != nil {
		return time.Time{}, ErrMalformedKey
	}
	return at, nil
}

// NewKey returns an idempotency key with the date now. random must be unique to
// the call and at least 8 bytes long.
func NewKey(now time.Time, random string) string {
	return now.UTC().Format(KeyDateLayout) + "-" + random
}

// checkAge rejects a key that is older than the retention period or dated too
// far in the future. A record may be deleted once no instance accepts its key.
func checkAge(date, now time.Time, retention time.Duration) error {
	switch {
	case date.After(now.Add(MaxClockSkew)):
		return ErrMalformedKey
	case now.After(date.Add(retention)):
		return ErrExpiredKey
	}
	return nil
}

// digester computes keyed digests. Without the secret, a reader of the store
// cannot test guesses of an idempotency key or of a request.
type digester struct{ secret []byte }

// digest returns the keyed digest of parts. Each part is prefixed with its
// length, so that different lists of parts have different encodings.
func (d digester) digest(parts ...[]byte) string {
	mac := hmac.New(sha256.New, d.secret)
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
