package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// BenchmarkCall measures a call to a service over a new connection, without a network.
func BenchmarkCall(b *testing.B) {
	client := cutClient("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", io.EOF)
	call := cutCall(http.MethodPost)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Call(context.Background(), call); err != nil {
			b.Fatal(err)
		}
	}
}
