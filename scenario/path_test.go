// Package scenario drives the whole path with separate processes.
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

// swatchGuild starts two regions of the Swatch Guild with one engine in each,
// and a plain service in cairo.
func swatchGuild(tb testing.TB) (*fleet, *entry.Client) {
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

// awaitInstances waits until the instance at url knows count instances.
func (f *fleet) awaitInstances(url string, count int) {
	f.await(startTimeout, "all instances known", func() bool {
		var answer entry.Answer
		return getJSON(url+entry.Path, &answer) && len(answer.Instances) == count
	})
}

func chat(question, work string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "drafting-desk/" + work,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
}

func wantAnswer(question string) string {
	return strings.Join(engine.Answer(engine.Prompt("user", question), 12), "")
}

func TestPathThroughTwoRegions(t *testing.T) {
	c := qt.New(t)
	f, caller := swatchGuild(t)
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"),
		option.WithAPIKey("nile-press-key"),
		option.WithHTTPClient(&http.Client{Transport: caller}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	c.Run("plain answer", func(c *qt.C) {
		answer, err := client.Chat.Completions.New(ctx, chat("grade of 90 g laid paper?", "grade-enquiry"))
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Choices[0].Message.Content, qt.Equals, wantAnswer("grade of 90 g laid paper?"))
	})
	c.Run("streamed answer", func(c *qt.C) {
		stream := client.Chat.Completions.NewStreaming(ctx, chat("stock of papyrus?", "grade-enquiry"))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		c.Assert(stream.Err(), qt.IsNil)
		c.Assert(text.String(), qt.Equals, wantAnswer("stock of papyrus?"))
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
	c.Run("home elsewhere", func(c *qt.C) {
		_, err := client.Chat.Completions.New(ctx, chat("ministry", "ministry-draft"))
		var apiErr *openai.Error
		c.Assert(err, qt.ErrorAs, &apiErr)
		c.Assert(apiErr.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
		c.Assert(apiErr.Response.Header.Get("Location"), qt.Equals, f.procs["entry-cairo"].addr)
	})
}
