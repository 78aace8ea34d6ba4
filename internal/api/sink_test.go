package api

import (
	"encoding/json"
	"net/http"
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
type discard struct{ header http.Header }

func (d *discard) Header() http.Header              { return d.header }
func (d *discard) Write(data []byte) (int, error)   { return len(data), nil }
func (d *discard) WriteHeader(int)                  {}
func (d *discard) Flush()                           {}
func (d *discard) SetWriteDeadline(time.Time) error { return nil }

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
