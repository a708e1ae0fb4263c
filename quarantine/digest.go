package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Digest identifies a request by its content. It is keyed, so that who reads
// it without the key can neither learn the content nor check a guess.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Key is the secret of the deployment under which digests are made. All
// instances of all regions must have the same one.
type Key []byte

// volatile are the fields of a JSON body that a caller may change when it
// sends the same request again, and that do not change what is computed.
var volatile = map[string]bool{
	"id": true, "request_id": true, "user": true, "metadata": true, "store": true,
	"stream": true, "stream_options": true, "safety_identifier": true, "prompt_cache_key": true,
}

// Digest returns the digest of a request. It does not depend on headers, on
// the request id, or on the order and the spacing of the fields of a JSON
// body.
func (k Key) Digest(service, path string, body []byte) Digest {
	mac := hmac.New(sha256.New, k)
	path, _, _ = strings.Cut(path, "?")
	for _, part := range []string{service, path} {
		_, _ = mac.Write([]byte(part))
		_, _ = mac.Write([]byte{0})
	}
	if text := strings.TrimSpace(string(body)); strings.HasPrefix(text, "{") && gjson.Valid(text) {
		for _, field := range stableFields(text) {
			_, _ = mac.Write([]byte(field))
			_, _ = mac.Write([]byte{0})
		}
	} else {
		_, _ = mac.Write(body)
	}
	var d Digest
	copy(d[:], mac.Sum(nil))
	return d
}

// stableFields returns the fields of a JSON object that decide what is
// computed, in compact form and in order of their names.
func stableFields(text string) []string {
	var fields []string
	gjson.Parse(text).ForEach(func(name, value gjson.Result) bool {
		if !volatile[name.String()] {
			fields = append(fields, name.Raw+":"+compact(value))
		}
		return true
	})
	slices.Sort(fields)
	return fields
}

// compact returns a value without insignificant space.
func compact(value gjson.Result) string {
	if value.IsObject() || value.IsArray() {
		return gjson.Get(value.Raw, "@ugly").Raw
	}
	return value.Raw
}
