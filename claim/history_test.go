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
	historiesEnv     = "FUCHSIA_HISTORIES" // number of histories of a longer run
	ciHistories      = 300
	historyInstances = 4
	historyCallers   = 6
	historyCalls     = 6 // of each caller
	historyKeys      = 3
	historyRetention = 2 * time.Minute
)

// answer is what one call was told.
type answer struct {
	outcome, first outcome.Outcome
}

// keyState is the state of one idempotency key in the model.
type keyState struct{ held, ran bool }

// callModel allows one execution of each key, and no answer that contradicts it.
var callModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, _, output any) []any {
		s, a := state.(keyState), output.(answer)
		switch {
		case a.outcome == outcome.NotRun:
			return []any{s}
		case a.outcome == outcome.Served && !s.held:
			return []any{keyState{held: true, ran: true}}
		case a.outcome == outcome.MayHaveRun && !s.held:
			return []any{keyState{held: true, ran: true}, keyState{held: true}}
		case a.outcome != outcome.Duplicate:
			return nil
		case a.first == outcome.Served && !s.ran, a.first == outcome.MayHaveRun && !s.held:
			return nil
		}
		return []any{s}
	},
}

// pausing is a store whose user is frozen at random before and after its calls.
type pausing struct {
	store.Store
	pause func()
}

func (p pausing) Get(ctx context.Context, key string) (store.Entry, error) {
	p.pause()
	return p.Store.Get(ctx, key)
}

func (p pausing) Txn(ctx context.Context, ops []store.Op) error {
	p.pause()
	err := p.Store.Txn(ctx, ops)
	p.pause()
	return err
}

// history is one randomized run.
type history struct {
	mu      sync.Mutex
	random  *rand.Rand
	server  *kv.Server
	service *plain.Service
	chains  []filters.Handler
	claims  []*claim.Claimer
	keys    []string
	clock   atomic.Int64
	ops     []porcupine.Operation
}

func (h *history) pick(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// sometimes sleeps up to limit in one of n cases.
func (h *history) sometimes(n int, limit time.Duration) {
	if h.pick(n) == 0 {
		time.Sleep(time.Duration(h.pick(int(limit))))
	}
}

func newHistory(tb testing.TB, seed uint64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 1)), server: kv.New(), service: plain.New(time.Millisecond)}
	for i := range historyKeys {
		age := time.Duration(h.pick(int(historyRetention)))
		h.keys = append(h.keys, claim.NewKey(time.Now().Add(-age), "random-"+strconv.Itoa(i)))
	}
	for range historyInstances {
		client := consul.NewWithTransport("http://kv", h.server.Transport())
		paused := pausing{Store: client, pause: func() { h.sometimes(8, 20*time.Second) }}
		claims, err := claim.New(paused, claim.Config{Secret: []byte("0123456789abcdef"), Retention: historyRetention})
		qt.Assert(tb, err, qt.IsNil)
		h.claims = append(h.claims, claims)
		h.chains = append(h.chains, filters.Chain(h.dispatch, filters.Claim{Claimer: claims}))
	}
	return h
}

// dispatch stands for the rest of the chain: the instance may be frozen before
// the call leaves, and the call may be refused or its answer lost.
func (h *history) dispatch(x *filters.Exchange) *outcome.Error {
	h.sometimes(4, 30*time.Second)
	if h.pick(5) == 0 {
		return outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoBackend, "refused")
	}
	request := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(x.Idempotency))
	h.service.ServeHTTP(httptest.NewRecorder(), request)
	if h.pick(5) == 0 {
		return outcome.Fail(outcome.CodeBackendFailed, nil, "answer lost")
	}
	return nil
}

// call sends one call and records what it was told.
func (h *history) call(client int, key string) answer {
	work := catalog.Work{Name: "dispatch"}
	recorder := httptest.NewRecorder()
	x := &filters.Exchange{
		Writer: recorder, Request: httptest.NewRequest(http.MethodPost, "/order", http.NoBody), Caller: "press",
		Service: &catalog.Service{Name: "orders"}, Work: work, Idempotency: key,
		Deadline: time.Now().Add(10 * time.Second),
	}
	called := h.clock.Add(1)
	told := answer{outcome: outcome.Served}
	if err := h.chains[h.pick(historyInstances)](x); err != nil {
		told = answer{outcome: err.Outcome, first: outcome.Parse(recorder.Header().Get(filters.FirstOutcomeHeader))}
	}
	returned := h.clock.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: key, Output: told, Call: called, Return: returned})
	return told
}

// caller sends calls and does not always wait for their ends.
func (h *history) caller(first int, group *sync.WaitGroup) {
	for i := range historyCalls {
		ended := make(chan struct{})
		client := first + i
		key := h.keys[h.pick(len(h.keys))]
		group.Go(func() {
			defer close(ended)
			h.call(client, key)
		})
		select {
		case <-ended:
		case <-time.After(time.Duration(1+h.pick(5)) * time.Second):
		}
		h.sometimes(10, 20*time.Minute)
	}
}

// faults changes the failures of the store until ctx ends.
func (h *history) faults(ctx context.Context) {
	for ctx.Err() == nil {
		switch h.pick(5) {
		case 0:
			h.server.SetFaults(kv.Faults{Down: true})
		case 1:
			h.server.SetFaults(kv.Faults{Delay: time.Duration(h.pick(int(4 * time.Second)))})
		case 2:
			h.server.SetFaults(kv.Faults{LoseWrites: 1 + h.pick(4)})
		default:
			h.server.SetFaults(kv.Faults{})
		}
		time.Sleep(time.Duration(h.pick(int(5 * time.Second))))
	}
}

// clean deletes old records as the instances do.
func (h *history) clean(ctx context.Context) {
	for ctx.Err() == nil {
		_ = h.claims[h.pick(len(h.claims))].CleanOnce(ctx)
		time.Sleep(time.Duration(h.pick(int(2 * time.Minute))))
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
}

// check compares the answers with the model and with the executions.
func (h *history) check(tb testing.TB, seed uint64) {
	result := porcupine.CheckOperationsTimeout(callModel.ToModel(), h.ops, time.Minute)
	qt.Assert(tb, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d: %+v", seed, h.ops))
	executed := make(map[string]int)
	for _, x := range h.service.Executions() {
		executed[x.Body]++
	}
	told := make(map[string]bool) // keys of which an answer other than "not run" was given
	for _, op := range h.ops {
		a := op.Output.(answer)
		told[op.Input.(string)] = told[op.Input.(string)] || a.outcome == outcome.Served || a.outcome == outcome.MayHaveRun
	}
	for key, n := range executed {
		qt.Assert(tb, n, qt.Equals, 1, qt.Commentf("seed %d: executions of %s", seed, key))
		qt.Assert(tb, told[key], qt.IsTrue, qt.Commentf("seed %d: %s ran, and every attempt was told that it did not", seed, key))
	}
}

// TestHistories runs randomized histories. FUCHSIA_HISTORIES sets another
// number of them.
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
				a := op.Output.(answer)
				counts[fmt.Sprintf("%s/%s", a.outcome, a.first)]++
			}
		})
	}
	t.Logf("%d histories, %d calls, %d executions, %d records deleted, answers %v", count, total, ran, deleted, counts)
	qt.Assert(t, ran > 0 && deleted > 0, qt.IsTrue)
}
