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
	// head is complete before the transport returns the response.
	head httpresponse.HeadRecorder
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
				e.head = httpresponse.HeadRecorder{} // the transport may have repeated the request
				connection.record(&e.head)
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
	return e.head.Check()
}
