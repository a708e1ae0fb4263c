// Package outcome defines what is certain about the execution of a request.
// Every response of the gateway's own API carries exactly one Outcome, in the
// header or trailer named by Header and, for errors, in the body.
//
// NotRun is a guarantee: no byte of the request was sent to a backend server,
// or the backend server itself refused the request before running it. Anything
// less certain is MayHaveRun.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Header names the response header (and trailer of a stream) that carries the
// Outcome.
const Header = "Fuchsia-Outcome"

// Outcome states whether a request was executed.
type Outcome uint8

const (
	// Unknown is the zero value. No response has it as its own outcome.
	Unknown Outcome = iota
	// Served means that the request ran and its complete response was delivered.
	Served
	// NotRun means that the request was not executed and may be retried.
	NotRun
	// MayHaveRun means that the request may have been executed.
	MayHaveRun
	// Duplicate means that another attempt with the same idempotency key holds
	// the execution, and that this attempt was not executed.
	Duplicate
)

var wireNames = [...]string{"unknown", "served", "not-run", "may-have-run", "duplicate"}

// String returns the wire form, such as "not-run".
func (o Outcome) String() string {
	if int(o) < len(wireNames) {
		return wireNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Parse returns the Outcome with the wire form s, or Unknown if there is none.
func Parse(s string) Outcome {
	for i, name := range wireNames {
		if s == name {
			return Outcome(i)
		}
	}
	return Unknown
}

// Code is the machine-readable reason of an Error. Codes are stable across
// versions.
type Code string

// The codes of the gateway's errors.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownWork      Code = "unknown_work"
	CodeBadDeadline      Code = "bad_deadline"
	CodeWrongRegion      Code = "wrong_region"
	CodeLoop             Code = "loop"
	CodeOverloaded       Code = "overloaded"
	CodeRateLimited      Code = "rate_limited"
	CodeDeadline         Code = "deadline_exceeded"
	CodeNoBackend        Code = "no_backend_server"
	CodeUnknownStream    Code = "unknown_stream"
	CodeBackendFailed    Code = "backend_server_failed"
	CodeBackendRefused   Code = "backend_server_refused"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not_ready"
	CodeCanceled         Code = "canceled"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeDuplicate        Code = "duplicate"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeQuarantined      Code = "quarantined"
	CodeInternal         Code = "internal"
)

// Error describes a request that was not served. All fields but Cause are sent
// to the caller.
type Error struct {
	Outcome    Outcome
	Status     int // HTTP status
	Code       Code
	Message    string        // one sentence; must not contain request content
	RetryAfter time.Duration // zero: no Retry-After header
	Location   string        // URL of an instance that may serve the request, or ""
	Cause      error         // for logs only
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Outcome, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns an Error with outcome NotRun. The message is formatted as by
// fmt.Sprintf.
func Refuse(status int, code Code, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Fail returns an Error with outcome MayHaveRun and HTTP status 502. The message
// is formatted as by fmt.Sprintf.
func Fail(code Code, cause error, format string, args ...any) *Error {
	return &Error{
		Outcome: MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Cause:   cause,
	}
}

// WithRetryAfter sets the time after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}
