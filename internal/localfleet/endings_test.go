package localfleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/localfleet"
)

// totals returns a host's account, and checks that nothing in it is missing or counted
// twice.
func (f *testFleet) totals(host *localfleet.RunningHost) endings.Totals {
	totals, err := host.Endings(f.ctx)
	So(err, ShouldBeNil)
	checkTotals(totals)
	return totals
}

func checkTotals(totals endings.Totals) {
	var ended, closed int64
	for _, count := range totals.Ends {
		ended += count
	}
	for _, count := range totals.Closes {
		closed += count
	}
	So(totals.RequestsBegun, ShouldEqual, ended+totals.RequestsInFlight)
	So(totals.ConnectionsAccepted, ShouldEqual, closed+totals.ConnectionsOpen)
	So(totals.Unmatched, ShouldEqual, 0)
}

// completionRequest is a completion over a connection of its own.
func completionRequest(key string, tokens int, stream bool) string {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"What?"}]}`, model, stream, tokens)
	return httpRequest(http.MethodPost, "/v1/chat/completions", key, body)
}

func httpRequest(method, path, key, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		method, path, callerKey, key, len(body), body)
}

// send sends a request on a new connection.
func send(host *localfleet.RunningHost, request string) net.Conn {
	connection, err := net.Dial("tcp", host.CallerAddress())
	So(err, ShouldBeNil)
	Reset(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, request)
	So(err, ShouldBeNil)
	return connection
}

// readStatus sends a request on a new connection, reads to its end and returns the status.
func readStatus(host *localfleet.RunningHost, request string) string {
	read, _ := io.ReadAll(send(host, request))
	status, _, _ := strings.Cut(strings.TrimPrefix(string(read), "HTTP/1.1 "), " ")
	return status
}

func answeredEnd() gateway.Ending { return gateway.Ending{End: gateway.EndAnswered} }

// Guards against requests of a host's own interface that end without a report, with two or
// with a wrong one, and against connections that are not accounted for.
func TestAHostAccountsForEachRequestAndConnection(t *testing.T) {
	for _, c := range []struct {
		name, request, status string
		ending                gateway.Ending
		closed                gateway.CloseCause
	}{
		{"a streamed completion", completionRequest(newKey(), 5, true), "200", answeredEnd(), gateway.CloseCaller},
		{"a whole completion", completionRequest(newKey(), 5, false), "200", answeredEnd(), gateway.CloseCaller},
		{"a call to a service", httpRequest(http.MethodPost, "/services/ledger/payouts", newKey(), "{}"), "200", answeredEnd(), gateway.CloseCaller},
		{"a list of models", httpRequest(http.MethodGet, "/v1/models", "", ""), "200", answeredEnd(), gateway.CloseCaller},
		{"an unknown path", httpRequest(http.MethodGet, "/v2", "", ""), "400", gateway.Ending{End: gateway.EndRefused, Cause: "invalid_request"}, gateway.CloseCaller},
		{"an unknown method", httpRequest(http.MethodPut, "/v1/models", "", ""), "400", gateway.Ending{End: gateway.EndRefused, Cause: "invalid_request"}, gateway.CloseCaller},
		{"an unknown service", httpRequest(http.MethodGet, "/services/none/x", newKey(), ""), "404", gateway.Ending{End: gateway.EndRefused, Cause: "service_not_found"}, gateway.CloseCaller},
		{"an unknown key", strings.Replace(completionRequest(newKey(), 5, true), callerKey, "other", 1), "401", gateway.Ending{End: gateway.EndRefused, Cause: "invalid_api_key"}, gateway.CloseCaller},
		{"a malformed head", "GET\r\n\r\n", "400", gateway.Ending{}, gateway.CloseUnreadable},
	} {
		Convey("Given a host that gets "+c.name, t, func() {
			f := start(1, 1)
			host := f.running()[0]
			So(readStatus(host, c.request), ShouldEqual, c.status)
			f.awaitClose(host)
			totals := f.totals(host)
			if c.ending.End == "" {
				So(totals.Ends, ShouldBeEmpty)
			} else {
				So(totals.Ends, ShouldResemble, map[gateway.Ending]int64{c.ending: 1})
			}
			So(totals.Closes, ShouldResemble, map[gateway.Closing]int64{{Cause: c.closed}: 1})
			So(f.metric(host, "peridotreel_requests_begun_total"), ShouldEqual, totals.RequestsBegun)
			So(f.metric(host, "peridotreel_connections_accepted_total"), ShouldEqual, 1)
			So(f.metric(host, "peridotreel_endings_unmatched_total"), ShouldEqual, 0)
		})
	}
}

// awaitClose waits until a connection has been closed and none is open. One that is not
// counted yet is not open either.
func (f *testFleet) awaitClose(host *localfleet.RunningHost) {
	f.waitUntil("the connection has ended", func() bool {
		totals := f.totals(host)
		return len(totals.Closes) > 0 && totals.ConnectionsOpen == 0
	})
}

// Guards against callers that leave, which are reported as lost, and streams that are cut,
// which are reported as answered.
func TestAHostTellsLostRequestsFromCallersThatLeave(t *testing.T) {
	only := func(f *testFleet, host *localfleet.RunningHost, end gateway.End, cause gateway.EndCause, closed gateway.CloseCause) {
		f.awaitClose(host)
		So(f.totals(host).Ends, ShouldResemble, map[gateway.Ending]int64{{End: end, Cause: cause}: 1})
		So(f.totals(host).Closes, ShouldResemble, map[gateway.Closing]int64{{Cause: closed}: 1})
	}
	Convey("Given a caller that leaves before its answer", t, func() {
		f := start(1, 1, withoutEnd)
		host, key := f.running()[0], newKey()
		connection := send(host, completionRequest(key, 5, true))
		f.waitUntil("the engine has the request", func() bool { return f.hasRun(key) })
		So(f.totals(host).RequestsInFlight, ShouldEqual, 1)
		_ = connection.Close()
		only(f, host, gateway.EndCallerGone, gateway.CauseCaller, gateway.CloseCaller)
	})
	Convey("Given a caller that leaves within its body", t, func() {
		f := start(1, 1)
		held := hold(f.running()[0], "/v1/chat/completions", newKey())
		_ = held.connection.Close()
		only(f, f.running()[0], gateway.EndUnread, gateway.CauseCaller, gateway.CloseCaller)
	})
	Convey("Given the only engine, which breaks an answer off", t, func() {
		written, lines := observer.New(zapcore.InfoLevel)
		f := start(1, 1, func(config *localfleet.Config) { config.Log = zap.New(written) })
		f.Engines[0].SetMisdelivery(3)
		So(readStatus(f.running()[0], completionRequest(newKey(), 20, true)), ShouldEqual, "200")
		only(f, f.running()[0], gateway.EndCut, gateway.CauseUpstream, gateway.CloseCut)
		found := lines.FilterField(zap.String("event", "request_done")).All()
		So(found, ShouldHaveLength, 1)
		So(found[0].LoggerName, ShouldEqual, "loss")
		fields := found[0].ContextMap()
		for name, value := range map[string]any{"end": "cut", "end_cause": "upstream", "team": teamName, "class": "chat"} {
			So(fields[name], ShouldEqual, value)
		}
		So(fields["request"], ShouldNotBeEmpty)
		So(fields["total_ms"], ShouldNotBeNil)
	})
	Convey("Given a stream that is not complete at its deadline", t, func() {
		f := start(1, 1, func(config *localfleet.Config) { config.Engines[0].Settings.StepTime = time.Second })
		connection := send(f.running()[0], completionRequest(newKey(), 64, true))
		read, _ := io.ReadAll(connection)
		So(string(read), ShouldContainSubstring, "deadline_exceeded")
		only(f, f.running()[0], gateway.EndCut, gateway.CauseDeadline, gateway.CloseCut)
	})
}

// Guards against a stop in which requests or connections go missing from the account, and
// against its absence from the log.
func TestAStoppingHostLogsTheAccount(t *testing.T) {
	Convey("Given a stopping host with an idle connection and streams that it cuts", t, func() {
		written, lines := observer.New(zapcore.InfoLevel)
		f := start(1, 1, func(config *localfleet.Config) {
			config.Log = zap.New(written)
			config.Engines[0].Settings.StepTime = 500 * time.Millisecond
		})
		host := f.running()[0]
		idle := send(host, strings.Replace(httpRequest(http.MethodGet, "/v1/models", "", ""), "Connection: close\r\n", "", 1))
		_, err := bufio.NewReader(idle).ReadString('\n')
		So(err, ShouldBeNil)
		stream := bufio.NewReader(send(host, completionRequest(newKey(), 64, true)))
		_, err = stream.ReadString('\n')
		So(err, ShouldBeNil)
		So(f.stopWithin(shortStop, host)(), ShouldNotBeNil)
		read, _ := io.ReadAll(stream)
		So(string(read), ShouldContainSubstring, "upstream_failed")
		found := lines.FilterField(zap.String("event", "endings")).All()
		So(found, ShouldHaveLength, 1)
		fields := found[0].ContextMap()
		So(fields["ends"], ShouldResemble, map[string]int64{"answered": 1, "cut/host_stopping": 1})
		So(fields["closes"], ShouldResemble, map[string]int64{"draining": 1, "cut": 1})
		for name, value := range map[string]int64{
			"requests_begun": 2, "requests_in_flight": 0, "connections_accepted": 2, "connections_open": 0, "unmatched": 0,
		} {
			So(fields[name], ShouldEqual, value)
		}
	})
}
