package filters

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// FirstOutcomeHeader names the response header of a duplicate that carries the
// outcome of the first attempt; "unknown" while that attempt is unfinished.
const FirstOutcomeHeader = "Fuchsia-First-Outcome"

// claimRetryAfter is the Retry-After if the claim store did not grant the claim.
const claimRetryAfter = 2 * time.Second

// Claimer claims idempotency keys.
type Claimer interface {
	// Claim returns the Attempt that holds the idempotency key and may run the
	// request. Any error means that this attempt must not run.
	Claim(ctx context.Context, req claim.Request) (*claim.Attempt, error)
}

// Claim makes work that is not repeatable run at most once: only the attempt
// that holds the idempotency key passes to the rest of the chain.
type Claim struct {
	// Claimer is nil if the instance has no digest key. Work that is not
	// repeatable is then refused.
	Claimer Claimer
}

// Name implements Filter.
func (Claim) Name() string { return "claim" }

// Handle implements Filter.
func (f Claim) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Work.Repeatable {
		return next(x)
	}
	if x.IdempotencyKey == "" {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeKeyRequired, "this work needs an %s header", IdempotencyHeader)
	}
	if f.Claimer == nil {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeClaimUnavailable, "this instance has no digest key")
	}
	ctx, cancel := context.WithDeadline(x.Request.Context(), x.Deadline)
	defer cancel()
	attempt, err := f.Claimer.Claim(ctx, claimRequest(x))
	if err != nil {
		return refuseClaim(x, err)
	}
	return runClaimed(x, attempt, next)
}

// runClaimed calls the rest of the chain and records the outcome. A panic that
// aborts the connection after the start of the response leaves the outcome
// MayHaveRun.
func runClaimed(x *Exchange, attempt *claim.Attempt, next Handler) *outcome.Error {
	result := outcome.MayHaveRun
	defer func() { attempt.Finish(result) }()
	err := runBeforeDeadline(x, next)
	if err == nil {
		result = outcome.Served
	} else {
		result = err.Outcome
	}
	return err
}

// runBeforeDeadline refuses a request whose deadline passed while it was claimed.
// This prevents an instance whose process was suspended meanwhile from sending
// the request after the deadline.
func runBeforeDeadline(x *Exchange, next Handler) *outcome.Error {
	if !time.Now().Before(x.Deadline) {
		return outcome.Refuse(http.StatusGatewayTimeout, outcome.CodeDeadline, "the deadline passed before the request was sent")
	}
	return next(x)
}

func claimRequest(x *Exchange) claim.Request {
	return claim.Request{
		Caller:  x.Caller,
		Service: x.Service.Name,
		Key:     x.IdempotencyKey,
		Content: [][]byte{[]byte(x.Work.Name), []byte(x.Request.Method), []byte(x.Path), x.Body},
	}
}

func refuseClaim(x *Exchange, err error) *outcome.Error {
	var duplicate *claim.DuplicateError
	var refusal *outcome.Error
	switch {
	case errors.As(err, &duplicate):
		x.Writer.Header().Set(FirstOutcomeHeader, duplicate.FirstOutcome.String())
		refusal = outcome.Refuse(http.StatusConflict, outcome.CodeDuplicate, "another attempt holds this idempotency key; its outcome is %s", duplicate.FirstOutcome)
		refusal.Outcome = outcome.Duplicate
	case errors.Is(err, claim.ErrReusedKey):
		refusal = outcome.Refuse(http.StatusUnprocessableEntity, outcome.CodeKeyReused, "the idempotency key was used for another request")
	case errors.Is(err, claim.ErrExpiredKey):
		refusal = outcome.Refuse(http.StatusUnprocessableEntity, outcome.CodeKeyExpired, "the idempotency key is too old to tell whether its call has run")
	case errors.Is(err, claim.ErrMalformedKey):
		refusal = outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "%s must be a UTC date and a random part, such as 20261204T080000Z-3f6c21d09a", IdempotencyHeader)
	default:
		refusal = outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeClaimUnavailable, "the idempotency key could not be claimed").WithRetryAfter(claimRetryAfter)
	}
	refusal.Cause = err
	return refusal
}
