package dispatch

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// excludedHeaders are the request headers that CopyEndToEnd omits, as they apply to a
// single connection.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true,
}

// gatewayHeaderPrefix is the prefix of the gateway's own headers.
const gatewayHeaderPrefix = "Fuchsia-"

// CopyEndToEnd copies the end-to-end headers of a request, without the gateway's
// own headers. If the request has no User-Agent, net/http adds none of its own.
func CopyEndToEnd(to, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if !excludedHeaders[name] && !strings.HasPrefix(name, gatewayHeaderPrefix) && !listedInConnection(connection, name) {
			to[name] = values
		}
	}
	if _, set := to["User-Agent"]; !set {
		to["User-Agent"] = nil
	}
}

// listedInConnection reports whether the values of a Connection header list the
// header name.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// decodeError decodes an error body from another instance.
func decodeError(text []byte) *outcome.Error {
	var body outcome.Body
	if err := json.Unmarshal(text, &body); err != nil {
		return &outcome.Error{Code: outcome.CodeInternal, Message: "unreadable error of another instance", Cause: err}
	}
	return &outcome.Error{Code: body.Error.Code, Message: body.Error.Message}
}
