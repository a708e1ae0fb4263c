package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/standin/plain"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

const (
	historiesEnv     = "FUCHSIA_HISTORIES" // sets the number of histories
	ciHistories      = 300
	historyInstances = 4
	historyCallers   = 6
	historyCalls     = 6 // per caller
	historyKeys      = 3
	historyRetention = 2 * time.Minute
	maxStoreDelay    = 4 * time.Second // of a call, by the stand-in of the store
)

// callResult is the result that one call received.
type callResult struct {
	outcome, firstOutcome outcome.Outcome
}

// keyState is the state of one idempotency key in the model. If held is set and
// ran is not, the key is claimed but its call did not run.
type keyState struct{ held, ran bool }

// callModel allows at most one execution of each key, and only results that are
// consistent with it.
var callModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		opsByKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			opsByKey[op.Input.(string)] = append(opsByKey[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range opsByKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, _, output any) []any {
		s, result := state.(keyState), output.(callResult)
		switch {
		case result.outcome == outcome.NotRun:
			return []any{s}
		case result.outcome == outcome.Served && !s.held:
			return []any{keyState{held: true, ran: true}}
		case result.outcome == outcome.MayHaveRun && !s.held:
			return []any{keyState{held: true, ran: true}, keyState{held: true}}
		case result.outcome != outcome.Duplicate:
			return nil
		case result.firstOutcome == outcome.Served && !s.ran, result.firstOutcome == outcome.MayHaveRun && !s.held:
			return nil
		}
		return []any{s}
	},
}

// pausingStore calls pause before reads, and before and after transactions, to
// simulate an instance that is suspended at random.
type pausingStore struct {
	store.Store
	pause func()
}

func (p pausingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	p.pause()
	return p.Store.Get(ctx, key)
}

func (p pausingStore) Txn(ctx context.Context, ops []store.Op) error {
	p.pause()
	err := p.Store.Txn(ctx, ops)
	p.pause()
	return err
}

// history is one randomized run of concurrent calls against several instances.
type history struct {
	mu      sync.Mutex
	rng     *rand.Rand
	server  *kv.Server
	service *plain.Service
	chains  []filters.Handler
	claims  []*claim.Claimer
	keys    []string
	clock   atomic.Int64
	ops     []porcupine.Operation
}

func (h *history) randomInt(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

// maybeSleep sleeps for up to maxSleep with probability 1/n.
func (h *history) maybeSleep(n int, maxSleep time.Duration) {
	if h.randomInt(n) == 0 {
		time.Sleep(time.Duration(h.randomInt(int(maxSleep))))
	}
}

func newHistory(tb testing.TB, seed uint64) *history {
	h := &history{rng: rand.New(rand.NewPCG(seed, 1)), server: kv.New(), service: plain.New(time.Millisecond)}
	for i := range historyKeys {
		age := time.Duration(h.randomInt(int(historyRetention)))
		h.keys = append(h.keys, claim.NewKey(time.Now().Add(-age), "random-"+strconv.Itoa(i)))
	}
	for range historyInstances {
		client := consul.NewWithTransport("http://kv", h.server.Transport())
		paused := pausingStore{Store: client, pause: func() { h.maybeSleep(8, 20*time.Second) }}
		claims, err := claim.New(paused, claim.Config{Secret: []byte("0123456789abcdef"), Retention: historyRetention})
		qt.Assert(tb, err, qt.IsNil)
		h.claims = append(h.claims, claims)
		h.chains = append(h.chains, filters.Chain(h.dispatch, filters.Claim{Claimer: claims}))
	}
	return h
}

// dispatch replaces the rest of the filter chain. The instance may be suspended
// before it sends the call, the call may be rejected, or its response may be lost.
func (h *history) dispatch(x *filters.Exchange) *outcome.Error {
	h.maybeSleep(4, 30*time.Second)
	if h.randomInt(5) == 0 {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoBackend, "refused")
	}
	request := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(x.IdempotencyKey))
	h.service.ServeHTTP(httptest.NewRecorder(), request)
	if h.randomInt(5) == 0 {
		return outcome.Fail(outcome.CodeBackendFailed, nil, "response lost")
	}
	return nil
}

// call sends one call through a random instance and records its result.
func (h *history) call(client int, key string) callResult {
	work := catalog.Work{Name: "dispatch"}
	recorder := httptest.NewRecorder()
	x := &filters.Exchange{
		Writer: recorder, Request: httptest.NewRequest(http.MethodPost, "/order", http.NoBody), Caller: "press",
		Service: &catalog.Service{Name: "orders"}, Work: work, IdempotencyKey: key,
		Deadline: time.Now().Add(10 * time.Second),
	}
	called := h.clock.Add(1)
	result := callResult{outcome: outcome.Served}
	if err := h.chains[h.randomInt(historyInstances)](x); err != nil {
		result = callResult{outcome: err.Outcome, firstOutcome: outcome.Parse(recorder.Header().Get(filters.FirstOutcomeHeader))}
	}
	returned := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: key, Output: result, Call: called, Return: returned})
	return result
}

// caller sends calls one after another, and waits for each for a few seconds at
// most.
func (h *history) caller(firstClient int, group *sync.WaitGroup) {
	for i := range historyCalls {
		done := make(chan struct{})
		client := firstClient + i
		key := h.keys[h.randomInt(len(h.keys))]
		group.Go(func() {
			defer close(done)
			h.call(client, key)
		})
		select {
		case <-done:
		case <-time.After(time.Duration(1+h.randomInt(5)) * time.Second):
		}
		h.maybeSleep(10, 20*time.Minute)
	}
}

// faults sets random faults of the store until ctx ends.
func (h *history) faults(ctx context.Context) {
	for ctx.Err() == nil {
		switch h.randomInt(5) {
		case 0:
			h.server.SetFaults(kv.Faults{Down: true})
		case 1:
			h.server.SetFaults(kv.Faults{Delay: time.Duration(h.randomInt(int(maxStoreDelay)))})
		case 2:
			h.server.SetFaults(kv.Faults{LoseWriteResponses: 1 + h.randomInt(4)})
		default:
			h.server.SetFaults(kv.Faults{})
		}
		time.Sleep(time.Duration(h.randomInt(int(5 * time.Second))))
	}
}

// clean runs the cleanup of random instances until ctx ends.
func (h *history) clean(ctx context.Context) {
	for ctx.Err() == nil {
		_ = h.claims[h.randomInt(len(h.claims))].CleanOnce(ctx)
		time.Sleep(time.Duration(h.randomInt(int(2 * time.Minute))))
	}
}

func (h *history) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var background, calls, callers sync.WaitGroup
	background.Go(func() { h.faults(ctx) })
	background.Go(func() { h.clean(ctx) })
	for i := range historyCallers {
		callers.Go(func() { h.caller(i*historyCalls, &calls) })
	}
	callers.Wait()
	calls.Wait()
	cancel()
	background.Wait()
	for _, c := range h.claims {
		_ = c.Flush(context.Background())
	}
	// The stand-in of the store still runs calls that were given up.
	time.Sleep(maxStoreDelay)
}

// check verifies that the results satisfy the model and match the executions.
func (h *history) check(tb testing.TB, seed uint64) {
	verdict := porcupine.CheckOperationsTimeout(callModel.ToModel(), h.ops, time.Minute)
	qt.Assert(tb, verdict, qt.Equals, porcupine.Ok, qt.Commentf("seed %d: %+v", seed, h.ops))
	executed := make(map[string]int)
	for _, x := range h.service.Executions() {
		executed[x.Body]++
	}
	reportedRun := make(map[string]bool) // keys for which a call returned Served or MayHaveRun
	for _, op := range h.ops {
		result := op.Output.(callResult)
		reportedRun[op.Input.(string)] = reportedRun[op.Input.(string)] || result.outcome == outcome.Served || result.outcome == outcome.MayHaveRun
	}
	for key, n := range executed {
		qt.Assert(tb, n, qt.Equals, 1, qt.Commentf("seed %d: number of executions of %s", seed, key))
		qt.Assert(tb, reportedRun[key], qt.IsTrue, qt.Commentf("seed %d: %s ran, but no call returned Served or MayHaveRun", seed, key))
	}
}

// TestHistories checks randomized histories of concurrent calls for
// linearizability and for at most one execution of each key. The environment
// variable FUCHSIA_HISTORIES changes their number.
func TestHistories(t *testing.T) {
	count := ciHistories
	if text := os.Getenv(historiesEnv); text != "" {
		count, _ = strconv.Atoi(text)
	}
	var total, ran, deleted uint64
	counts := make(map[string]int)
	for seed := range uint64(count) {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, seed)
			h.run()
			h.check(t, seed)
			total += uint64(len(h.ops))
			ran += uint64(len(h.service.Executions()))
			for _, c := range h.claims {
				deleted += c.Stats().Deleted
			}
			for _, op := range h.ops {
				result := op.Output.(callResult)
				counts[fmt.Sprintf("%s/%s", result.outcome, result.firstOutcome)]++
			}
		})
	}
	t.Logf("%d histories, %d calls, %d executions, %d records deleted, results %v", count, total, ran, deleted, counts)
	qt.Assert(t, ran > 0 && deleted > 0, qt.IsTrue)
}
