package connpool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// invalidFieldLines are lines in the place of a field that are none.
var invalidFieldLines = []string{
	"X Trace: a", "X-Trace : a", "Content-Length : 4", "Content-Length  : 4", "Content Length: 4", "Transfer-Encoding : chunked",
	"X\tTrace: a", "X-Trace\t: a", "X\x00Trace: a", "X\x01Trace: a", "X\x0bTrace: a", "X\x7fTrace: a", "X\rTrace: a", "X(Trace): a",
	"X\x80Trace: a", ": a", "X-Trace", "X-Trace: \x00", "X-Trace: \x01",
}

// readWhole reads the answer to request 1 from an upstream that then ends the connection.
func readWhole(text string) (events chan Event, end End, reusable bool) {
	events = make(chan Event, 8)
	exchange := &Exchange{ID: "1", Method: http.MethodPost, Events: events, Context: context.Background()}
	end, reusable = newConnection(&Pool{}, "u", &cutSocket{text: text, step: len(text), end: io.EOF}, decodeHead).readAnswer(exchange)
	return events, end, reusable
}

// Guards against an answer with an invalid field that is passed on: the parser of net/http
// keeps a name with a blank, so that a length with one is not seen as a length.
func TestAnInvalidFieldIsNoAnswer(t *testing.T) {
	valid := whole("1", "ok")
	for shape, text := range map[string]string{
		"in a success with a length":    "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 4\r\n\r\nbody",
		"in a failure with a length":    "HTTP/1.1 404 Not Found\r\nId: 1\r\n%s\r\nContent-Length: 4\r\n\r\nbody",
		"before the id":                 "HTTP/1.1 200 OK\r\n%s\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"in an answer in chunks":        "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"in an answer without a length": "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n\r\nbody",
		"in an interim answer":          "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n" + valid,
		"in another request's answer":   "HTTP/1.1 200 OK\r\nId: 2\r\n%s\r\nContent-Length: 4\r\n\r\nbody" + valid,
	} {
		for _, line := range invalidFieldLines {
			Convey(fmt.Sprintf("The line %q %s makes it malformed", line, shape), t, func() {
				events, end, reusable := readWhole(fmt.Sprintf(text, line))
				So(end.Err, ShouldWrap, ErrMalformedResponse)
				So(reusable, ShouldBeFalse)
				So(events, ShouldBeEmpty)
			})
		}
	}
	for shape, id := range map[string]string{"an answer": "1", "another request's answer": "2"} {
		for _, line := range invalidFieldLines {
			Convey(fmt.Sprintf("The line %q after the chunks of %s makes it incomplete", line, shape), t, func() {
				_, end, reusable := readWhole("HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n" + valid)
				So(end.Err, ShouldNotBeNil)
				So(reusable, ShouldBeFalse)
			})
		}
	}
	Convey("A name listed in Trailer must be valid", t, func() {
		_, end, _ := readWhole("HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: X Trace\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		So(end.Err, ShouldWrap, ErrMalformedResponse)
	})
	Convey("Valid fields are passed on, before and after the body", t, func() {
		const name, value = "!#$%&'*+-.^_`|~09az", "\ta b\t\x80"
		events, end, reusable := readWhole("HTTP/1.1 103 Early Hints\r\n" + name + ": " + value + "\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nTrailer: X-Trace\r\n" +
			name + ": " + value + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trace: " + value + "\r\n\r\n")
		So(end.Err, ShouldBeNil)
		So(reusable, ShouldBeTrue)
		So((<-events).Head.Status, ShouldEqual, http.StatusOK)
		So(string((<-events).Data), ShouldEqual, "body")
	})
}
