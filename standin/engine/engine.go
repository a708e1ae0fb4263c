// Package engine is a stand-in for a model engine. It implements the OpenAI chat
// completions API, with and without streaming, and reports its load with a
// delay. A completion is a function of the prompt, so that a caller can check
// that it received the response to its own request. It is for tests and local
// development.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets the capacity and speed of an engine.
type Config struct {
	ID              string        // informational, not used by the engine
	Slots           int           // maximum number of sequences in the running batch
	PrefillPerToken time.Duration // time to process one prompt token
	DecodePerToken  time.Duration // time to generate one token
	LoadLag         time.Duration // maximum age of the load report
	Fenced          bool          // reject orders with an outdated fencing number
	ModelLoadTime   time.Duration // time from accepting an order to reaching its state
}

// Execution is a request that the engine started to run.
type Execution struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`   // length of the full completion, set when finished
	Finished  bool   `json:"finished"` // the engine completed it, or stopped because the caller disconnected
}

// Load is the load report of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Engine is an http.Handler that implements the API of a model engine.
type Engine struct {
	config Config
	mux    *http.ServeMux
	slots  chan struct{} // semaphore, holds one element per running request

	orderHandler orderHandler

	mu         sync.Mutex
	waiting    int
	running    int
	executions []*Execution
	reported   Load // sent by getLoad until it is LoadLag old
	reportedAt time.Time
	draining   bool // new requests are refused
}

// New returns an idle engine with the given configuration.
func New(config Config) *Engine {
	e := &Engine{config: config, mux: http.NewServeMux(), slots: make(chan struct{}, config.Slots)}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.getLoad)
	e.mux.HandleFunc("GET /standin/executions", e.listExecutions)
	e.mux.HandleFunc("POST /standin/leave", e.drain)
	e.orderHandler.fenced, e.orderHandler.loadTime = config.Fenced, config.ModelLoadTime
	e.orderHandler.registerRoutes(e.mux)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Executions returns the requests started so far, in order.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Execution, len(e.executions))
	for i, x := range e.executions {
		list[i] = *x
	}
	return list
}

// Completion returns the completion that every engine generates for a prompt,
// as a list of tokens.
func Completion(prompt string, tokens int) []string {
	digest := xxhash.Sum64String(prompt)
	words := make([]string, tokens)
	for i := range words {
		words[i] = fmt.Sprintf("%08x.%d ", uint32(digest), i)
	}
	return words
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// defaultMaxTokens is the length of the completion of a request without
// max_tokens.
const defaultMaxTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get("Fuchsia-Attempt"); attempt != "" {
		w.Header().Set("Fuchsia-Attempt", attempt)
	}
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	if !e.acquireSlot(r) {
		w.Header().Set("Fuchsia-Refused", "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	execution := e.recordStart(r.Header.Get("X-Request-Id"))
	prompt := renderPrompt(request)
	e.sleep(r, time.Duration(len(strings.Fields(prompt)))*e.config.PrefillPerToken)
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	words := Completion(prompt, request.MaxTokens)
	if request.Stream {
		e.streamCompletion(w, r, request.Model, words)
	} else {
		e.writeCompletion(w, r, request.Model, prompt, words)
	}
	e.recordFinish(execution, len(words))
}

func renderPrompt(request completionRequest) string {
	var b strings.Builder
	for _, m := range request.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Prompt returns the prompt that the engine passes to Completion for a request
// with these messages. The arguments alternate between role and content.
func Prompt(messages ...string) string {
	return strings.Join(messages, "\n") + "\n"
}

// sleep waits for d or until the request is canceled.
func (e *Engine) sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, model, prompt string, words []string) {
	e.sleep(r, time.Duration(len(words))*e.config.DecodePerToken)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": "chatcmpl-" + r.Header.Get("X-Request-Id"), "object": "chat.completion", "model": model, "created": time.Now().Unix(),
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": message{Role: "assistant", Content: strings.Join(words, "")},
		}},
		"usage": map[string]int{
			"prompt_tokens":     len(strings.Fields(prompt)),
			"completion_tokens": len(words),
			"total_tokens":      len(strings.Fields(prompt)) + len(words),
		},
	})
}

// streamCompletion sends the completion as server-sent events, one per token. The
// header Last-Event-ID resumes it after that event.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, model string, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		first = last + 1
	}
	for i := first; i < len(words); i++ {
		e.sleep(r, e.config.DecodePerToken)
		if r.Context().Err() != nil {
			return
		}
		writeChunk(w, i, model, r.Header.Get("X-Request-Id"), words[i], "")
		_ = controller.Flush()
	}
	writeChunk(w, len(words), model, r.Header.Get("X-Request-Id"), "", "stop")
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w http.ResponseWriter, offset int, model, id, word, finish string) {
	choice := map[string]any{"index": 0, "delta": map[string]string{"content": word}}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	chunk, _ := json.Marshal(map[string]any{
		"id": "chatcmpl-" + id, "object": "chat.completion.chunk", "model": model, "created": 0,
		"choices": []any{choice},
	})
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, chunk)
}
