package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/platform"
)

type connectionKey struct{}

// Guards against calls to the platform that fail one after the other, each over another
// connection that has gone silent while new ones work.
func TestACallAfterOneWithoutAnAnswerUsesANewConnection(t *testing.T) {
	Convey("Given four idle connections to the platform, which go silent", t, func() {
		const idle = 4
		var opened, silent atomic.Int64
		var together sync.WaitGroup
		together.Add(idle)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Context().Value(connectionKey{}).(int64) <= silent.Load() {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Get("prefix") == "together" {
				together.Done()
				together.Wait() // so that each call has a connection of its own
			}
			_, _ = w.Write([]byte(`{}`))
		}))
		server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, opened.Add(1))
		}
		server.Start()
		Reset(server.Close)
		client := platform.NewClient(server.URL, platform.WithTimeout(20*time.Second))
		var calls sync.WaitGroup
		for range idle {
			calls.Go(func() { _, _ = client.List(context.Background(), "together") })
		}
		calls.Wait()
		silent.Store(opened.Load())
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := client.List(ctx, "alone")
		So(err, ShouldNotBeNil)
		_, err = client.List(context.Background(), "alone")
		So(err, ShouldBeNil)
		So(opened.Load(), ShouldEqual, silent.Load()+1)
	})
}
