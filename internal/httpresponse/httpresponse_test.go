package httpresponse_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/peridotreel/peridotreel/internal/httpresponse"
)

// token is the syntax of a field name in RFC 9110, 5.6.2.
var token = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+$")

// FuzzRead guards against names that are no token in a head or a trailer that counts as valid.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Trace: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\r\n Trace: a\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trace : a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		response, err := httpresponse.Read(bufio.NewReader(bytes.NewReader(text)), nil) //nolint:bodyclose
		if err != nil {
			return
		}
		check := func(header http.Header) {
			for name := range header {
				if !token.MatchString(name) {
					t.Errorf("the name %q of %q was passed on", name, text)
				}
			}
		}
		check(response.Header)
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			check(response.Trailer)
		}
	})
}
