package connpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// cutSocket is a connection of which some bytes can be read, and then an error.
type cutSocket struct {
	net.Conn
	text string
	// step is how many bytes one read returns at most.
	step int
	end  error
}

func (s *cutSocket) Read(p []byte) (int, error) {
	if s.text == "" {
		return 0, s.end
	}
	n := copy(p[:min(len(p), s.step)], s.text)
	s.text = s.text[n:]
	return n, nil
}

func (s *cutSocket) Write(p []byte) (int, error) { return len(p), nil }

func (s *cutSocket) Close() error { return nil }

// cutAnswer is an answer whose bytes are cut. whole is the position from which on it is
// complete if its connection is closed, and wholeIfReset if it is reset; -1 is never.
type cutAnswer struct {
	text                string
	whole, wholeIfReset int
}

// cutAnswers returns answers of each kind of framing.
func cutAnswers() map[string]cutAnswer {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: 1\r\nServer-Stamp: 3e1b.07.5a2\r\nContent-Type: text/plain\r\n"
		body   = "the server's bytes"
		stream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
	)
	chunked := func(parts ...string) string {
		var out strings.Builder
		out.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
		for _, part := range parts {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		}
		out.WriteString("0\r\n\r\n")
		return out.String()
	}
	unframedHead := head + "Connection: close\r\n\r\n"
	answers := map[string]cutAnswer{
		"with a length":                {text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)},
		"with a length first":          {text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nId: 1\r\nServer-Stamp: s\r\n\r\n%s", len(body), body)},
		"in chunks":                    {text: chunked(body, strings.Repeat(body, 20), body)},
		"in chunks that are one event": {text: chunked(stream[:20], stream[20:])},
	}
	for name, answer := range answers {
		answer.whole, answer.wholeIfReset = len(answer.text), len(answer.text)
		answers[name] = answer
	}
	// Nothing but the end of the connection tells that such a body is whole, so that a
	// part of it passes for the whole.
	answers["without a length"] = cutAnswer{unframedHead + body, len(unframedHead), -1}
	answers["stream without a length"] = cutAnswer{unframedHead + stream, len(unframedHead), -1}
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n"
	for name, answer := range answers {
		answer.text = interim + answer.text
		answer.whole += len(interim)
		if answer.wholeIfReset >= 0 {
			answer.wholeIfReset += len(interim)
		}
		answers[name+" after an interim one"] = answer
	}
	return answers
}

// readCut reads an answer of which only a part arrives.
func readCut(socket *cutSocket) (End, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchange := &Exchange{ID: "1", Method: http.MethodPost, Events: make(chan Event, 2000), Context: ctx}
	return newConnection(&Pool{}, "u", socket, decodeHead).readAnswer(exchange)
}

// Guards against an answer that counts as complete although its connection ended within
// its head, its framing or its body: the caller got a 200 with an empty or short body.
func TestAnAnswerThatIsCutAnywhereIsNotComplete(t *testing.T) {
	for name, answer := range cutAnswers() {
		for how, end := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
			whole := answer.whole
			if !errors.Is(end, io.EOF) {
				whole = answer.wholeIfReset
			}
			Convey(fmt.Sprintf("Given an answer %s whose connection is %s after any of its %d bytes", name, how, len(answer.text)), t, func() {
				for _, step := range []int{1, len(answer.text)} {
					var complete, broken []int
					for position := range len(answer.text) + 1 {
						got, reusable := readCut(&cutSocket{text: answer.text[:position], step: step, end: end})
						isWhole := whole >= 0 && position >= whole
						if got.Err == nil && !isWhole {
							complete = append(complete, position)
						}
						if got.Err != nil && isWhole {
							broken = append(broken, position)
						}
						So(reusable && position < len(answer.text), ShouldBeFalse)
						if got.Err != nil {
							So(got.Err, ShouldWrap, ErrClosed)
						}
					}
					So(complete, ShouldBeEmpty)
					So(broken, ShouldBeEmpty)
				}
			})
		}
	}
}

// resetSocket is a connection that is reset while a request is written. The kernel
// reports that to one call only, here to the write; the read then sees a plain end.
type resetSocket struct {
	cutSocket
	writing chan struct{}
}

func (s *resetSocket) Read(p []byte) (int, error) {
	<-s.writing
	return s.cutSocket.Read(p)
}

func (s *resetSocket) Write([]byte) (int, error) {
	close(s.writing)
	return 0, syscall.ECONNRESET
}

// Guards against taking a part of a body for the whole if its connection, whose end
// delimits it, is reset before the request is written to its end: the caller got a 200
// with a short body.
func TestABodyThatIsResetWhileItsRequestIsWrittenIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		complete bool
	}{
		"is delimited by its connection": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nthe server's by", false},
		"has a length and is whole":      {whole("1", "the server's bytes"), true},
	} {
		Convey("Given a reset during the request and a body that "+name, t, func() {
			socket := &resetSocket{cutSocket{text: c.text, step: len(c.text), end: io.EOF}, make(chan struct{})}
			connection := newConnection(&Pool{}, "u", socket, decodeHead)
			go connection.read()
			events := make(chan Event, 8)
			So(connection.roundTrip(&Exchange{ID: "1", Method: http.MethodPost, Events: events, Context: context.Background()}), ShouldBeFalse)
			close(events)
			var end *End
			for event := range events {
				end = event.End
			}
			So(end, ShouldNotBeNil)
			So(end.Err == nil, ShouldEqual, c.complete)
		})
	}
}
