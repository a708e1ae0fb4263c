package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RequestIDHeader names the header that carries the request id.
const RequestIDHeader = "X-Request-Id"

// Body is the JSON form of an Error, shaped as the errors of the OpenAI API.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of a Body.
type BodyError struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      Code   `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

// Body returns the JSON form of e.
func (e *Error) Body(requestID string) Body {
	kind := "server_error"
	if e.Status >= 400 && e.Status < 500 {
		kind = "invalid_request_error"
	}
	return Body{Error: BodyError{
		Message:   e.Message,
		Type:      kind,
		Code:      e.Code,
		Outcome:   e.Outcome.String(),
		RequestID: requestID,
	}}
}

// Write sends e as a whole HTTP response. The response must not have been
// started.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(Header, e.Outcome.String())
	header.Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	if e.Location != "" {
		header.Set("Location", e.Location)
	}
	body, err := json.Marshal(e.Body(requestID))
	if err != nil {
		panic("outcome: error body cannot be encoded: " + err.Error())
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// wholeSeconds rounds d up, as Retry-After has no fraction.
func wholeSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
