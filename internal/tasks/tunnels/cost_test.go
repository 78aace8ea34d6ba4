package tunnels_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
)

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTunnel measures the processor time of one request and its answer over a new
// connection, direct and through a tunnel. Caller, upstream, and with a tunnel the helper,
// share the process, so that the difference is the cost of the tunnel at both hosts.
func BenchmarkTunnel(b *testing.B) {
	h := startHelper(tunnels.ServerConfig{})
	defer h.stop()
	go func() {
		for range h.gate.observed {
		}
	}()
	go func() {
		for range h.gate.dialed {
		}
	}()
	listener := listen()
	defer func() { _ = listener.Close() }()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Path[1:])
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(listener) }()
	h.gate.listed["u"] = listener.Addr().String()
	client, group := startClient(h.address)
	defer group.Stop()
	connections := []struct {
		name string
		open func() (net.Conn, error)
	}{
		{"direct", func() (net.Conn, error) { return dial(b.Context(), listener.Addr().String()) }},
		{"tunnel", func() (net.Conn, error) { return client.Dial(b.Context(), target) }},
	}
	for _, size := range []int{400, 1 << 20} {
		for _, connection := range connections {
			b.Run(fmt.Sprintf("%s/%dB", connection.name, size), func(b *testing.B) {
				before := cpuTime(b)
				for b.Loop() {
					conn, err := connection.open()
					if err != nil {
						b.Fatal(err)
					}
					if _, err = fmt.Fprintf(conn, "GET /%d HTTP/1.0\r\n\r\n", size); err != nil {
						b.Fatal(err)
					}
					if n, err := io.Copy(io.Discard, conn); err != nil || n < int64(size) {
						b.Fatal(n, err)
					}
					_ = conn.Close()
				}
				b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
