package dispatch

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// hopByHop are the request headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, outcome.RequestIDHeader: true,
}

// ownPrefix begins the headers of this system.
const ownPrefix = "Fuchsia-"

// CopyEndToEnd copies the headers of a request that concern more than one
// connection, without those of this system.
func CopyEndToEnd(to, from http.Header) {
	listed := from["Connection"]
	for name, values := range from {
		if !hopByHop[name] && !strings.HasPrefix(name, ownPrefix) && !lists(listed, name) {
			to[name] = values
		}
	}
}

// lists reports whether a Connection header names another header.
func lists(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// decodeError reads an error body of another instance.
func decodeError(text []byte) *outcome.Error {
	var body outcome.Body
	if err := json.Unmarshal(text, &body); err != nil {
		return &outcome.Error{Code: outcome.CodeInternal, Message: "unreadable error of another instance", Cause: err}
	}
	return &outcome.Error{Code: body.Error.Code, Message: body.Error.Message}
}
