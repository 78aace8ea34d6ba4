package upstream

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

const tokenChunk = `{"id":"chatcmpl-000102030405060708090a0b0c0d0e0f","object":"chat.completion.chunk","model":"m",` +
	`"attempt":2,"choices":[{"index":0,"delta":{"content":" card"},"finish_reason":null}]}`

const finishChunk = `{"id":"chatcmpl-000102030405060708090a0b0c0d0e0f","attempt":2,"choices":[{"index":0,"delta":{},` +
	`"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10}}`

// chunkCases are valid and invalid chunks, which also seed the fuzz test.
var chunkCases = []string{
	tokenChunk, finishChunk, ``, `{}`, `null`, `[]`, `{"id":1}`, `{"choices":null}`, `{"choices":[]}`,
	`{"choices":[{},{}]}`, `{"attempt":1.5}`, `{"attempt":01}`, `{"attempt":-1}`, `{"attempt":9223372036854775808}`,
	`{"id":"a","id":"b"}`, `{"ID":"a"}`, `{"id":"\u0061"}`, `{"usage":null}`, `{"usage":{}}`,
	`{"choices":[{"delta":{"content":"a\n\"b\" \\ \u00e9 š"}}]}`, `{"choices":[{"delta":{"content":null}}]}`,
	"{\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}", `{"choices":[{"delta":{"content":"\`, ` { "id" : "x" } `, `{"id":"x"}y`,
	`{"choices":[{"delta":{"content":"a"},"delta":{}}]}`, `{"choices":[{"finish_reason":""}]}`,
}

// Guards against a scanner that parses a chunk differently from encoding/json.
func TestScanChunkAgreesWithEncodingJSON(t *testing.T) {
	Convey("The scanner returns the same as encoding/json, or returns false", t, func() {
		for _, data := range chunkCases {
			assertScanAgrees(t, []byte(data))
		}
	})
	Convey("The usual chunks are scanned without fallback", t, func() {
		for _, data := range []string{tokenChunk, finishChunk} {
			_, ok := scanChunk([]byte(data), &textArena{})
			So(ok, ShouldBeTrue)
		}
	})
}

func assertScanAgrees(t *testing.T, data []byte) {
	scanned, ok := scanChunk(data, &textArena{})
	if !ok {
		return
	}
	expected, err := parseChunkSlow(data)
	if err != nil {
		t.Fatalf("scanner accepts %q, which encoding/json refuses: %v", data, err)
	}
	if !bytes.Equal(scanned.id, expected.id) {
		t.Fatalf("id of %q is %q, expected %q", data, scanned.id, expected.id)
	}
	scanned.id, expected.id = nil, nil
	if !reflect.DeepEqual(scanned, expected) {
		t.Fatalf("%q is %+v, expected %+v", data, scanned, expected)
	}
}

func FuzzScanChunk(f *testing.F) {
	for _, data := range chunkCases {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) { assertScanAgrees(t, data) })
}

// Guards against a finish event without usage, whose request would be billed
// wrongly.
func TestFinishChunkBecomesFinishEvent(t *testing.T) {
	Convey("Given a chunk with the finish reason", t, func() {
		parsed, err := parseChunk([]byte(finishChunk), &textArena{})
		So(err, ShouldBeNil)
		Convey("It becomes a finish event with the usage", func() {
			event, err := parsed.event(4)
			So(err, ShouldBeNil)
			So(event.Kind, ShouldEqual, core.EventFinish)
			So(event.Position, ShouldEqual, 4)
			So(event.Attempt, ShouldEqual, 2)
			So(event.Request.String(), ShouldEqual, "000102030405060708090a0b0c0d0e0f")
			So(event.Usage, ShouldResemble, core.Usage{Prompt: 7, Generated: 3})
		})
		Convey("Without usage, or with another id, it is refused", func() {
			bare := parsed
			bare.hasUsage = false
			_, err := bare.event(4)
			So(err, ShouldNotBeNil)
			parsed.id = []byte("chatcmpl-1")
			_, err = parsed.event(4)
			So(err, ShouldNotBeNil)
		})
	})
}

type readEvent struct {
	id         int64
	kind, data string
}

func readAll(source io.Reader) ([]readEvent, error) {
	decoder := newSSEDecoder(source)
	var events []readEvent
	for {
		event, err := decoder.next()
		if err != nil {
			return events, err
		}
		events = append(events, readEvent{event.ID, string(event.Type), string(event.Data)})
	}
}

// Guards against events that are merged, split or mixed with fields of the event
// before.
func TestSSEDecoder(t *testing.T) {
	cases := []struct {
		name, input string
		events      []readEvent
	}{
		{"usual events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []readEvent{{1, "", "a"}, {2, "", "b"}}},
		{"CRLF, comments and no space", ": hi\r\nid:7\r\ndata:a\r\n\r\n", []readEvent{{7, "", "a"}}},
		{"several data lines", "data: a\ndata:  b\ndata\n\n", []readEvent{{0, "", "a\n b\n"}}},
		{"an id is not inherited", "id: 3\n\ndata: a\n\n", []readEvent{{0, "", "a"}}},
		{"a type is not inherited", "event: error\n\ndata: a\n\nevent: error\ndata: b\n\n", []readEvent{{0, "", "a"}, {0, "error", "b"}}},
		{"an unfinished event is dropped", "data: a\n\ndata: b\n", []readEvent{{0, "", "a"}}},
	}
	Convey("Events are decoded correctly however the input is split", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				for _, source := range []io.Reader{
					strings.NewReader(c.input), iotest.OneByteReader(strings.NewReader(c.input)),
				} {
					events, err := readAll(source)
					So(err, ShouldEqual, io.EOF)
					So(events, ShouldResemble, c.events)
				}
			})
		}
	})
	Convey("Input that would use unbounded memory is refused", t, func() {
		long := strings.Repeat("x", maxLineBytes)
		_, err := readAll(strings.NewReader("data: " + long))
		So(err, ShouldEqual, errEventTooLong)
		half := "data: " + long[:maxLineBytes/2] + "\n"
		_, err = readAll(strings.NewReader(half + half + "\n"))
		So(err, ShouldEqual, errEventTooLong)
	})
	Convey("An id that is not a position is refused", t, func() {
		_, err := readAll(strings.NewReader("id: x\ndata: a\n\n"))
		So(err, ShouldNotBeNil)
	})
}

func FuzzSSEDecoder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nevent: error\ndata: b\ndata: c\n\n"))
	f.Add([]byte(": x\r\n\r\ndata\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		whole, wholeErr := readAll(bytes.NewReader(input))
		split, splitErr := readAll(iotest.OneByteReader(bytes.NewReader(input)))
		if !reflect.DeepEqual(whole, split) || errors.Is(wholeErr, io.EOF) != errors.Is(splitErr, io.EOF) {
			t.Fatalf("the result depends on how the input is split: %v, %v; %v, %v", whole, wholeErr, split, splitErr)
		}
		for _, event := range whole {
			if len(event.data) > maxLineBytes {
				t.Fatalf("event of %d bytes", len(event.data))
			}
		}
	})
}

func BenchmarkDecodeEvent(b *testing.B) {
	one := "id: 1\ndata: " + tokenChunk + "\n\n"
	input := strings.Repeat(one, 1000)
	source := strings.NewReader(input)
	decoder := newSSEDecoder(source)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			source.Reset(input)
			decoder = newSSEDecoder(source)
		}
		received, err := decoder.next()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeEvent(received, &textArena{}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseChunkSlow(b *testing.B) {
	data := []byte(tokenChunk)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseChunkSlow(data); err != nil {
			b.Fatal(err)
		}
	}
}
