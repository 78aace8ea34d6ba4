package connpool

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// repeatingSocket is a connection on which the same answer arrives again and again.
type repeatingSocket struct {
	net.Conn
	text []byte
}

func (s *repeatingSocket) Read(p []byte) (int, error) { return copy(p, s.text), nil }

// BenchmarkReadAnswer measures the reading of one answer with the fields that servers send.
func BenchmarkReadAnswer(b *testing.B) {
	const fields = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nId: 1\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Server-Load: 3,0,8,100\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\nWeight-Versions: 1\r\n"
	for name, text := range map[string]string{
		"length": fields + "Content-Length: 4\r\n\r\nbody",
		"chunks": fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			connection := newConnection(&Pool{}, "u", &repeatingSocket{text: []byte(text)}, decodeHead)
			exchange := &Exchange{ID: "1", Method: http.MethodPost, Events: make(chan Event, 8), Context: context.Background()}
			b.ReportAllocs()
			for b.Loop() {
				if end, _ := connection.readAnswer(exchange); end.Err != nil {
					b.Fatal(end.Err)
				}
				for len(exchange.Events) > 0 {
					<-exchange.Events
				}
			}
		})
	}
}
