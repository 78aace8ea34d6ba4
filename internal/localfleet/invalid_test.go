package localfleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// earlyAnswers stand before the upstreams of a fleet. They answer payouts before they have
// read them, and pass on all other requests.
type earlyAnswers struct {
	mutex  sync.Mutex
	answer earlyAnswer
	// listeners has the address that stands for each upstream's.
	listeners map[string]net.Listener
}

type earlyAnswer struct {
	text string
	// end ends a connection after text; the socket is closed then.
	end func(socket *net.TCPConn)
}

func (e *earlyAnswers) set(answer earlyAnswer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.answer = answer
}

func (e *earlyAnswers) current() earlyAnswer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.answer
}

// dial implements upstream.DialFunc.
func (e *earlyAnswers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	e.mutex.Lock()
	listener, found := e.listeners[address]
	if !found {
		var err error
		if listener, err = net.Listen(network, "127.0.0.1:0"); err != nil {
			e.mutex.Unlock()
			return nil, err
		}
		e.listeners[address] = listener
		go e.accept(listener, address)
	}
	e.mutex.Unlock()
	return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
}

func (e *earlyAnswers) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, listener := range e.listeners {
		_ = listener.Close()
	}
}

func (e *earlyAnswers) accept(listener net.Listener, address string) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serve(socket.(*net.TCPConn), address)
	}
}

func (e *earlyAnswers) serve(socket *net.TCPConn, address string) {
	defer func() { _ = socket.Close() }()
	_ = socket.SetReadBuffer(4 << 10)
	request, err := http.ReadRequest(bufio.NewReaderSize(socket, 512))
	if err != nil {
		return
	}
	if strings.HasSuffix(request.URL.Path, "/payouts") {
		answer := e.current()
		_, _ = io.WriteString(socket, answer.text)
		answer.end(socket)
		return
	}
	next, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = next.Close() }()
	request.Close = true
	if request.Write(next) == nil {
		_, _ = io.Copy(socket, next)
	}
}

// Guards against a part of a service's answer, or one with an invalid head, that a caller
// gets as a whole answer, from this host's own connections and through another host.
func TestNoInvalidOrCutServiceAnswerReachesACaller(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
		framed   = "HTTP/1.1 %s Nothing\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
	)
	reset := func(s *net.TCPConn) { _ = s.SetLinger(0) }
	endAndReset := func(s *net.TCPConn) { _, _ = s.CloseWrite(), s.SetLinger(0) }
	endInOrder := func(s *net.TCPConn) {
		_ = s.CloseWrite()
		_, _ = io.Copy(io.Discard, s)
	}
	for _, tunnelled := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a fleet whose ledger answers early (through another host: %t)", tunnelled), t, func() {
			early := &earlyAnswers{listeners: make(map[string]net.Listener)}
			Reset(early.close)
			f := start(2, 1, func(config *localfleet.Config) {
				config.DialUpstream = func(host core.HostID) upstream.DialFunc {
					if tunnelled && host == "zone-a-1" {
						return func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
					}
					return early.dial
				}
			})
			address := f.addresses(0)[0]
			for _, c := range []earlyAnswer{
				{unframed, reset}, {unframed, endAndReset},
				{fmt.Sprintf(framed, "000"), endInOrder}, {fmt.Sprintf(framed, "600"), endInOrder}, {fmt.Sprintf(framed, "+20"), endInOrder},
				{strings.Replace(unframed, "200", "000", 1), endInOrder},
				{"HTTP/1.1 200 OK\r\nX Trace: a\r\nContent-Length: 4\r\n\r\nbody", endInOrder},
				{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more", endInOrder},
				{"HTTP/1.1 103 Early Hints\r\nX-Trace : a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", endInOrder},
				{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Trace: a\r\n\r\n", endInOrder},
				{"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", endInOrder},
				{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", endInOrder},
			} {
				for _, chunked := range []bool{false, true} {
					early.set(c)
					status, err := f.uploadPayout(address, chunked)
					So(fmt.Sprintf("%q: %d %v", c.text, status, err), ShouldEqual, fmt.Sprintf("%q: %d %v", c.text, http.StatusBadGateway, nil))
				}
			}
		})
	}
}

// uploadPayout sends a long payout, in chunks or with its length, and returns the status of
// the answer. It repeats requests that did not run, as while the host starts.
func (f *testFleet) uploadPayout(address string, chunked bool) (int, error) {
	for {
		var body io.Reader = strings.NewReader(strings.Repeat(" ", 60_000) + "{}")
		if chunked {
			body = io.MultiReader(body)
		}
		request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address+"/services/ledger/payouts", body)
		if err != nil {
			return 0, err
		}
		request.Header.Set("Authorization", "Bearer "+callerKey)
		request.Header.Set("Idempotency-Key", newKey())
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		if err != nil {
			return 0, err
		}
		read, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if !strings.Contains(string(read), `"not_run"`) {
			return response.StatusCode, err
		}
	}
}
