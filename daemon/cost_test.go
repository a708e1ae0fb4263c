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

// chatRequest returns the body of a streaming chat completion request, about 4 KB.
func chatRequest(tokens int) string {
	return fmt.Sprintf(`{"model":"drafting-desk/grade-enquiry","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, strings.Repeat("laid paper of ninety grams ", 150))
}

var shortRequest = chatRequest(8)

// startGateway runs an instance and stand-ins for its dependencies in this process.
// It returns the URL of the instance and that of its only engine.
func startGateway(b testing.TB, config engine.Config) (gatewayURL, engineURL string) {
	b.Helper()
	store := httptest.NewServer(kv.New())
	b.Cleanup(store.Close)
	platformAPI := platform.New(0)
	platformServer := httptest.NewServer(platformAPI)
	b.Cleanup(platformServer.Close)
	engineServer := httptest.NewServer(engine.New(config))
	b.Cleanup(engineServer.Close)
	platformAPI.Put(platform.Server{
		ID: "engine", Addr: engineServer.Listener.Addr().String(), Region: "cairo", Zone: "cairo-a",
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
	s.StoreURL, s.PlatformURL = store.URL, platformServer.URL
	d, err := daemon.New(s, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { _ = d.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	for timeToFirstLine(b, d.PublicURL(), shortRequest) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return d.PublicURL(), engineServer.URL
}

// serviceFiles returns the example configuration without the limits of callers.
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

// timeToFirstLine sends a chat request, reads the whole response and returns the
// time to its first line, or 0 if the request is not served completely.
func timeToFirstLine(tb testing.TB, base, body string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
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

// BenchmarkCost compares a streamed request through the gateway with the same
// request sent directly to the engine, alternating in one run. The difference is
// the latency that the gateway adds.
func BenchmarkCost(b *testing.B) {
	gatewayURL, engineURL := startGateway(b, engine.Config{Slots: 256})
	for name, base := range map[string]string{"direct": engineURL, "gateway": gatewayURL} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if timeToFirstLine(b, base, shortRequest) == 0 {
					b.Fatal("not served")
				}
			}
		})
	}
	b.Run("added", func(b *testing.B) {
		var directTimes, gatewayTimes []time.Duration
		for b.Loop() {
			directTimes = append(directTimes, timeToFirstLine(b, engineURL, shortRequest))
			gatewayTimes = append(gatewayTimes, timeToFirstLine(b, gatewayURL, shortRequest))
		}
		b.ReportMetric(micros(quantile(gatewayTimes, 0.5)-quantile(directTimes, 0.5)), "added-p50-µs")
		b.ReportMetric(micros(quantile(gatewayTimes, 0.99)-quantile(directTimes, 0.99)), "added-p99-µs")
		b.ReportMetric(micros(quantile(directTimes, 0.5)), "direct-p50-µs")
	})
}

// BenchmarkTokens compares the CPU time of streams through the gateway with that
// of the same streams directly from the engine. The engine writes each token
// separately, so that the difference is the cost of relaying tokens.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 32, 400
	gatewayURL, engineURL := startGateway(b, engine.Config{Slots: 256, DecodePerToken: 2 * time.Millisecond})
	body := chatRequest(tokens)
	var added time.Duration
	for b.Loop() {
		directCPU := measureCPU(func() { streamAll(b, engineURL, body, streams) })
		added += measureCPU(func() { streamAll(b, gatewayURL, body, streams) }) - directCPU
	}
	b.ReportMetric(micros(added)/float64(b.N*streams*tokens), "added-cpu-µs/token")
}

func streamAll(b *testing.B, base, body string, streams int) {
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			if timeToFirstLine(b, base, body) == 0 {
				b.Error("not served")
			}
		})
	}
	group.Wait()
}

// measureCPU returns the CPU time that this process uses while f runs.
func measureCPU(f func()) time.Duration {
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
