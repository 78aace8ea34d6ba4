package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against a refusal at the limit of connections that its caller cannot read, because
// what it goes on sending resets the connection.
func TestARefusalAtTheLimitIsReadWhateverFollows(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	for name, request := range map[string]string{
		"a body of 2 MiB":     fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunks of 2 MiB":     fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"further requests":    strings.Repeat(plainRequest, 10000),
		"HTTP/1.0":            fmt.Sprintf("POST /x HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"a wait for a prompt": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n",
	} {
		Convey("Given a host without room and a request with "+name, t, func() {
			l := startLimitedServer(listen())
			for range limitedConnections - 1 {
				l.hold()
			}
			Reset(func() { close(l.release) })
			for range 3 {
				connection := l.dial()
				_, err := io.WriteString(connection, request)
				So(err, ShouldBeNil)
				got, err := readReply(bufio.NewReader(connection))
				So(err, ShouldBeNil)
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				So(got.body, ShouldContainSubstring, string(gateway.Overloaded))
				So(connection.Close(), ShouldBeNil)
			}
		})
	}
}
