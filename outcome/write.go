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

// Body is the JSON form of an Error. It has the structure of the errors of the
// OpenAI API.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      Code   `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

// Body returns the JSON form of e.
func (e *Error) Body(requestID string) Body {
	errorType := "server_error"
	if e.Status >= 400 && e.Status < 500 {
		errorType = "invalid_request_error"
	}
	return Body{Error: BodyError{
		Message:   e.Message,
		Type:      errorType,
		Code:      e.Code,
		Outcome:   e.Outcome.String(),
		RequestID: requestID,
	}}
}

// Write sends e as a complete HTTP response. The response must not have been
// started.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(Header, e.Outcome.String())
	header.Set(RequestIDHeader, requestID)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	if e.Location != "" {
		header.Set("Location", e.Location)
	}
	body, err := json.Marshal(e.Body(requestID))
	if err != nil {
		panic("outcome: encode error body: " + err.Error())
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}

// ceilSeconds rounds d up, because Retry-After takes whole seconds.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
