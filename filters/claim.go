package filters

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// FirstOutcomeHeader tells the caller of a duplicate how the first attempt
// ended; "unknown" while it is unfinished.
const FirstOutcomeHeader = "Fuchsia-First-Outcome"

// claimRetry is the Retry-After of a claim that the store did not grant.
const claimRetry = 2 * time.Second

// Claimer claims idempotency keys.
type Claimer interface {
	// Claim returns the claim of the only attempt that may run.
	Claim(ctx context.Context, req claim.Request) (*claim.Attempt, error)
}

// Claim lets a call that must not be repeated run at most once: the rest of
// the chain is called only by the attempt that holds the idempotency key.
type Claim struct {
	// Claimer is nil if the instance has no digest key; calls that must
	// not be repeated are refused then.
	Claimer Claimer
}

// Name implements Filter.
func (Claim) Name() string { return "claim" }

// Handle implements Filter.
func (f Claim) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Work.Repeatable {
		return next(x)
	}
	if x.Idempotency == "" {
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
	return run(x, attempt, next)
}

// run calls the rest of the chain and records how it ended. A panic after the
// start of the answer aborts the connection; the call may have run then.
func run(x *Exchange, attempt *claim.Attempt, next Handler) *outcome.Error {
	ended := outcome.MayHaveRun
	defer func() { attempt.Finish(ended) }()
	err := runInTime(x, next)
	if err == nil {
		ended = outcome.Served
	} else {
		ended = err.Outcome
	}
	return err
}

// runInTime refuses a call whose deadline passed while it was claimed, so that
// an instance that was frozen in between does not send it late.
func runInTime(x *Exchange, next Handler) *outcome.Error {
	if !time.Now().Before(x.Deadline) {
		return outcome.Refuse(http.StatusGatewayTimeout, outcome.CodeDeadline, "the deadline passed before the request was sent")
	}
	return next(x)
}

func claimRequest(x *Exchange) claim.Request {
	return claim.Request{
		Caller:  x.Caller,
		Service: x.Service.Name,
		Key:     x.Idempotency,
		Content: [][]byte{[]byte(x.Work.Name), []byte(x.Request.Method), []byte(x.Path), x.Body},
	}
}

func refuseClaim(x *Exchange, err error) *outcome.Error {
	var taken *claim.Taken
	var refusal *outcome.Error
	switch {
	case errors.As(err, &taken):
		x.Writer.Header().Set(FirstOutcomeHeader, taken.First.String())
		refusal = outcome.Refuse(http.StatusConflict, outcome.CodeDuplicate, "another attempt holds this idempotency key; its outcome is %s", taken.First)
		refusal.Outcome = outcome.Duplicate
	case errors.Is(err, claim.ErrReused):
		refusal = outcome.Refuse(http.StatusUnprocessableEntity, outcome.CodeKeyReused, "the idempotency key was used for another request")
	case errors.Is(err, claim.ErrExpiredKey):
		refusal = outcome.Refuse(http.StatusUnprocessableEntity, outcome.CodeKeyExpired, "the idempotency key is too old to tell whether its call has run")
	case errors.Is(err, claim.ErrMalformedKey):
		refusal = outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "%s must be a UTC date and a random part, such as 20261204T080000Z-3f6c21d09a", IdempotencyHeader)
	default:
		refusal = outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeClaimUnavailable, "the idempotency key could not be claimed").WithRetryAfter(claimRetry)
	}
	refusal.Cause = err
	return refusal
}
