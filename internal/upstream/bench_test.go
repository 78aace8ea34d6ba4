package upstream_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// BenchmarkStream measures one event over a loopback connection, including the
// work of the server. The server flushes each event, as engines do.
func BenchmarkStream(b *testing.B) {
	id := core.KeyedRequestID("team", "key")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		for position := 1; ; position++ {
			_, err := fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"model\":\"m\","+
				"\"attempt\":1,\"choices\":[{\"index\":0,\"delta\":{\"content\":\" card\"},\"finish_reason\":null}]}\n\n", position, id)
			if err != nil || control.Flush() != nil {
				return
			}
		}
	}))
	defer server.Close()
	target := core.Target{Address: strings.TrimPrefix(server.URL, "http://")}
	results := upstream.NewClient().Stream(b.Context(), completion(target, 5))
	b.ReportAllocs()
	for b.Loop() {
		if result := <-results; result.Err != nil {
			b.Fatal(result.Err)
		}
	}
	b.StopTimer()
	server.CloseClientConnections()
}
