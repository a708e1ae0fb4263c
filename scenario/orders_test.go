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

// streamText sends a streamed chat request and returns the text of the response.
func streamText(caller *entry.Client, prompt string, tokens int) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://entry.invalid/v1"), option.WithAPIKey("nile-press-key"), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: caller}),
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	params := chatParams(prompt, "grade-enquiry")
	params.MaxTokens = openai.Int(int64(tokens))
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	return text.String(), stream.Err()
}

// orders is a set of callers that send requests which must not run twice. Each
// order is sent to all instances concurrently, and again until one of them
// reports that it was served.
type orders struct {
	stop     context.CancelFunc
	senders  sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]map[string]int // number of each outcome, by idempotency key
}

// startOrders implements "start-orders CALLERS TIMEOUT": each of the callers
// submits one order after another. TIMEOUT limits a single request.
func (s *script) startOrders(ts *testscript.TestScript, _ bool, args []string) {
	ctx, stop := context.WithCancel(context.Background())
	s.tb.Cleanup(stop)
	o := &orders{stop: stop, outcomes: make(map[string]map[string]int)}
	s.orders = o
	var urls []string
	for name := range s.args {
		urls = append(urls, s.processes[name].addr)
	}
	timeout := parseDuration(ts, args[1])
	for i := range parseInt(ts, args[0]) {
		o.senders.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				o.submit(urls, claim.NewKey(time.Now(), fmt.Sprintf("order-%03d-%05d", i, n)), timeout)
			}
		})
	}
}

// maxRounds limits how many times an order is sent to all instances.
const maxRounds = 4

// submit sends one order to all instances until one of them reports it served,
// or maxRounds times.
func (o *orders) submit(urls []string, key string, timeout time.Duration) {
	for range maxRounds {
		results := make(chan string, len(urls))
		for _, url := range urls {
			go func() { results <- sendOrder(url, key, timeout) }()
		}
		settled := false
		o.mu.Lock()
		if o.outcomes[key] == nil {
			o.outcomes[key] = make(map[string]int)
		}
		o.mu.Unlock()
		for range urls {
			result := <-results
			o.mu.Lock()
			o.outcomes[key][result]++
			o.mu.Unlock()
			settled = settled || strings.HasSuffix(result, "served")
		}
		if settled {
			return
		}
	}
}

// sendOrder sends an order to one instance and returns the outcome. For a
// duplicate it returns "duplicate of " and the outcome of the first attempt, and
// without a complete response "lost".
func sendOrder(url, key string, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/orders-desk/dispatch/orders", strings.NewReader(key))
	if err != nil {
		return "lost"
	}
	req.Header.Set("Authorization", "Bearer nile-press-key")
	// net/http retries a request with this header in canonical form on its own.
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

// endOrders implements "end-orders NAME...": it stops the callers and compares
// the outcomes that they received with the executions of the plain services. No
// order may run twice, a served order must have run, and an order that ran must
// not have got "not-run" in all responses. Less than 5% of the failed requests
// may end as may-have-run.
func (s *script) endOrders(ts *testscript.TestScript, _ bool, args []string) {
	s.orders.stop()
	s.orders.senders.Wait()
	executed := make(map[string]int)
	for _, name := range args {
		var list []struct {
			Body string `json:"body"`
		}
		if !getJSON("http://"+s.processes[name].addr+"/standin/executions", &list) {
			ts.Fatalf("read the executions of %s: no valid response", name)
		}
		for _, x := range list {
			executed[x.Body]++
		}
	}
	totals := make(map[string]int)
	for key, outcomes := range s.orders.outcomes {
		n := executed[key]
		served := outcomes["served"] + outcomes["duplicate of served"]
		if n > 1 || served > 0 && n == 0 || n > 0 && outcomes["not-run"] == sum(outcomes) {
			ts.Fatalf("order %s was executed %d times; outcomes %v", key, n, outcomes)
		}
		for result, count := range outcomes {
			totals[result] += count
		}
	}
	ts.Logf("%d orders, %d executed, outcomes %v", len(s.orders.outcomes), len(executed), totals)
	if len(executed) == 0 {
		ts.Fatalf("none of the orders was executed")
	}
	failed := totals["not-run"] + totals["may-have-run"]
	ts.Logf("may-have-run: %d of %d failed requests", totals["may-have-run"], failed)
	if totals["may-have-run"]*20 >= max(failed, 1) && totals["may-have-run"] > 0 {
		ts.Fatalf("5%% of the failed requests or more ended as may-have-run")
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
