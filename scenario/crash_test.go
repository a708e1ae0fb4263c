package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/fuchsiastack/fuchsiastack/entry"
)

// crashWord is the word on which the engines of a test crash.
const crashWord = "unprintable"

// TestPoisonRequest sends a request that crashes each engine that runs it, six
// times, while other requests run.
func TestPoisonRequest(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t)
	f.ctl(ctlPending, "publish", "--bootstrap", "--wait", "0s", "../examples/swatch-guild")
	const engines = 5
	for i := range engines {
		f.backend("engine", fmt.Sprintf("engine-%d", i), "drafting-desk", "cairo", "--crash-on", crashWord, "--decode", "20ms")
	}
	url := f.daemon("entry-cairo", "cairo", "cairo-a", "--quarantine-spread", "300ms")
	f.awaitInstances(url, 1)
	f.ctl(ctlPending, "status", "--wait", "1s") // until the configuration is in force
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"), option.WithAPIKey("nile-press-key"), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: &entry.Client{Bootstrap: []string{url}, Region: "cairo", Zone: "cairo-a"}}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			question := fmt.Sprintf("grade of sheet %d?", i)
			answer, err := client.Chat.Completions.New(ctx, chat(question, "grade-enquiry"))
			if c.Check(err, qt.IsNil, qt.Commentf("%v", code(err))) {
				c.Check(answer.Choices[0].Message.Content, qt.Equals, wantAnswer(question))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	codes := make([]string, 6)
	for i := range codes {
		_, err := client.Chat.Completions.New(ctx, chat(crashWord, "grade-enquiry"))
		codes[i] = code(err)
	}
	group.Wait()
	lost := 0
	for i := range engines {
		select {
		case <-f.procs[fmt.Sprintf("engine-%d", i)].done:
			lost++
		default:
		}
	}
	t.Logf("%d engines lost; the poison was answered %q", lost, codes)
	c.Assert(lost, qt.Equals, 2)
	c.Assert(codes[len(codes)-1], qt.Equals, "quarantined")
}

// code returns the code of an error of the API, or "".
func code(err error) string {
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code
	}
	return ""
}
