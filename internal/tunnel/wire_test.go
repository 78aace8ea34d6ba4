package tunnel_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

var request = tunnel.Request{Upstream: "u-1", StartMillis: 1_790_000_000_123, Service: "chat"}

func encoded(r tunnel.Request) []byte {
	var b bytes.Buffer
	if err := tunnel.WriteRequest(&b, r); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Guards against messages that are read differently than they were sent, and against
// bytes of the upstream that are read as part of an answer.
func TestMessagesAreReadAsSent(t *testing.T) {
	Convey("Given messages that arrive byte by byte, with further bytes behind them", t, func() {
		sent := encoded(request)
		So(sent[0], ShouldEqual, tunnel.FirstByte)
		behind := strings.NewReader(string(sent[1:]) + "GET")
		got, err := tunnel.ReadRequest(iotest.OneByteReader(behind))
		So(err, ShouldBeNil)
		So(got, ShouldResemble, request)
		So(behind.Len(), ShouldEqual, 3)

		for status := tunnel.Opened; status <= tunnel.Unreachable; status++ {
			answer := tunnel.Answer{Status: status, Wait: 1500 * time.Millisecond, Reason: strings.Repeat("r", 300)}
			var b bytes.Buffer
			So(tunnel.WriteAnswer(&b, answer), ShouldBeNil)
			b.WriteString("HTTP")
			got, err := tunnel.ReadAnswer(iotest.OneByteReader(&b))
			So(err, ShouldBeNil)
			answer.Reason = answer.Reason[:255]
			So(got, ShouldResemble, answer)
			So(b.String(), ShouldEqual, "HTTP")
		}
	})
	Convey("A request that does not fit is not sent", t, func() {
		So(tunnel.WriteRequest(io.Discard, tunnel.Request{Upstream: core.UpstreamID(strings.Repeat("u", 2000)), Service: "s"}), ShouldNotBeNil)
	})
}

// Guards against connections of net/rpc that are taken for tunnels, and against hosts that
// know no tunnels and leave the requester waiting.
func TestTunnelsAndCallsAreToldApart(t *testing.T) {
	Convey("A gob stream never begins with the first byte of a tunnel", t, func() {
		for _, size := range []int{0, 1, 100, 127, 128, 1 << 10, 1 << 20} {
			var b bytes.Buffer
			So(gob.NewEncoder(&b).Encode(make([]byte, size)), ShouldBeNil)
			So(b.Bytes()[0], ShouldNotEqual, tunnel.FirstByte)
			b.Reset()
			So(gob.NewEncoder(&b).Encode(&rpc.Request{ServiceMethod: strings.Repeat("m", size)}), ShouldBeNil)
			So(b.Bytes()[0], ShouldNotEqual, tunnel.FirstByte)
		}
	})
	Convey("A server of net/rpc closes a tunnel's connection", t, func() {
		requester, server := net.Pipe()
		go rpc.NewServer().ServeConn(server)
		go func() { _, _ = requester.Write(encoded(request)) }()
		_, err := tunnel.ReadAnswer(requester)
		So(errors.Is(err, io.EOF), ShouldBeTrue)
	})
}

// FuzzReadRequest guards against openings that make a helper panic, allocate more than the
// bound, or accept what names no upstream.
func FuzzReadRequest(f *testing.F) {
	f.Add(encoded(request)[1:])
	f.Add([]byte("ptun\x01\xff\xff"))
	f.Add([]byte("ptun\x02\x00\x02{}"))
	f.Add([]byte(`ptun` + "\x01\x00\x13" + `{"upstream":"a"}   `))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		got, err := tunnel.ReadRequest(r)
		if consumed := len(input) - r.Len(); consumed > 7+tunnel.MaxRequestBytes {
			t.Fatalf("%d bytes were read", consumed)
		}
		if err != nil {
			if !errors.Is(err, tunnel.ErrMalformed) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		if got.Upstream == "" || got.Service == "" || got.StartMillis < 0 {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// FuzzReadAnswer guards against answers that make a requester panic or take another
// status for one of its own.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0})
	f.Add([]byte{4, 0, 0, 5, 220, 4, 'w', 'a', 'i', 't'})
	f.Add([]byte{0, 0, 0, 0, 0, 0})
	f.Add([]byte("HTTP/1.1 200 OK\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		got, err := tunnel.ReadAnswer(bytes.NewReader(input))
		if err == nil && (got.Status < tunnel.Opened || got.Status > tunnel.Unreachable || got.Wait < 0) {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// Guards against a truncated answer that ends like a whole one.
func TestAResetIsSeenAfterTheBytesBeforeIt(t *testing.T) {
	Convey("Given a connection that is reset right after a write", t, func() {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(bytes.Repeat([]byte("x"), 1<<20))
			tunnel.Reset(context.Background(), conn)
		}()
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		got, err := io.ReadAll(conn)
		So(len(got), ShouldEqual, 1<<20)
		So(err, ShouldNotBeNil)
	})
}
