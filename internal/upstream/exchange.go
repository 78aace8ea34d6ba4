package upstream

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/httpresponse"
)

// exchange is what is observed of one request over a transport, whose goroutines call the
// functions of its trace.
type exchange struct {
	connected  atomic.Bool
	connection atomic.Pointer[socket]
	// head is nil before the first byte of the response, and complete before the transport
	// returns the response.
	head atomic.Pointer[httpresponse.HeadRecorder]
}

// trace returns the functions that observe the exchange and check its interim responses.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connected.Store(true)
			if connection, ok := info.Conn.(*socket); ok {
				e.connection.Store(connection)
			}
		},
		// The goroutine that reads the connection calls it, right after the read that
		// returned the first bytes of the response.
		GotFirstResponseByte: func() {
			if connection := e.connection.Load(); connection != nil {
				// The transport may repeat a request while an earlier connection still reads.
				head := new(httpresponse.HeadRecorder)
				e.head.Store(head)
				connection.record(head)
			}
		},
		Got1xxResponse: httpresponse.InterimCheck(),
	}
}

// check checks the head of the response that the transport has returned.
func (e *exchange) check(response *http.Response) error {
	if err := httpresponse.Check(response); err != nil {
		return err
	}
	if head := e.head.Load(); head != nil {
		return head.Check()
	}
	return nil
}
