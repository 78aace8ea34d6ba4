package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/platform"
)

// If the platform gives no complete answer, the outcome of a commit is unknown and
// must be reported as ErrUnavailable; a refusal with status 400 must not.
func TestClientFailures(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}
	}
	// The server detects a closed connection only after it has read the body.
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	raw := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			connection, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(connection, text)
			_ = connection.Close()
		}
	}
	cases := []struct {
		name        string
		answer      http.HandlerFunc
		unavailable bool
	}{
		{"503", status(http.StatusServiceUnavailable, ""), true},
		{"500", status(http.StatusInternalServerError, ""), true},
		{"429", status(http.StatusTooManyRequests, ""), true},
		{"400", status(http.StatusBadRequest, "bad"), false},
		{"truncated JSON", status(http.StatusOK, `{"revision":`), true},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"no answer", silent, true},
		{"invalid field", raw("HTTP/1.1 200 OK\r\nX Trace: a\r\nContent-Length: 15\r\n\r\n{\"revision\": 1}"), true},
		{"invalid field in an interim answer", raw("HTTP/1.1 103 Early Hints\r\nX-Trace : a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"revision\": 1}"), true},
		{"invalid field after the body", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n{\"revision\": 1}\r\n0\r\nX Trace: a\r\n\r\n"), true},
	}
	Convey("Only a complete answer is a known outcome", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				server := httptest.NewServer(c.answer)
				defer server.Close()
				timeout := time.Minute
				if c.name == "no answer" {
					timeout = 100 * time.Millisecond
				}
				client := platform.NewClient(server.URL, platform.WithTimeout(timeout))
				_, err := client.Commit(t.Context(), platform.Commit{Token: "t"})
				So(err, ShouldNotBeNil)
				So(errors.Is(err, platform.ErrUnavailable), ShouldEqual, c.unavailable)
			})
		}
	})
}

// rateLimitedTable rejects the first commit because of its rate limit.
type rateLimitedTable struct {
	platform.Table
	commits int
}

func (l *rateLimitedTable) Commit(context.Context, platform.Commit) (platform.Revision, error) {
	l.commits++
	if l.commits == 1 {
		return 0, &platform.RateLimitError{RetryAfter: 5 * time.Second}
	}
	return 7, nil
}

// A retry must not come before the delay that the platform requests.
func TestCommitUntilKnownHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A rate-limited commit is retried after the requested delay", t, func() {
			start, table := time.Now(), &rateLimitedTable{}
			revision, err := platform.CommitUntilKnown(t.Context(), table, platform.Commit{Token: "t"})
			So(err, ShouldBeNil)
			So(revision, ShouldEqual, 7)
			So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 5*time.Second)
		})
	})
}
