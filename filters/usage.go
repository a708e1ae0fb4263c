package filters

import (
	"bytes"
	"net/http"

	"github.com/tidwall/gjson"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// defaultAnswerTokens is assumed for an answer whose length the caller does
// not bound.
const defaultAnswerTokens = 256

// eventPrefix begins each event of a streamed answer; an event carries about
// one token.
var eventPrefix = []byte("data: ")

// TokenEstimate returns the expected tokens of prompt and answer; 1 for a
// plain service.
func (x *Exchange) TokenEstimate() int {
	if x.Service.Kind != catalog.Model {
		return 1
	}
	answer := x.AnswerTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	return x.PromptTokens + answer
}

// usage counts the tokens that a request takes, from the answer that passes.
type usage struct {
	http.ResponseWriter
	model    bool
	prompt   int
	events   int
	reported int // by the engine itself, prompt included
}

// meter puts a usage on the way of the answer, once for each request.
func meter(x *Exchange) *usage {
	if u, ok := x.Writer.(*usage); ok {
		return u
	}
	u := &usage{ResponseWriter: x.Writer, model: x.Service.Kind == catalog.Model, prompt: x.PromptTokens}
	x.Writer = u
	return u
}

// Unwrap lets http.ResponseController reach the connection.
func (u *usage) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// Write implements http.ResponseWriter.
func (u *usage) Write(p []byte) (int, error) {
	if !u.model {
		return u.ResponseWriter.Write(p)
	}
	if events := bytes.Count(p, eventPrefix); events > 0 {
		u.events += events
	} else if u.events == 0 && u.reported == 0 {
		u.reported = int(gjson.GetBytes(p, "usage.total_tokens").Int())
	}
	return u.ResponseWriter.Write(p)
}

// total returns the tokens taken so far.
func (u *usage) total() int {
	if u.reported > 0 {
		return u.reported
	}
	return u.prompt + u.events
}
