package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// streamText returns the text of a streamed answer.
func streamText(caller *entry.Client, question string, tokens int) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"), option.WithAPIKey("nile-press-key"), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: caller}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	params := chat(question, "grade-enquiry")
	params.MaxTokens = openai.Int(int64(tokens))
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	return text.String(), stream.Err()
}

// orders are calls that must not be repeated, each sent to all instances at
// once and sent again until it is settled.
type orders struct {
	stop  context.CancelFunc
	group sync.WaitGroup
	mu    sync.Mutex
	told  map[string]map[string]int // by key: answers
}

// orders CALLERS TIMEOUT starts callers who place one order after another.
func (s *script) startOrders(ts *testscript.TestScript, _ bool, args []string) {
	ctx, stop := context.WithCancel(context.Background())
	s.tb.Cleanup(stop)
	o := &orders{stop: stop, told: make(map[string]map[string]int)}
	s.orders = o
	var urls []string
	for name := range s.args {
		urls = append(urls, s.procs[name].addr)
	}
	timeout := interval(ts, args[1])
	for i := range number(ts, args[0]) {
		o.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				o.place(urls, claim.NewKey(time.Now(), fmt.Sprintf("order-%03d-%05d", i, n)), timeout)
			}
		})
	}
}

// resends is how often a call is sent to all instances at most.
const resends = 4

// place sends one order until an instance tells how it ended.
func (o *orders) place(urls []string, key string, timeout time.Duration) {
	for range resends {
		answers := make(chan string, len(urls))
		for _, url := range urls {
			go func() { answers <- sendOrder(url, key, timeout) }()
		}
		settled := false
		o.mu.Lock()
		if o.told[key] == nil {
			o.told[key] = make(map[string]int)
		}
		o.mu.Unlock()
		for range urls {
			answer := <-answers
			o.mu.Lock()
			o.told[key][answer]++
			o.mu.Unlock()
			settled = settled || strings.HasSuffix(answer, "served")
		}
		if settled {
			return
		}
	}
}

// sendOrder returns what one instance told: an outcome, that of the first
// attempt for a duplicate, or "lost".
func sendOrder(url, key string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/orders-desk/dispatch/orders", strings.NewReader(key))
	if err != nil {
		return "lost"
	}
	req.Header.Set("Authorization", "Bearer nile-press-key")
	// A canonical header would let net/http repeat the request by itself.
	req.Header["idempotency-key"] = []string{key}
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "lost"
	}
	if first := resp.Header.Get(filters.FirstOutcomeHeader); first != "" {
		return "duplicate of " + first
	}
	return resp.Header.Get(outcome.Header)
}

// ordered ends the orders and compares what callers were told with the
// executions of the plain services named.
func (s *script) endOrders(ts *testscript.TestScript, _ bool, args []string) {
	s.orders.stop()
	s.orders.group.Wait()
	executed := make(map[string]int)
	for _, name := range args {
		var list []struct {
			Body string `json:"body"`
		}
		if !getJSON("http://"+s.procs[name].addr+"/standin/executions", &list) {
			ts.Fatalf("%s does not tell its executions", name)
		}
		for _, x := range list {
			executed[x.Body]++
		}
	}
	answers := make(map[string]int)
	for key, told := range s.orders.told {
		n := executed[key]
		served := told["served"] + told["duplicate of served"]
		if n > 1 || served > 0 && n == 0 || n > 0 && told["not-run"] == sum(told) {
			ts.Fatalf("order %s was executed %d times and told %v", key, n, told)
		}
		for answer, count := range told {
			answers[answer] += count
		}
	}
	ts.Logf("%d orders, %d executed, answers %v", len(s.orders.told), len(executed), answers)
	if len(executed) == 0 {
		ts.Fatalf("no order was executed")
	}
	failed := answers["not-run"] + answers["may-have-run"]
	ts.Logf("may-have-run: %d of %d failed requests", answers["may-have-run"], failed)
	if answers["may-have-run"]*20 >= max(failed, 1) && answers["may-have-run"] > 0 {
		ts.Fatalf("may-have-run in 5%% of the failed requests or more")
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
