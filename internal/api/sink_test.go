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

// Guards against text that a caller decodes as another one.
func TestStringsDecodeAsTheyWere(t *testing.T) {
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

// discard is a response that drops what is written.
type discard struct {
	header   http.Header
	deadline time.Time
}

func (d *discard) Header() http.Header                 { return d.header }
func (d *discard) Write(data []byte) (int, error)      { return len(data), nil }
func (d *discard) WriteHeader(int)                     {}
func (d *discard) Flush()                              {}
func (d *discard) SetWriteDeadline(at time.Time) error { d.deadline = at; return nil }

// Guards against an answer that is cut off by the deadline of an earlier stream
// on the same connection.
func TestDeadlineOfAnEarlierStreamIsCleared(t *testing.T) {
	Convey("Reading a request clears the deadline of the connection's writes", t, func() {
		response := &discard{header: http.Header{}, deadline: time.Unix(1, 0)}
		handler := &Handler{now: time.Now}
		_, err := handler.read(response, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader("{}")))
		So(err, ShouldBeNil)
		So(response.deadline.IsZero(), ShouldBeTrue)
	})
}

// Guards against a long stream that is cut off by the deadline of an earlier
// write.
func TestDeadlineOfWritesMovesOnWithTheStream(t *testing.T) {
	Convey("At each chunk the deadline lies 9 s to 10 s ahead", t, func() {
		response := &discard{header: http.Header{}}
		sink := newStreamSink(response, "model", time.Time{})
		now := time.Unix(1_700_000_000, 0)
		for _, gap := range []time.Duration{0, 300 * time.Millisecond, 699 * time.Millisecond, time.Millisecond, time.Minute, 999 * time.Millisecond} {
			now = now.Add(gap)
			So(sink.extendDeadline(now), ShouldBeNil)
			So(response.deadline, ShouldHappenOnOrBetween, now.Add(writeTimeout-deadlineInterval), now.Add(writeTimeout))
		}
	})
}

// BenchmarkToken measures a chunk from event to written bytes, over texts as
// engines send them.
func BenchmarkToken(b *testing.B) {
	texts := strings.Split(" card| mint| \"as is\"|\n| šunka| colección| near| worn", "|")
	sink := newStreamSink(&discard{header: http.Header{}}, "model", time.Now())
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

// BenchmarkFlush measures a chunk that is written to a loopback connection,
// the reader's part included.
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
