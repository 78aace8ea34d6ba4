package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against text that a caller decodes differently from what was encoded.
func TestStringsDecodeAsWithEncodingJSON(t *testing.T) {
	Convey("Any text decodes as it does after encoding/json", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			text := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "text")
			var got, expected string
			if err := json.Unmarshal(appendString(nil, text), &got); err != nil {
				t.Fatalf("%q is not encoded as JSON: %v", text, err)
			}
			encoded, _ := json.Marshal(text)
			_ = json.Unmarshal(encoded, &expected)
			if got != expected {
				t.Fatalf("%q decodes as %q, after encoding/json as %q", text, got, expected)
			}
		})
	})
}

// discardResponse is a response that discards what is written and records the
// write deadline.
type discardResponse struct {
	header   http.Header
	deadline time.Time
}

func (d *discardResponse) Header() http.Header                 { return d.header }
func (d *discardResponse) Write(data []byte) (int, error)      { return len(data), nil }
func (d *discardResponse) WriteHeader(int)                     {}
func (d *discardResponse) Flush()                              {}
func (d *discardResponse) SetWriteDeadline(at time.Time) error { d.deadline = at; return nil }

// Guards against an answer that is cut off by the write deadline of an earlier
// stream on the same connection.
func TestWriteDeadlineOfEarlierStreamIsCleared(t *testing.T) {
	Convey("Reading a request clears the connection's write deadline", t, func() {
		response := &discardResponse{header: http.Header{}, deadline: time.Unix(1, 0)}
		handler := &Handler{now: time.Now}
		_, err := handler.readRequest(response, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader("{}")))
		So(err, ShouldBeNil)
		So(response.deadline.IsZero(), ShouldBeTrue)
	})
}

// BenchmarkToken measures the encoding and writing of one chunk, with texts like
// those of engines.
func BenchmarkToken(b *testing.B) {
	texts := strings.Split(" card| mint| \"as is\"|\n| šunka| colección| near| worn", "|")
	sink := newStreamSink(&discardResponse{header: http.Header{}}, "model", time.Now())
	sink.Begin(&core.Work{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := sink.Token(texts[i%len(texts)]); err != nil {
			b.Fatal(err)
		}
		if err := sink.Flush(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFlush measures the writing of one chunk to a loopback connection,
// including the work of the reader.
func BenchmarkFlush(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newStreamSink(w, "model", time.Now())
		sink.Begin(&core.Work{})
		b.ReportAllocs()
		for b.Loop() {
			if err := errors.Join(sink.Token(" card"), sink.Flush()); err != nil {
				b.Error(err)
			}
		}
	}))
	defer server.Close()
	response, err := server.Client().Get(server.URL)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
}
