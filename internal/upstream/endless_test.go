package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// endlessConnection answers a request with some bytes, and then with others again and
// again until it is closed. It counts what is read.
type endlessConnection struct {
	cutConnection
	repeated string
	read     int
}

func (c *endlessConnection) Read(p []byte) (int, error) {
	if c.text == "" {
		c.text = c.repeated
	}
	n, err := c.cutConnection.Read(p)
	c.read += n
	return n, err
}

// Guards against keeping what a faulty upstream sends without end, in a head or in a
// body, until the host is out of memory.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	endless := map[string][2]string{
		"fields": {head, "X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"}, "a field": {head + "X-Filler: ", "x"},
		"a status line": {"HTTP/1.1 200 ", "x"}, "interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"a line of a stream": {head + "\r\ndata: ", "e"}, "an event of a stream": {head + "\r\n", "data: eeeeeeeeee\n"},
		"the body of a failure": {"HTTP/1.1 500 Oops\r\n\r\n", "f"},
	}
	for name, parts := range endless {
		// The names of fields are sent with the data of an event, but not kept.
		for path, maxBytes := range map[string]int{"stream": maxHeadBytes + 2*maxLineBytes, "call": maxHeadBytes + maxAnswerBytes} {
			Convey("The "+path+" fails if "+name+" does not end", t, func() {
				connection := &endlessConnection{cutConnection: cutConnection{written: make(chan struct{}, 1), text: parts[0]}, repeated: parts[1]}
				client := NewClient()
				client.unpooled.DialContext = func(context.Context, string, string) (net.Conn, error) { return newSocket(connection), nil }
				if path == "stream" {
					So(finished(client), ShouldBeFalse)
				} else {
					_, err := client.Call(context.Background(), cutCall(http.MethodPost))
					So(fault.From(err).Run, ShouldBeIn, []any{fault.Unknown, fault.Ran})
				}
				So(connection.read, ShouldBeLessThan, maxBytes+8<<10)
			})
		}
	}
	Convey("A pooled connection has the same limits", t, func() {
		connection := &endlessConnection{cutConnection: cutConnection{written: make(chan struct{}, 1), text: head}, repeated: "X: y\r\n"}
		client := NewClient()
		client.pooled.DialContext = func(context.Context, string, string) (net.Conn, error) { return newSocket(connection), nil }
		_, err := client.Load(context.Background(), core.Target{Address: "upstream:80"})
		So(err, ShouldNotBeNil)
		So(connection.read, ShouldBeLessThan, maxHeadBytes+8<<10)
	})
}
