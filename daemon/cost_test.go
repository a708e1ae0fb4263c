package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

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

// question is a chat completion of about 4 KB, streamed.
var question = `{"model":"drafting-desk/grade-enquiry","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"` +
	strings.Repeat("laid paper of ninety grams ", 150) + `"}]}`

// startGateway runs an instance with its stand-ins in this process, and
// returns its URL and that of its only engine.
func startGateway(b *testing.B) (gateway, direct string) {
	b.Helper()
	store := httptest.NewServer(kv.New())
	b.Cleanup(store.Close)
	list := platform.New(0)
	plat := httptest.NewServer(list)
	b.Cleanup(plat.Close)
	model := httptest.NewServer(engine.New(engine.Config{Slots: 256}))
	b.Cleanup(model.Close)
	list.Put(platform.Server{
		ID: "engine", Addr: model.Listener.Addr().String(), Region: "cairo", Zone: "cairo-a",
		Service: "drafting-desk", State: "live",
	})
	tree, err := config.ReadTree(examples.Files)
	if err != nil {
		b.Fatal(err)
	}
	publisher := &rollout.Publisher{Log: &configlog.Log{Store: consul.New(store.URL)}}
	if _, err := publisher.Publish(b.Context(), withoutLimits(tree), nil); err != nil {
		b.Fatal(err)
	}
	s := daemon.DefaultSettings()
	s.Instance, s.Region, s.Zone = "entry", "cairo", "cairo-a"
	s.Listen, s.PeerListen, s.AdminListen, s.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PeerInsecure = true
	s.StoreURL, s.PlatformURL = store.URL, plat.URL
	d, err := daemon.New(s, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { _ = d.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	for firstToken(b, d.PublicURL()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return d.PublicURL(), model.URL
}

// withoutLimits lifts the limits of callers.
func withoutLimits(tree *config.Tree) *config.Tree {
	for _, s := range tree.Services {
		s.Limits.RequestsPerSecond, s.Limits.InFlight = 0, 0
	}
	return tree
}

// firstToken sends the question, reads the whole answer and returns the time
// to its first line, or 0 if it is not served.
func firstToken(tb testing.TB, base string) time.Duration {
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
	gateway, direct := startGateway(b)
	for name, base := range map[string]string{"direct": direct, "gateway": gateway} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if firstToken(b, base) == 0 {
					b.Fatal("not served")
				}
			}
		})
	}
	b.Run("added", func(b *testing.B) {
		var straight, through []time.Duration
		for b.Loop() {
			straight = append(straight, firstToken(b, direct))
			through = append(through, firstToken(b, gateway))
		}
		b.ReportMetric(micros(quantile(through, 0.5)-quantile(straight, 0.5)), "added-p50-µs")
		b.ReportMetric(micros(quantile(through, 0.99)-quantile(straight, 0.99)), "added-p99-µs")
		b.ReportMetric(micros(quantile(straight, 0.5)), "direct-p50-µs")
	})
}

func quantile(samples []time.Duration, q float64) time.Duration {
	slices.Sort(samples)
	return samples[int(q*float64(len(samples)-1))]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
