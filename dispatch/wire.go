package dispatch

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// dropped are the request headers that stay at the gateway.
var dropped = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, outcome.RequestIDHeader: true,
}

// copyRequestHeader copies the end-to-end headers of a request, without those
// of this system.
func copyRequestHeader(to, from http.Header) {
	for name, values := range from {
		if !dropped[name] && !strings.HasPrefix(name, "Fuchsia-") {
			to[name] = values
		}
	}
}

// decodeError reads an error body of another instance.
func decodeError(text []byte) *outcome.Error {
	var body outcome.Body
	if err := json.Unmarshal(text, &body); err != nil {
		return &outcome.Error{Code: outcome.CodeInternal, Message: "unreadable error of another instance", Cause: err}
	}
	return &outcome.Error{Code: body.Error.Code, Message: body.Error.Message}
}
