package api

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against callers that are refused, or answered only after others have read, because
// hundreds of callers do not read their answers.
func TestSlowReadersCostOtherCallersNothing(t *testing.T) {
	const slow, length = 300, 600 << 10
	Convey("Given callers that do not read", t, func() {
		s := serveAccounted(func(response *answer, r *http.Request) {
			body := "fast"
			if r.URL.Path == "/slow" {
				body = strings.Repeat("s", length)
			}
			_ = sendWhole(response, http.StatusOK, []byte(body))
		})
		for range slow {
			connection, err := net.Dial("tcp", s.address)
			So(err, ShouldBeNil)
			defer func() { _ = connection.Close() }()
			So(connection.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
			_, err = io.WriteString(connection, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			So(err, ShouldBeNil)
			status := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(connection, status)
			So(err, ShouldBeNil)
			So(string(status), ShouldEqual, "HTTP/1.1 200")
		}
		for range slow {
			got := s.send("GET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false)
			So(got, ShouldEndWith, "fast")
		}
	})
}
