package stream_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fuchsiastack/fuchsiastack/stream"
)

func event(offset int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", offset, offset) }

// read passes text through a Decoder and s, and returns the delivered events.
func read(text string, s *stream.Sequencer) (got string, ended bool, err error) {
	d := stream.NewChatDecoder(iotest.HalfReader(strings.NewReader(text)))
	defer d.Close()
	for !ended {
		e, readErr := d.Next()
		if readErr != nil {
			return got, ended, readErr
		}
		ended, err = s.Add(e, func(raw []byte) error { got += string(raw); return nil })
		if err != nil {
			return got, ended, err
		}
	}
	return got, ended, nil
}

// TestSequencerReordersEvents sends events delayed, duplicated and reordered
// within a window, and expects each of them once and in order.
func TestSequencerReordersEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 100).Draw(t, "count")
		order := make([]int, 0, 2*count)
		for i := range count {
			order = append(order, i)
			if rapid.Bool().Draw(t, "double") {
				order = append(order, i)
			}
		}
		for i := range order {
			j := min(len(order)-1, i+rapid.IntRange(0, 8).Draw(t, "late"))
			order[i], order[j] = order[j], order[i]
		}
		var text, want strings.Builder
		for i := range count {
			want.WriteString(event(i))
		}
		for _, i := range order {
			text.WriteString(event(i))
		}
		text.WriteString("data: [DONE]\n\n")
		want.WriteString("data: [DONE]\n\n")
		got, ended, err := read(text.String(), stream.NewSequencer(0))
		if err != nil || !ended || got != want.String() {
			t.Fatalf("got %q, ended %t, error %v, want %q", got, ended, err, want.String())
		}
	})
}

// TestEndMarkerWithOffsetEndsStream guards against a complete stream that is reported as
// truncated because its end marker has an id.
func TestEndMarkerWithOffsetEndsStream(t *testing.T) {
	const end = "id: 2\ndata: [DONE]\n\n"
	complete := event(0) + event(1) + end
	for text, sequencer := range map[string]*stream.Sequencer{
		complete:                  stream.NewSequencer(0),
		event(0) + end + event(1): stream.NewSequencer(0), // out of order
		complete + ": \n\n":       stream.NewMonotonic(-1),
	} {
		got, ended, err := read(text, sequencer)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, ended, qt.IsTrue, qt.Commentf("stream %q", text))
		qt.Check(t, got, qt.Equals, complete)
	}
}

func TestMissingEventIsNotSkipped(t *testing.T) {
	s := stream.NewSequencer(0)
	got, ended, err := read(event(0)+event(2)+"data: [DONE]\n\n", s)
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, ended, qt.IsFalse)
	qt.Assert(t, got, qt.Equals, event(0))
	qt.Assert(t, s.LastOffset(), qt.Equals, int64(0))
	s.DropPending()
	got, ended, err = read(event(1)+event(2)+"data: [DONE]\n\n", s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, event(1)+event(2)+"data: [DONE]\n\n")
}

func TestSizeLimits(t *testing.T) {
	var gapped strings.Builder
	for i := range 200 {
		gapped.WriteString(event(i + 1))
	}
	_, _, err := read(gapped.String(), stream.NewSequencer(0))
	qt.Assert(t, err, qt.Equals, stream.ErrGap)
	_, _, err = read("data: "+strings.Repeat("x", stream.MaxEventBytes)+"\n\n", stream.NewSequencer(0))
	qt.Assert(t, err, qt.Equals, stream.ErrTooLarge)
	got, _, err := read("data: "+strings.Repeat("x", stream.MaxEventBytes-100)+"\n\n", stream.NewSequencer(0))
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, len(got) > stream.MaxEventBytes-100, qt.IsTrue)
	got, _, err = read(event(0)+"id: 1\ndata: cut", stream.NewSequencer(0))
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, got, qt.Equals, event(0))
}

// TestMarkersBelongToChatCompletions guards against a stream that ends early because the
// content of an event is taken for a marker of an API that the stream does not use, or
// for the end marker although it is longer.
func TestMarkersBelongToChatCompletions(t *testing.T) {
	for text, marker := range map[string]bool{
		"data: [DONE]\n\n": true, "id: 3\ndata:[DONE]\n\n": true, "event: error\ndata: {}\n\n": true,
		"data: a\ndata: [DONE]\n\n": false, "data: [DONE]\ndata: a\n\n": false,
	} {
		for chat, newDecoder := range map[bool]func(io.Reader) *stream.Decoder{true: stream.NewChatDecoder, false: stream.NewDecoder} {
			d := newDecoder(iotest.OneByteReader(strings.NewReader(text)))
			e, err := d.Next()
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, e.Done || e.Failed, qt.Equals, chat && marker, qt.Commentf("%q, chat completion: %t", text, chat))
			qt.Check(t, string(e.Raw), qt.Equals, text)
			d.Close()
		}
	}
	d := stream.NewDecoder(strings.NewReader("id: 1\ndata: [DONE]\n"))
	defer d.Close()
	_, err := d.Next()
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, d.Partial(), qt.IsTrue)
}

// FuzzDecoder checks that the decoder keeps its size limits on any input, and
// that each event it returns is a part of the input.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		event(0) + event(1) + "data: [DONE]\n\n", "data: [DONE]", ": comment\r\n\r\nid: 7\r\ndata: x\r\n\r\n",
		"event: error\ndata: {}\n\n", "id: 99999999999999999999\ndata\n\n", "\n\n\n", "id:-1\n\ndata: [DONE]\r",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d := stream.NewChatDecoder(strings.NewReader(text))
		defer d.Close()
		size := 0
		for {
			e, err := d.Next()
			if err != nil {
				break
			}
			if len(e.Raw) > stream.MaxEventBytes+2 || e.Offset < stream.NoOffset {
				t.Fatalf("event of %d bytes with offset %d", len(e.Raw), e.Offset)
			}
			if !e.Done && !strings.Contains(text, string(e.Raw)) {
				t.Fatalf("event %q is not in the input", e.Raw)
			}
			size += len(e.Raw)
		}
		if size > len(text)+2 {
			t.Fatalf("decoded %d bytes from an input of %d bytes", size, len(text))
		}
	})
}

// TestForeignTextIsNotAnEvent guards against the text or the header of an error
// response that is taken for an event and reaches the caller within its stream.
func TestForeignTextIsNotAnEvent(t *testing.T) {
	for name, text := range map[string]string{
		"text":              "the server failed\n\n",
		"text with a colon": "panic in handler: out of memory\n\n",
		"response":          "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n",
		"glued response":    "id: 1\ndata: beginHTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nfailed\n",
		"header":            "Content-Type: text/plain\r\n\r\n",
		"word":              "failed\n\n",
		"word and text":     "failed: no memory\n\n",
		"json":              `{"error": {"message": "failed"}}` + "\n\n",
		"html":              "<html>\n\n",
		"binary":            "\x1f\x8b\x08\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, ended, err := read(event(0)+text+event(1), stream.NewSequencer(0))
			qt.Assert(t, err, qt.Equals, stream.ErrMalformed)
			qt.Assert(t, ended, qt.IsFalse)
			qt.Assert(t, got, qt.Equals, event(0))
		})
	}
}

// TestFieldsAreAccepted checks that the fields of the format, unknown fields in lower
// case, comments and a byte order mark are passed on unchanged.
func TestFieldsAreAccepted(t *testing.T) {
	text := "\xef\xbb\xbf: hello\n\nweight-versions: 3\nid: 0\nevent: chunk\ndata: a\ndata\nretry: 10\nx_y\n\n:\r\n\r\n"
	got, _, err := read(text, stream.NewSequencer(0))
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, got, qt.Equals, text)
}
