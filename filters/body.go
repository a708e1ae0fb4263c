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

// initialBufferBytes limits the memory allocated for a body before any of it has
// arrived.
const initialBufferBytes = 64 << 10

// Parameters of the prefix digests and of the token counts of a prompt.
const (
	prefixBlockBytes    = 256
	maxPrefixBlocks     = 32
	bytesPerToken       = 4 // estimate for English text
	maxOutputTokenLimit = 1 << 20
)

// ReadBody reads the body of at most MaxBytes, or of the configured limit if that
// is lower. It parses the body of a model service, and resolves the service and
// the work from the model if no earlier filter has.
type ReadBody struct {
	MaxBytes int64
	// Opaque skips the parsing: earlier filters have taken what routing needs
	// from the header.
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

// readAll reads r to its end. size is the announced size, or negative if unknown.
// The buffer starts with at most initialBufferBytes and grows as data arrives, so
// that a large Content-Length alone allocates no memory.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 || size > initialBufferBytes {
		size = initialBufferBytes
	}
	// ReadFrom grows the buffer if it has less than bytes.MinRead spare capacity.
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

func (f ReadBody) tooLarge() *outcome.Error {
	return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge, "body is larger than %d bytes", f.MaxBytes)
}

// parseChat sets the fields of x that routing needs from the body of a chat
// completion request.
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
	x.MaxOutputTokens = outputTokenLimit(fields[3], fields[4])
	x.Prefix = prefixDigests(fields[2].Raw)
	return nil
}

// outputTokenLimit returns the first positive limit, or 0. The newer field of the
// API, max_completion_tokens, is passed first. A limit that no engine permits is
// reduced to maxOutputTokenLimit.
func outputTokenLimit(limits ...gjson.Result) int {
	for _, limit := range limits {
		if tokens := limit.Int(); tokens > 0 {
			return int(min(tokens, maxOutputTokenLimit))
		}
	}
	return 0
}

// prefixDigests returns one digest for each of the first blocks of prompt. Each
// digest covers the prompt from its start to the end of that block. A last block
// that is not full has no digest.
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
