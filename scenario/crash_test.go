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

// crashWord in a prompt makes the engines of a test crash.
const crashWord = "unprintable"

// TestPoisonRequest sends a request that crashes every engine that runs it six
// times, while other requests are in flight. It must crash only two engines
// before it is quarantined, and all other requests must be served.
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
	f.ctl(ctlPending, "status", "--wait", "1s") // wait for the configuration to come into force
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"), option.WithAPIKey("nile-press-key"), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: &entry.Client{Bootstrap: []string{url}, Region: "cairo", Zone: "cairo-a"}}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	var senders sync.WaitGroup
	for i := range 40 {
		senders.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			prompt := fmt.Sprintf("grade of sheet %d?", i)
			completion, err := client.Chat.Completions.New(ctx, chatParams(prompt, "grade-enquiry"))
			if c.Check(err, qt.IsNil, qt.Commentf("%v", apiErrorCode(err))) {
				c.Check(completion.Choices[0].Message.Content, qt.Equals, wantText(prompt))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	codes := make([]string, 6)
	for i := range codes {
		_, err := client.Chat.Completions.New(ctx, chatParams(crashWord, "grade-enquiry"))
		codes[i] = apiErrorCode(err)
	}
	senders.Wait()
	crashed := 0
	for i := range engines {
		select {
		case <-f.processes[fmt.Sprintf("engine-%d", i)].done:
			crashed++
		default:
		}
	}
	t.Logf("%d engines crashed; error codes of the poison request: %q", crashed, codes)
	c.Assert(crashed, qt.Equals, 2)
	c.Assert(codes[len(codes)-1], qt.Equals, "quarantined")
}

// apiErrorCode returns the code of an API error, or "" for any other error.
func apiErrorCode(err error) string {
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code
	}
	return ""
}
