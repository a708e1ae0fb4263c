package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Digest identifies a request by its content. It is keyed, so that a reader
// without the key can neither recover the content nor verify a guess of it.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Key is the secret key of the digests of a deployment. It must be the same at
// all instances of all regions.
type Key []byte

// volatileFields are the fields of a JSON body that a caller may change when it
// sends the same request again, and that do not change what is computed.
var volatileFields = map[string]bool{
	"id": true, "request_id": true, "user": true, "metadata": true, "store": true,
	"stream": true, "stream_options": true, "safety_identifier": true, "prompt_cache_key": true,
}

// Digest returns the digest of a request. It does not depend on headers or on
// the query of the path. For a JSON object as the body, it does not depend on
// volatileFields, on the order of the top-level fields or on whitespace.
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

// stableFields returns the top-level fields of a JSON object that determine what
// is computed, each in compact form, in sorted order.
func stableFields(text string) []string {
	var fields []string
	gjson.Parse(text).ForEach(func(name, value gjson.Result) bool {
		if !volatileFields[name.String()] {
			fields = append(fields, name.Raw+":"+compactJSON(value))
		}
		return true
	})
	slices.Sort(fields)
	return fields
}

// compactJSON returns a JSON value without insignificant whitespace.
func compactJSON(value gjson.Result) string {
	if value.IsObject() || value.IsArray() {
		return gjson.Get(value.Raw, "@ugly").Raw
	}
	return value.Raw
}
