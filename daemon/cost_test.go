package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/daemon"
	"github.com/fuchsiastack/fuchsiastack/examples"
	"github.com/fuchsiastack/fuchsiastack/rollout"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/standin/platform"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

// chat returns a streamed chat completion of about 4 KB.
func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"drafting-desk/grade-enquiry","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, strings.Repeat("laid paper of ninety grams ", 150))
}

var shortQuestion = chat(8)

// startGateway runs an instance with its stand-ins in this process, and
// returns its URL and that of its only engine.
func startGateway(b testing.TB, config engine.Config) (gateway, direct string) {
	b.Helper()
	store := httptest.NewServer(kv.New())
	b.Cleanup(store.Close)
	list := platform.New(0)
	plat := httptest.NewServer(list)
	b.Cleanup(plat.Close)
	model := httptest.NewServer(engine.New(config))
	b.Cleanup(model.Close)
	list.Put(platform.Server{
		ID: "engine", Addr: model.Listener.Addr().String(), Region: "cairo", Zone: "cairo-a",
		Service: "drafting-desk", State: "live",
	})
	tree, err := serviceFiles()
	if err != nil {
		b.Fatal(err)
	}
	publisher := &rollout.Publisher{Log: &configlog.Log{Store: consul.New(store.URL)}}
	if _, err := publisher.Publish(b.Context(), tree, nil); err != nil {
		b.Fatal(err)
	}
	s := daemon.DefaultSettings()
	s.Instance, s.Region, s.Zone = "entry", "cairo", "cairo-a"
	s.Listen, s.PeerListen, s.AdminListen, s.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PeerInsecure, s.JoinDelay, s.DrainNotice = true, 0, 0
	s.StoreURL, s.PlatformURL = store.URL, plat.URL
	d, err := daemon.New(s, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { _ = d.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	for firstToken(b, d.PublicURL(), shortQuestion) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return d.PublicURL(), model.URL
}

// serviceFiles returns the examples without limits of callers.
func serviceFiles() (*config.Tree, error) {
	tree, err := config.ReadTree(examples.Files)
	if err != nil {
		return nil, err
	}
	for _, s := range tree.Services {
		s.Limits.RequestsPerSecond, s.Limits.InFlight = 0, 0
	}
	return tree, nil
}

// firstToken sends the question, reads the whole answer and returns the time
// to its first line, or 0 if it is not served.
func firstToken(tb testing.TB, base, question string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(question))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer nile-press-key")
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0
	}
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		tb.Fatal(err)
	}
	elapsed := time.Since(begin)
	rest, err := io.ReadAll(reader)
	if err != nil {
		tb.Fatal(err)
	}
	if !strings.HasSuffix(strings.TrimSpace(string(rest)), "data: [DONE]") {
		return 0
	}
	return elapsed
}

// BenchmarkCost compares a streamed call through the gateway with the same
// call sent straight to the engine, one after the other in one run. The
// difference of both is the gateway's own cost.
func BenchmarkCost(b *testing.B) {
	gateway, direct := startGateway(b, engine.Config{Slots: 256})
	for name, base := range map[string]string{"direct": direct, "gateway": gateway} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if firstToken(b, base, shortQuestion) == 0 {
					b.Fatal("not served")
				}
			}
		})
	}
	b.Run("added", func(b *testing.B) {
		var straight, through []time.Duration
		for b.Loop() {
			straight = append(straight, firstToken(b, direct, shortQuestion))
			through = append(through, firstToken(b, gateway, shortQuestion))
		}
		b.ReportMetric(micros(quantile(through, 0.5)-quantile(straight, 0.5)), "added-p50-µs")
		b.ReportMetric(micros(quantile(through, 0.99)-quantile(straight, 0.99)), "added-p99-µs")
		b.ReportMetric(micros(quantile(straight, 0.5)), "direct-p50-µs")
	})
}

// BenchmarkTokens compares the processor time of streams through the gateway
// with that of the same streams straight from the engine. The engine writes
// each token by itself, so that the difference is the cost of relaying tokens.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 32, 400
	gateway, direct := startGateway(b, engine.Config{Slots: 256, DecodePerToken: 2 * time.Millisecond})
	question := chat(tokens)
	var added time.Duration
	for b.Loop() {
		straight := cpuOf(func() { streamAll(b, direct, question, streams) })
		added += cpuOf(func() { streamAll(b, gateway, question, streams) }) - straight
	}
	b.ReportMetric(micros(added)/float64(b.N*streams*tokens), "added-cpu-µs/token")
}

func streamAll(b *testing.B, base, question string, streams int) {
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			if firstToken(b, base, question) == 0 {
				b.Error("not served")
			}
		})
	}
	group.Wait()
}

// cpuOf returns the processor time of this process during f.
func cpuOf(f func()) time.Duration {
	before := cpuTime()
	f()
	return cpuTime() - before
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[int(q*float64(len(samples)-1))]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
