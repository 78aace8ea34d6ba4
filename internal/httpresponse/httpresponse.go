// Package httpresponse checks HTTP responses for what net/http's parser lets pass: names of
// fields with a blank, which hide a body's length or chunks from the parser, other versions
// than HTTP/1, control characters in the status line, and chunks in HTTP/1.0.
package httpresponse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxInterimBytes bounds the interim responses before a response, of which net/http
	// bounds neither the number nor the sum if a function examines them.
	maxInterimBytes = 16 << 10
	// fieldOverhead is the length of a field without its name and its value, and headOverhead
	// that of a head without its reason and its fields.
	fieldOverhead = len(": \r\n")
	headOverhead  = len("HTTP/1.1 103 \r\n\r\n")
)

// ErrMalformed means that a response is not valid in HTTP/1.1 (RFC 9112). Its connection
// must not be used further.
var ErrMalformed = errors.New("the HTTP response is malformed")

// Read reads the head of a response to request, which nil means is a GET, and checks it.
// Interim responses are returned like others. Reading the body to its end also checks the
// trailer. The head of an HTTP/1.0 response must fit into the reader's buffer. Errors are
// those of http.ReadResponse, or wrap ErrMalformed.
func Read(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	if IsHTTP10(reader) {
		if err := peekHTTP10(reader); err != nil {
			return nil, err
		}
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		return nil, err // the body needs no close: no connection is bound to it
	}
	return response, nil
}

// Check returns an error that wraps ErrMalformed unless the head of a response is valid. The
// body of a valid one then fails with such an error, in place of io.EOF, if an invalid
// trailer follows it.
func Check(response *http.Response) error {
	if err := checkStatusLine(response); err != nil {
		return err
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	// Before the body is read, the trailer holds the names that the head announces.
	if err := checkNames(response.Trailer); err != nil {
		return err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{response.Body, response}
	}
	return nil
}

// InterimCheck returns a function for httptrace.ClientTrace.Got1xxResponse of one request.
// It returns an error that wraps ErrMalformed unless the fields of each interim response are
// valid, and all of the interim responses together have at most 16 KiB.
func InterimCheck() func(status int, header textproto.MIMEHeader) error {
	received := 0
	return func(_ int, header textproto.MIMEHeader) error {
		received += headOverhead
		for name, values := range header {
			for _, value := range values {
				received += len(name) + len(value) + fieldOverhead
			}
		}
		if received > maxInterimBytes {
			return fmt.Errorf("%w: the interim responses exceed %d bytes", ErrMalformed, maxInterimBytes)
		}
		return checkNames(header)
	}
}

// checkStatusLine accepts later minor versions of HTTP/1, which mean the same for a recipient
// that knows HTTP/1.1.
func checkStatusLine(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: its version is %q", ErrMalformed, response.Proto)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("%w: the status line %q has a control character", ErrMalformed, response.Status)
	}
	return nil
}

func checkNames[Header ~map[string][]string](header Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field has the invalid name %q", ErrMalformed, name)
		}
	}
	return nil
}

// chunkedBody is a body in chunks, which a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// Transport is an http.RoundTripper that checks the responses of another. A request whose
// response is malformed fails.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: InterimCheck()}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the other transport; http.Client has a
// method of that name, which calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
