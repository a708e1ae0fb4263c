// Package engine is a stand-in for a model engine. It speaks the OpenAI chat
// completions API, plain and streamed, and reports its load with a lag. Its
// answer is a function of the prompt, so that a caller can check that it
// received the answer to its own request. It is for tests and local
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

// Config sets the speed and size of an engine.
type Config struct {
	ID              string
	Slots           int           // sequences in the running batch
	PrefillPerToken time.Duration // time to compute one prompt token
	DecodePerToken  time.Duration // time between two tokens of an answer
	LoadLag         time.Duration // age of the load report
	Fenced          bool          // refuse orders with an old fencing number
	ModelLoadTime   time.Duration // time to obey an order
}

// Execution is a request that the engine ran.
type Execution struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"`
	Finished  bool   `json:"finished"`
}

// Load is the engine's load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Engine serves the API over HTTP.
type Engine struct {
	config Config
	mux    *http.ServeMux
	slots  chan struct{}

	control control

	mu         sync.Mutex
	waiting    int
	running    int
	executions []*Execution
	reported   Load
	reportedAt time.Time
	leaving    bool
}

// New returns an idle engine.
func New(config Config) *Engine {
	e := &Engine{config: config, mux: http.NewServeMux(), slots: make(chan struct{}, config.Slots)}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /standin/executions", e.listExecutions)
	e.mux.HandleFunc("POST /standin/leave", e.leave)
	e.control.fenced, e.control.loadTime = config.Fenced, config.ModelLoadTime
	e.control.register(e.mux)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Executions returns the requests run so far.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Execution, len(e.executions))
	for i, x := range e.executions {
		list[i] = *x
	}
	return list
}

// Answer returns the tokens that an engine gives for a prompt.
func Answer(prompt string, tokens int) []string {
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

// defaultTokens is the length of an answer without max_tokens.
const defaultTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get("Fuchsia-Attempt"); attempt != "" {
		w.Header().Set("Fuchsia-Attempt", attempt)
	}
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	if !e.admit(r) {
		w.Header().Set("Fuchsia-Refused", "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	execution := e.begin(r.Header.Get("X-Request-Id"))
	prompt := promptOf(request)
	e.pause(r, time.Duration(len(strings.Fields(prompt)))*e.config.PrefillPerToken)
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	words := Answer(prompt, request.MaxTokens)
	if request.Stream {
		e.stream(w, r, request.Model, words)
	} else {
		e.whole(w, r, request.Model, prompt, words)
	}
	e.finish(execution, len(words))
}

func promptOf(request completionRequest) string {
	var b strings.Builder
	for _, m := range request.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Prompt returns the text that the answer to messages is a function of.
// Messages alternate role and content.
func Prompt(messages ...string) string {
	return strings.Join(messages, "\n") + "\n"
}

func (e *Engine) pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, model, prompt string, words []string) {
	e.pause(r, time.Duration(len(words))*e.config.DecodePerToken)
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

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, model string, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		first = last + 1
	}
	for i := first; i < len(words); i++ {
		e.pause(r, e.config.DecodePerToken)
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
