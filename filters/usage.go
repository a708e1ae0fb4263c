package filters

import (
	"bytes"
	"net/http"

	"github.com/tidwall/gjson"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// defaultOutputTokens is the assumed length of a response for which the caller
// sets no limit.
const defaultOutputTokens = 256

// dataPrefix begins each event of a streamed response. An event carries about
// one token.
var dataPrefix = []byte("data: ")

// TokenEstimate returns the expected number of tokens of prompt and response; 1
// for a plain service.
func (x *Exchange) TokenEstimate() int {
	if x.Service.Kind != catalog.Model {
		return 1
	}
	output := x.MaxOutputTokens
	if output <= 0 {
		output = defaultOutputTokens
	}
	return x.PromptTokens + output
}

// tokenCounter counts the tokens that a request uses, from the response written
// through it.
type tokenCounter struct {
	http.ResponseWriter
	isModel        bool
	promptTokens   int
	events         int
	reportedTokens int // total that the engine reports, prompt included
}

// countTokens makes x.Writer a tokenCounter and returns it. A second call for the
// same request returns the first counter.
func countTokens(x *Exchange) *tokenCounter {
	if c, ok := x.Writer.(*tokenCounter); ok {
		return c
	}
	c := &tokenCounter{ResponseWriter: x.Writer, isModel: x.Service.Kind == catalog.Model, promptTokens: x.PromptTokens}
	x.Writer = c
	return c
}

// Unwrap lets http.ResponseController reach the connection.
func (c *tokenCounter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write implements http.ResponseWriter.
func (c *tokenCounter) Write(p []byte) (int, error) {
	if !c.isModel {
		return c.ResponseWriter.Write(p)
	}
	if events := bytes.Count(p, dataPrefix); events > 0 {
		c.events += events
	} else if c.events == 0 && c.reportedTokens == 0 {
		c.reportedTokens = int(gjson.GetBytes(p, "usage.total_tokens").Int())
	}
	return c.ResponseWriter.Write(p)
}

// total returns the number of tokens used so far: the engine's total if it was
// reported, or else the prompt tokens and the number of streamed events.
func (c *tokenCounter) total() int {
	if c.reportedTokens > 0 {
		return c.reportedTokens
	}
	return c.promptTokens + c.events
}
