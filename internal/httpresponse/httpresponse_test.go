package httpresponse_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"slices"
	"testing"
	"testing/iotest"

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

// FuzzChunksOfHTTP10 guards against a response of HTTP/1.0 that counts as valid although a
// parser of HTTP/1.1 sees chunks in it, in whatever parts it arrives.
func FuzzChunksOfHTTP10(f *testing.F) {
	f.Add([]byte(" 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte(" 200 OK\r\nX-Trace: a\r\ntransfer-encoding:\r\n\tchunked\r\n\r\n0\r\n\r\n"), uint8(7))
	f.Add([]byte(" 200 OK\nTransfer-Encoding: chunked\n\n0\r\n\r\n"), uint8(50))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		read := func(version string) (*http.Response, error) {
			whole := append([]byte(version), text...)
			return http.ReadResponse(bufio.NewReader(bytes.NewReader(whole)), nil)
		}
		chunked, err := read("HTTP/1.1") //nolint:bodyclose
		if err != nil || len(chunked.TransferEncoding) == 0 {
			return
		}
		if _, err := read("HTTP/1.0"); err != nil { //nolint:bodyclose
			return
		}
		legacy := append([]byte("HTTP/1.0"), text...)
		parts := iotest.OneByteReader(bytes.NewReader(legacy))
		if _, err := httpresponse.Read(bufio.NewReaderSize(parts, len(legacy)), nil); err == nil { //nolint:bodyclose
			t.Errorf("%q is passed on", legacy)
		}
		if chunked.StatusCode < http.StatusOK {
			return // the recorder skips interim responses
		}
		var recorder httpresponse.HeadRecorder
		for part := range slices.Chunk(legacy, int(step)+1) {
			recorder.Write(part)
		}
		if recorder.Check() == nil {
			t.Errorf("%q in parts of %d bytes is passed on", legacy, int(step)+1)
		}
	})
}
