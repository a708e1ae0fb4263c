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

// KeyLayout is the date that begins an idempotency key, in UTC. A key is
// "20261204T080000Z-RANDOM".
const KeyLayout = "20060102T150405Z"

// Bounds of an idempotency key.
const (
	maxKeyBytes    = 128
	minRandomBytes = 8
)

// MaxClockSkew is the largest difference assumed between the clocks of two
// instances, or of an instance and a caller.
const MaxClockSkew = 5 * time.Minute

// Reasons for refusing a key.
var (
	ErrMalformedKey = errors.New("claim: idempotency key is malformed")
	ErrExpiredKey   = errors.New("claim: idempotency key is older than the retention")
)

// ParseKey returns the date of an idempotency key.
func ParseKey(key string) (time.Time, error) {
	date, random, ok := strings.Cut(key, "-")
	if !ok || len(random) < minRandomBytes || len(key) > maxKeyBytes {
		return time.Time{}, ErrMalformedKey
	}
	at, err := time.Parse(KeyLayout, date)
	if err != nil {
		return time.Time{}, ErrMalformedKey
	}
	return at, nil
}

// NewKey returns a key dated at now. random must be unique to the call.
func NewKey(now time.Time, random string) string {
	return now.UTC().Format(KeyLayout) + "-" + random
}

// checkAge refuses a key that is too old, or dated too far in the future. A
// record may be deleted once no instance can accept its key any more.
func checkAge(date, now time.Time, retention time.Duration) error {
	switch {
	case date.After(now.Add(MaxClockSkew)):
		return ErrMalformedKey
	case now.After(date.Add(retention)):
		return ErrExpiredKey
	}
	return nil
}

// digester computes keyed digests, so that the store holds nothing from which
// a caller's key or request could be guessed and tested.
type digester struct{ secret []byte }

// digest returns the keyed digest of parts. Each part is preceded by its
// length, so that no two lists of parts are encoded alike.
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
