package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// lackingListener accepts nothing, for lack of a file descriptor, while lacking is not
// closed, after its first connections.
type lackingListener struct {
	*net.TCPListener
	first   int
	lacking chan struct{}
}

func (l *lackingListener) Accept() (net.Conn, error) {
	if l.first > 0 {
		l.first--
		return l.TCPListener.Accept()
	}
	select {
	case <-l.lacking:
		return l.TCPListener.Accept()
	default:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
}

// Guards against a host without a free file descriptor that keeps idle connections until
// their limit, while new callers wait and get neither an answer nor a refusal.
func TestAnIdleConnectionMakesRoomWhereDescriptorsLack(t *testing.T) {
	Convey("Given an idle connection, and no descriptor for another", t, func() {
		listener := &lackingListener{listen().(*net.TCPListener), 1, make(chan struct{})}
		l := &limitedServer{listener: listener}
		server := NewServer(Config{
			Listener: listener, Codec: plainCodec{}, Limits: limits{IdleTimeout: time.Hour}, Log: zap.NewNop(), MaxConnections: limitedConnections,
			Now: func() time.Time { return time.Now().Add(time.Duration(l.moved.Load())) },
			Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
				return answer.Send(http.StatusOK, nil, []byte(request.Target))
			}),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			server.Run(ctx)
			close(done)
		}()
		Reset(func() {
			cancel()
			<-done
		})
		idle := l.dial()
		_, err := ask(idle, plainRequest)
		So(err, ShouldBeNil)
		l.moved.Add(int64(time.Second))
		_, err = idle.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		close(listener.lacking)
		got, err := ask(l.dial(), plainRequest)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, reply{http.StatusOK, false, "/x"})
	})
}
