package filters

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// maxRequestIDBytes limits the length of a request id that a caller sends.
const maxRequestIDBytes = 128

// RequestID returns the request id that r carries if it is well formed, or a
// new one.
func RequestID(r *http.Request) string {
	id := r.Header.Get(outcome.RequestIDHeader)
	if isToken(id, maxRequestIDBytes) {
		return id
	}
	return uuid.NewString()
}

// isToken reports whether s has 1 to maxBytes bytes and consists of ASCII
// letters, digits, '-', '_', '.' and ':'.
func isToken(s string, maxBytes int) bool {
	if s == "" || len(s) > maxBytes {
		return false
	}
	for _, c := range []byte(s) {
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}
	return true
}

// Ready sets the Exchange's Snapshot to the current configuration. It refuses
// requests until the first configuration has been loaded.
type Ready struct{ Table *catalog.Table }

// Name implements Filter.
func (Ready) Name() string { return "ready" }

// Handle implements Filter.
func (f Ready) Handle(x *Exchange, next Handler) *outcome.Error {
	x.Snapshot = f.Table.Current()
	if x.Snapshot == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNotReady, "no configuration loaded yet").WithRetryAfter(notReadyRetryAfter)
	}
	return next(x)
}

// Authenticate identifies the caller by its API key.
type Authenticate struct{}

// Name implements Filter.
func (Authenticate) Name() string { return "authenticate" }

// Handle implements Filter.
func (Authenticate) Handle(x *Exchange, next Handler) *outcome.Error {
	key, ok := strings.CutPrefix(x.Request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return outcome.Refuse(http.StatusUnauthorized, outcome.CodeUnauthenticated, "no API key: send Authorization: Bearer KEY")
	}
	caller, ok := x.Snapshot.Authenticate(key)
	if !ok {
		return outcome.Refuse(http.StatusUnauthorized, outcome.CodeUnauthenticated, "unknown API key")
	}
	x.Caller = caller.Name
	return next(x)
}
