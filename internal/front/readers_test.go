package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
)

// pipeServer serves one caller's connection, without a network, until the test ends.
func pipeServer(t *testing.T, handler handlerFunc) (*Server, net.Conn) {
	server := NewServer(Config{Codec: plainCodec{}, Limits: limits{}, Log: zap.NewNop(), Now: time.Now, Handler: handler, MaxConnections: 10})
	own, served := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-server.inbox.Messages():
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		newConnection(server, served).run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		_ = own.Close()
		cancel()
		<-ended
	})
	return server, own
}

const slowRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against an answer that is cut although its caller reads steadily: each write had to
// end within 10 s, whatever its length. The caller takes 256 KiB in 85 s.
func TestACallerThatReadsSlowlyButSteadilyGetsItsWholeAnswer(t *testing.T) {
	for name, handler := range map[string]handlerFunc{
		"a whole answer": func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			return answer.Send(http.StatusOK, nil, make([]byte, 256<<10))
		},
		"a stream": func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			err := answer.Begin(http.StatusOK, nil)
			for i := 0; i < 64 && err == nil; i++ {
				err = answer.Write(make([]byte, 4<<10))
			}
			if err != nil {
				return err
			}
			return answer.End()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, own := pipeServer(t, handler)
				_, _ = io.WriteString(own, slowRequest)
				response, err := http.ReadResponse(bufio.NewReaderSize(slowly{own, 4 << 10, 4 * time.Second / 3}, 16), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				if body, err := io.ReadAll(response.Body); err != nil || len(body) != 256<<10 {
					t.Errorf("the caller got %d bytes, %v", len(body), err)
				}
			})
		})
	}
}

// slowly reads at most step bytes after each pause.
type slowly struct {
	net.Conn
	step  int
	pause time.Duration
}

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Conn.Read(p[:min(len(p), s.step)])
}

// Guards against a caller that holds more than its bound of a stream that it does not read,
// against a stream that is not read on while there is room for it, and against a caller that
// holds its bytes without end.
func TestACallerThatDoesNotReadHoldsABoundedPartForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const part = 4 << 10
		start := time.Now()
		accepted, ended := 0, make(chan time.Duration, 1)
		server, own := pipeServer(t, func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			err := answer.Begin(http.StatusOK, nil)
			for ; err == nil; err = answer.Write(make([]byte, part)) {
				accepted++
			}
			ended <- time.Since(start)
			return gateway.Refuse(gateway.CallerGone, 0, "the caller is gone")
		})
		_, _ = io.WriteString(own, slowRequest)
		synctest.Wait()
		callers, waiting, _ := server.Readers()
		if callers != 1 || waiting > readers.MaxWaiting || waiting < readers.MaxWaiting-2*part {
			t.Errorf("%d callers hold %d bytes", callers, waiting)
		}
		if after := <-ended; after != readers.MaxGap {
			t.Errorf("the stream ended after %s", after)
		}
		synctest.Wait()
		if callers, waiting, cut := server.Readers(); callers != 0 || waiting != 0 || cut != 1 {
			t.Errorf("%d callers hold %d bytes at the end, %d answers were cut", callers, waiting, cut)
		}
		if accepted > readers.MaxWaiting/part+2 {
			t.Errorf("%d parts were accepted", accepted)
		}
	})
}

// Guards against callers that are served late, or refused, because hundreds of others do not
// read, and against memory that these hold beyond the host's bound: on a host of 112 MB their
// part is 11.2 MB. The slow callers read only once all others are answered.
func TestHundredsOfSlowReadersCostOthersNothing(t *testing.T) {
	const slow, fast, part, parts, capacity = 300, 300, 4 << 10, 150, 112 << 20 / 10
	Convey("Given 300 callers that do not read, of answers of 600 KiB", t, func() {
		listener := listen()
		answers, later := buffers.New(capacity), time.Now().Add(time.Hour)
		server := NewServer(Config{
			Listener: listener, Codec: plainCodec{}, Limits: limits{}, Log: zap.NewNop(), MaxConnections: slow + fast, Answers: answers,
			// No caller is ended for the time that a busy machine takes.
			Now: func() time.Time { return later },
			Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
				if request.Target == "/fast" {
					return answer.Send(http.StatusOK, nil, []byte("fast"))
				}
				err := answer.Begin(http.StatusOK, nil)
				for i := 0; i < parts && err == nil; i++ {
					err = answer.Write([]byte(strings.Repeat("s", part)))
				}
				if err != nil {
					return err
				}
				return answer.End()
			}),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, 2)
		for _, run := range []func(context.Context){answers.Run, server.Run} {
			go func() {
				run(ctx)
				ended <- struct{}{}
			}()
		}
		Reset(func() {
			cancel()
			<-ended
			<-ended
		})
		dial := func() net.Conn {
			connection, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			return connection
		}
		var held []net.Conn
		for range slow {
			connection := dial()
			So(connection.(*net.TCPConn).SetReadBuffer(4<<10), ShouldBeNil)
			_, err := io.WriteString(connection, "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			So(err, ShouldBeNil)
			held = append(held, connection)
		}
		var most int64
		for range fast {
			answered, err := ask(dial(), "GET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			So(err, ShouldBeNil)
			So(answered.body, ShouldEqual, "fast")
			_, waiting, _ := server.Readers()
			most = max(most, waiting)
		}
		// Each caller has one part, or what is not asked for, beside what was asked for.
		So(most, ShouldBeLessThanOrEqualTo, capacity+slow*(buffers.Free+part))
		bodies := make(chan string, slow)
		for _, connection := range held {
			go func() {
				_ = connection.(*net.TCPConn).SetReadBuffer(1 << 20)
				got, err := readReply(bufio.NewReader(connection))
				bodies <- fmt.Sprint(len(got.body), " ", err)
				_ = connection.Close()
			}()
		}
		for range slow {
			So(<-bodies, ShouldEqual, fmt.Sprint(part*parts, " ", nil))
		}
	})
}

// Guards against a body that is not asked for, as the deadline of an earlier answer's write
// has passed: the connection was closed.
func TestABodyIsAskedForLongAfterAnEarlierAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, own := pipeServer(t, func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			return answer.Send(http.StatusOK, nil, request.Body)
		})
		reader := bufio.NewReader(own)
		_, _ = io.WriteString(own, slowRequest)
		if got, err := readReply(reader); err != nil || got.status != http.StatusOK {
			t.Fatal(got, err)
		}
		time.Sleep(readers.MaxGap + time.Second)
		_, _ = io.WriteString(own, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		if got, err := reader.ReadString('\n'); got != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
		_, _ = reader.Discard(len("\r\n"))
		_, _ = io.WriteString(own, "body")
		if got, err := readReply(reader); err != nil || got.body != "body" {
			t.Error(got, err)
		}
	})
}
