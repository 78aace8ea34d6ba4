package tunnels

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against heads that are missed, taken twice or taken from a body, whatever the
// parts in which an answer arrives, and against memory for heads without end.
func TestTheHeadOfTheFirstAnswerIsReadOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		field := "X: " + strings.Repeat("x", rapid.SampledFrom([]int{1, 100, 8 << 10, 17 << 10}).Draw(t, "field")) + "\r\n"
		interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", rapid.IntRange(0, 3).Draw(t, "interim"))
		start := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\n", "nothing known\r\n", "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/2.0 503 Odd\r\n", "HTTP/1.1 503 \x01 Odd\r\n"}).Draw(t, "start")
		head := interim + start + field + "\r\n"
		answer := head + "HTTP/1.1 404 Not Found\r\n\r\nbody"
		var statuses []int
		h := &headReader{
			decode: func(response *http.Response) gateway.AnswerHead {
				return gateway.AnswerHead{ID: "id", Status: response.StatusCode}
			},
			observe: func(head gateway.AnswerHead) { statuses = append(statuses, head.Status) },
		}
		for rest := []byte(answer); len(rest) > 0; {
			n := min(rapid.SampledFrom([]int{1, 2, 3, 50, 4000, 16 << 10}).Draw(t, "part"), len(rest))
			part := append([]byte(nil), rest[:n]...)
			h.read(part)
			clear(part) // the relay's buffer is used again
			rest = rest[n:]
			if len(h.partial) > 2*maxHeadBytes {
				t.Fatalf("%d bytes of a head are kept", len(h.partial))
			}
		}
		want := len(head) <= maxHeadBytes && strings.HasPrefix(start, "HTTP") && !strings.HasSuffix(start, "Odd\r\n")
		if want != (len(statuses) == 1) || len(statuses) > 1 {
			t.Fatalf("heads %v of %d bytes", statuses, len(head))
		}
		if want && (statuses[0] == 404 || !h.done) {
			t.Fatalf("heads %v", statuses)
		}
	})
}

// Guards against notices that the helper misses because the upstream was asked for its
// report first, over the same connection.
func TestTheHeadAfterAReportIsRead(t *testing.T) {
	report := "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":5}"
	answer := "HTTP/1.1 503 Busy\r\nId: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for part := 1; part < len(report+answer); part++ {
		var heads []gateway.AnswerHead
		h := &headReader{
			decode: func(r *http.Response) gateway.AnswerHead {
				return gateway.AnswerHead{ID: r.Header.Get("Id"), Leaving: r.Header.Get("Server-Leaving") == "1"}
			},
			observe: func(head gateway.AnswerHead) { heads = append(heads, head) },
		}
		for rest := []byte(report + answer); len(rest) > 0; {
			n := min(part, len(rest))
			h.read(rest[:n])
			rest = rest[n:]
		}
		if len(heads) != 1 || !heads[0].Leaving {
			t.Fatalf("in parts of %d bytes: observed %v, want the notice of the second answer", part, heads)
		}
	}
}

// Guards against a head with an invalid field that tells the helper what the upstream wants,
// as the requester rejects the same answer.
func TestAHeadWithAnInvalidFieldIsNotRead(t *testing.T) {
	const notice = "HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\n"
	for line, valid := range map[string]bool{
		"X Trace: a": false, "X-Trace : a": false, "Content-Length : 4": false, "Transfer-Encoding : chunked": false, "X\x01Trace: a": false, "X-Trace: a": true,
	} {
		for _, answer := range []string{
			notice + line + "\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + notice + "\r\n",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}" + notice + "Id: 1\r\n\r\n",
		} {
			var observed int
			h := &headReader{
				decode: func(r *http.Response) gateway.AnswerHead {
					if r.ContentLength == 2 {
						return gateway.AnswerHead{} // a report
					}
					return gateway.AnswerHead{ID: "1"}
				},
				observe: func(gateway.AnswerHead) { observed++ },
			}
			h.read([]byte(answer))
			if (observed == 1) != valid {
				t.Errorf("%q: %d heads are observed", answer, observed)
			}
		}
	}
}

// Guards against a head of HTTP/1.0 with chunks that tells the helper what the upstream wants,
// and against valid ones that are missed.
func TestAHeadOfHTTP10InChunksIsNotRead(t *testing.T) {
	const start = "HTTP/1.0 503 Busy\r\nServer-Leaving: 1\r\n"
	long := "X-Trace: " + strings.Repeat("x", 8<<10) + "\r\n"
	for answer, want := range map[string]int{
		start + "Transfer-Encoding: chunked\r\n\r\n": 0, start + long + "Transfer-Encoding: chunked\r\n\r\n": 0,
		start + "\r\n": 1, start + long + "\r\n": 1,
	} {
		observed := 0
		h := &headReader{
			decode:  func(*http.Response) gateway.AnswerHead { return gateway.AnswerHead{ID: "1"} },
			observe: func(gateway.AnswerHead) { observed++ },
		}
		h.read([]byte(answer))
		if observed != want {
			t.Errorf("%.80q of %d bytes: %d heads are observed, want %d", answer, len(answer), observed, want)
		}
	}
}

// Guards against an answer that names several requests and tells the helper what the upstream
// wants, as the requester rejects the same answer.
func TestAHeadThatNamesSeveralRequestsIsNotRead(t *testing.T) {
	h := &headReader{
		decode:  func(*http.Response) gateway.AnswerHead { return gateway.AnswerHead{ID: "1", Ambiguous: true} },
		observe: func(gateway.AnswerHead) { t.Error("the head is observed") },
	}
	h.read([]byte("HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\n\r\n"))
	if !h.done {
		t.Error("the next head would be read")
	}
}
