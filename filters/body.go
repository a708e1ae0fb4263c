package filters

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// firstBufferBytes bounds the memory taken for a body before any of it arrived.
const firstBufferBytes = 64 << 10

// Shape of the prefix digests of a prompt.
const (
	prefixBlockBytes = 256
	maxPrefixBlocks  = 32
	bytesPerToken    = 4 // estimate for English text
	maxAnswerTokens  = 1 << 20
)

// ReadBody reads the body, bounded by MaxBytes. It finds the model of an
// OpenAI call, and from it the service and the work.
type ReadBody struct {
	MaxBytes int64
	// Opaque bodies are not looked into: the header told what they are.
	Opaque bool
}

// Name implements Filter.
func (ReadBody) Name() string { return "read-body" }

// Handle implements Filter.
func (f ReadBody) Handle(x *Exchange, next Handler) *outcome.Error {
	if x.Snapshot != nil && x.Snapshot.Limits.BodyBytes > 0 {
		f.MaxBytes = min(f.MaxBytes, x.Snapshot.Limits.BodyBytes)
	}
	body, refusal := f.read(x)
	if refusal != nil {
		return refusal
	}
	x.Body = body
	if f.Opaque {
		return next(x)
	}
	if x.Service == nil || x.Service.Kind == catalog.Model {
		if refusal := parseChat(x); refusal != nil {
			return refusal
		}
	}
	return next(x)
}

func (f ReadBody) read(x *Exchange) ([]byte, *outcome.Error) {
	if x.Request.ContentLength > f.MaxBytes {
		return nil, f.tooLarge()
	}
	reader := http.MaxBytesReader(x.Writer, x.Request.Body, f.MaxBytes)
	body, err := readAll(reader, x.Request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.tooLarge()
	case err != nil:
		refusal := outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "body could not be read to its end")
		refusal.Cause = err
		return nil, refusal
	}
	return body, nil
}

// readAll reads r to its end. The buffer begins at the announced size, but
// grows from firstBufferBytes, so that an announcement alone takes no memory.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 || size > firstBufferBytes {
		size = firstBufferBytes
	}
	// bytes.MinRead is the room that ReadFrom wants before each read.
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

func (f ReadBody) tooLarge() *outcome.Error {
	return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge, "body is larger than %d bytes", f.MaxBytes)
}

// parseChat reads what routing needs from a chat completion request.
func parseChat(x *Exchange) *outcome.Error {
	if !gjson.ValidBytes(x.Body) {
		return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "body is no JSON")
	}
	fields := gjson.GetManyBytes(x.Body, "model", "stream", "messages", "max_completion_tokens", "max_tokens")
	if x.Service == nil {
		service, work, _ := strings.Cut(fields[0].String(), "/")
		if service == "" {
			return outcome.Refuse(http.StatusBadRequest, outcome.CodeBadRequest, "model is missing")
		}
		if refusal := resolve(x, service, work); refusal != nil {
			return refusal
		}
	}
	x.Stream = fields[1].Bool()
	x.PromptTokens = len(fields[2].Raw) / bytesPerToken
	x.AnswerTokens = answerTokens(fields[3], fields[4])
	x.Prefix = prefixDigests(fields[2].Raw)
	return nil
}

// answerTokens returns the bound that the caller sets, the newer field first.
// A number that no engine permits counts as the largest permitted.
func answerTokens(bounds ...gjson.Result) int {
	for _, bound := range bounds {
		if tokens := bound.Int(); tokens > 0 {
			return int(min(tokens, maxAnswerTokens))
		}
	}
	return 0
}

// prefixDigests returns a digest of each leading run of whole blocks.
func prefixDigests(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	digests := make([]uint64, blocks)
	hash := xxhash.New()
	for i := range digests {
		_, _ = hash.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		digests[i] = hash.Sum64()
	}
	return digests
}
