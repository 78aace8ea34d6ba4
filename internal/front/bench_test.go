package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// BenchmarkRequestOnAKeptConnection measures what a request costs between the caller's
// socket and the handler. cpu-ns/op is the process's processor time, the caller's included.
func BenchmarkRequestOnAKeptConnection(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	config := benchmarkConfig(listener)
	config.Endings = endings.New()
	go config.Endings.Run(ctx)
	server := NewServer(config)
	go server.Run(ctx)
	connection, err := net.Dial("tcp", listener.Addr().String()) //nolint:noctx // loopback
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	request := []byte("POST /x HTTP/1.1\r\nHost: h\r\nId: id-1\r\nContent-Length: 3\r\n\r\nabc")
	before := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err = connection.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err = readReply(reader); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func benchmarkConfig(listener net.Listener) Config {
	return Config{
		Listener: listener, Codec: plainCodec{}, Limits: limits{}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100,
		Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			return answer.Send(http.StatusOK, nil, request.Body)
		}),
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
