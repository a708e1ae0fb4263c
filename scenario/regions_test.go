// Package scenario tests the gateway end to end: each daemon and stand-in is a
// separate process.
package scenario

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
)

// Exit statuses of fuchsiactl.
const (
	ctlAccepted = 0
	ctlRefused  = 1
	ctlPending  = 2
)

// startSwatchGuild starts two regions of the swatch-guild example with one engine
// and one instance in each, and a plain service in cairo. The returned client
// enters from region alex; its bootstrap list is the instance of cairo.
func startSwatchGuild(tb testing.TB) (*fleet, *entry.Client) {
	f := newFleet(tb)
	f.ctl(ctlPending, "publish", "--bootstrap", "--wait", "0s", "../examples/swatch-guild")
	f.backend("engine", "engine-cairo", "drafting-desk", "cairo")
	f.backend("engine", "engine-alex", "drafting-desk", "alex")
	f.backend("plain", "orders-cairo", "orders-desk", "cairo")
	cairo := f.daemon("entry-cairo", "cairo", "cairo-a")
	alex := f.daemon("entry-alex", "alex", "alex-a")
	f.awaitInstances(cairo, 2)
	f.awaitInstances(alex, 2)
	out := f.ctl(ctlPending, "status", "--wait", "1s")
	qt.Assert(tb, out, qt.Contains, "no answer from region: delta")
	return f, &entry.Client{Bootstrap: []string{cairo}, Region: "alex", Zone: "alex-a"}
}

// awaitInstances waits until the instance at url lists count instances.
func (f *fleet) awaitInstances(url string, count int) {
	f.await(startTimeout, "all instances to be listed", func() bool {
		var response entry.Response
		return getJSON(url+entry.Path, &response) && len(response.Instances) == count
	})
}

func chatParams(prompt, work string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "drafting-desk/" + work,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func wantText(prompt string) string {
	return strings.Join(engine.Completion(engine.Prompt("user", prompt), 12), "")
}

func TestTwoRegions(t *testing.T) {
	c := qt.New(t)
	f, caller := startSwatchGuild(t)
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"),
		option.WithAPIKey("nile-press-key"),
		option.WithHTTPClient(&http.Client{Transport: caller}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	c.Run("complete response", func(c *qt.C) {
		completion, err := client.Chat.Completions.New(ctx, chatParams("grade of 90 g laid paper?", "grade-enquiry"))
		c.Assert(err, qt.IsNil)
		c.Assert(completion.Choices[0].Message.Content, qt.Equals, wantText("grade of 90 g laid paper?"))
	})
	c.Run("streamed response", func(c *qt.C) {
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("stock of papyrus?", "grade-enquiry"))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		c.Assert(stream.Err(), qt.IsNil)
		c.Assert(text.String(), qt.Equals, wantText("stock of papyrus?"))
	})
	c.Run("plain service in another region", func(c *qt.C) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry.invalid/services/orders-desk/stock/samples", strings.NewReader("two swatches"))
		c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer nile-press-key")
		resp, err := caller.RoundTrip(req)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(resp.Header.Get(outcome.Header), qt.Equals, "served")
	})
	c.Run("work with its home in another region", func(c *qt.C) {
		_, err := client.Chat.Completions.New(ctx, chatParams("ministry", "ministry-draft"))
		var apiErr *openai.Error
		c.Assert(err, qt.ErrorAs, &apiErr)
		c.Assert(apiErr.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
		c.Assert(apiErr.Response.Header.Get("Location"), qt.Equals, f.processes["entry-cairo"].addr)
	})
}
