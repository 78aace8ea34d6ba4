package explain

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lostLogs are the lines of three hosts: host-a stops and cuts a stream, host-b is killed
// and starts again, and host-c answers all.
const lostLogs = `
host-a {"time":"2026-01-01T00:00:00Z","event":"start","host":"host-a"}
host-b {"time":"2026-01-01T00:00:00Z","event":"start","host":"host-b"}
host-c {"time":"2026-01-01T00:00:00Z","event":"start","host":"host-c"}
host-a {"time":"2026-01-01T00:00:01Z","event":"store_lost","table":"balances"}
host-a {"time":"2026-01-01T00:00:03.5Z","event":"config_applied","config_version":7}
host-b {"time":"2026-01-01T00:00:04Z","event":"peer_lost","address":"host-a:1"}
host-a {"time":"2026-01-01T00:00:05Z","event":"stop","signal":"terminated"}
host-a {"time":"2026-01-01T00:00:06Z","logger":"loss","event":"request_done","request":"r1","route":"chat","outcome":"draining","end":"cut","end_cause":"host_stopping","total_ms":1500,"attempts":"u1 answered 200"}
host-a {"time":"2026-01-01T00:00:06.1Z","event":"upstream_removed","upstream":"u1"}
host-a {"time":"2026-01-01T00:00:06.2Z","logger":"loss","event":"connection_closed","close_cause":"draining","unread_bytes":true}
host-a {"time":"2026-01-01T00:00:06.3Z","event":"request_unread","request":"r2","end":"unread","end_cause":"host_stopping"}
host-a {"time":"2026-01-01T00:00:06.3Z","event":"request_unread","request":"r3","end":"unread","end_cause":"caller"}
host-a {"time":"2026-01-01T00:00:07Z","event":"endings","requests_begun":9,"requests_in_flight":0,"ends":{"answered":6,"cut/host_stopping":1,"unread/host_stopping":1,"unread/caller":1},"connections_accepted":3,"connections_open":0,"closes":{"idle":2,"draining/unread":1},"unmatched":0}
host-a {"time":"2026-01-01T00:00:08Z","event":"stopped"}
host-a {"time":"2026-01-01T00:00:08.1Z","event":"log_dropped","since":"2026-01-01T00:00:00Z","by_rate":4,"by_backlog":0,"losses":0}
host-b {"time":"2026-01-01T00:00:05Z","logger":"loss","event":"request_done","request":"r4","route":"chat","end":"unanswered","end_cause":"upstream","total_ms":30}
host-b {"time":"2026-01-01T00:00:05.5Z","event":"request_done","request":"r5","end":"caller_gone","end_cause":"caller"}
host-b {"time":"2026-01-01T00:00:20Z","event":"start","host":"host-b"}
host-b {"time":"2026-01-01T00:00:30Z","logger":"loss","event":"connection_closed","close_cause":"limit","unread_bytes":false}
host-b {"time":"2026-01-01T00:00:31Z","event":"log_dropped","since":"2026-01-01T00:00:21Z","by_rate":0,"by_backlog":3,"losses":2}
host-b {"time":"2026-01-01T00:00:32Z","event":"endings","ends":{"answered":1,"cut/upstream":2},"closes":{"limit":1}}
host-b {"time":"2026-01-01T00:00:33Z","event":"stopped"}
host-c {"time":"2026-01-01T00:00:09Z","event":"request_done","request":"r6","end":"answered"}
host-c {"time":"2026-01-01T00:00:10Z","event":"log_dropped","by_rate":0,"by_backlog":1}
host-c {broken
`

// lostRows returns the rows of the report on lost requests.
func lostRows(logs string, near time.Duration) []string {
	log, err := Read("fleet.log", strings.NewReader(logs))
	So(err, ShouldBeNil)
	var out strings.Builder
	So(WriteLost(&out, log, near), ShouldBeNil)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

// rowsOf returns the rows of one kind, which their first word names.
func rowsOf(rows []string, kind string) []string {
	found := []string{}
	for _, row := range rows {
		if first, _, _ := strings.Cut(row, " "); first == kind {
			found = append(found, row)
		}
	}
	return found
}

// Guards against a lost request that is not listed, and against requests in the list whose
// caller got an answer or left.
func TestLostRequestsAreListedByTime(t *testing.T) {
	Convey("Given the mixed lines of three hosts", t, func() {
		rows := lostRows(lostLogs, 2*time.Second)
		So(rowsOf(rows, "total"), ShouldResemble, []string{"total requests=3 connections=2 hosts=3 lines=24 skipped=2"})
		So(rowsOf(rows, "lost"), ShouldResemble, []string{
			`lost time=2026-01-01T00:00:05Z host=host-b route=chat request=r4 end=unanswered end_cause=upstream total_ms=30 attempts=-`,
			`lost time=2026-01-01T00:00:06Z host=host-a route=chat request=r1 end=cut end_cause=host_stopping total_ms=1500 attempts="u1 answered 200"`,
			`lost time=2026-01-01T00:00:06.3Z host=host-a route=- request=r2 end=unread end_cause=host_stopping total_ms=- attempts=-`,
		})
		So(rowsOf(rows, "by_cause"), ShouldResemble, []string{
			"by_cause end=cut end_cause=host_stopping requests=1", "by_cause end=unanswered end_cause=upstream requests=1", "by_cause end=unread end_cause=host_stopping requests=1",
		})
		So(rowsOf(rows, "by_host"), ShouldResemble, []string{"by_host host=host-a requests=2", "by_host host=host-b requests=1"})
		So(rowsOf(rows, "by_route"), ShouldResemble, []string{"by_route route=chat requests=2", "by_route route=- requests=1"})
		So(rowsOf(rows, "connection"), ShouldResemble, []string{
			"connection time=2026-01-01T00:00:06.2Z host=host-a close_cause=draining unread_bytes=true",
			"connection time=2026-01-01T00:00:30Z host=host-b close_cause=limit unread_bytes=false",
		})
		So(strings.HasPrefix(rows[0], "total "), ShouldBeTrue)
	})
}

// Guards against a cause that lies in the time while the request ran, or shortly before,
// and is not shown, and against events of other hosts or times.
func TestEventsNearALostRequest(t *testing.T) {
	Convey("Given a request that began at 4.5 s and was cut at 6 s", t, func() {
		rows := rowsOf(lostRows(lostLogs, 2*time.Second), "near")
		So(rows, ShouldContain, "near request=r1 host=host-a before_end=2.5s config_applied config_version=7")
		So(rows, ShouldContain, "near request=r1 host=host-a before_end=1s stop signal=terminated")
		So(rows, ShouldContain, "near request=r4 host=host-b before_end=1s peer_lost address=host-a:1")
		for _, row := range rows {
			if strings.Contains(row, "request=r1 ") {
				So(row, ShouldNotContainSubstring, "store_lost")
				So(row, ShouldNotContainSubstring, "peer_lost")
				So(row, ShouldNotContainSubstring, "upstream_removed")
			}
		}
		Convey("A longer time shows what was earlier", func() {
			So(rowsOf(lostRows(lostLogs, 4*time.Second), "near"), ShouldContain, "near request=r1 host=host-a before_end=5s store_lost table=balances")
		})
	})
}

// Guards against logs that look complete although lines of losses are missing.
func TestIncompleteLogsAreNamed(t *testing.T) {
	Convey("Given a host that was killed, dropped lines and a line that cannot be read", t, func() {
		rows := rowsOf(lostRows(lostLogs, 0), "incomplete")
		So(rows, ShouldResemble, []string{
			"incomplete host=host-b from=2026-01-01T00:00:05.5Z until=2026-01-01T00:00:20Z reason=not_stopped",
			"incomplete host=host-b from=2026-01-01T00:00:21Z until=2026-01-01T00:00:31Z reason=log_dropped by_backlog=3 losses=2",
			"incomplete host=host-c from=2026-01-01T00:00:00Z until=2026-01-01T00:00:10Z reason=log_dropped by_backlog=1 losses=0",
			"incomplete host=host-c from=2026-01-01T00:00:10Z until=- reason=no_stopped_line",
			"incomplete file=fleet.log from=2026-01-01T00:00:10Z until=- reason=unreadable lines=1",
		})
	})
	Convey("A line of a loss after the line stopped is no crash", t, func() {
		rows := lostRows(`
h {"time":"2026-01-01T00:00:00Z","event":"start"}
h {"time":"2026-01-01T00:00:01Z","event":"stopped"}
h {"time":"2026-01-01T00:00:01.1Z","event":"request_done","request":"r","end":"cut","end_cause":"write"}
h {"time":"2026-01-01T00:00:02Z","event":"start"}
h {"time":"2026-01-01T00:00:03Z","event":"stopped"}
`, 0)
		So(rowsOf(rows, "incomplete"), ShouldBeEmpty)
	})
}

// Guards against losses that a host counted and that no line names, and against lines that
// a host did not count.
func TestEndingsAreComparedWithLines(t *testing.T) {
	Convey("Given processes that count what their lines say, or something else", t, func() {
		rows := rowsOf(lostRows(lostLogs, 0), "account")
		So(rows, ShouldResemble, []string{
			"account host=host-a process=2026-01-01T00:00:00Z agrees=yes lost_lines=1 lost_counted=1 connection_lines=1 connections_counted=1 in_flight=0 unmatched=0",
			"account host=host-b process=2026-01-01T00:00:00Z agrees=unknown reason=no_endings_line lost_lines=1 connection_lines=0",
			"account host=host-b process=2026-01-01T00:00:20Z agrees=no lost_lines=0 lost_counted=2 connection_lines=1 connections_counted=1 in_flight=0 unmatched=0 differences=cut/upstream:lines=0,counted=2",
			"account host=host-c process=2026-01-01T00:00:00Z agrees=unknown reason=no_endings_line lost_lines=0 connection_lines=0",
		})
	})
	Convey("A log that begins within a process is not compared", t, func() {
		rows := lostRows(`h {"time":"2026-01-01T00:00:01Z","event":"endings","ends":{"cut/write":1}}`, 0)
		So(rowsOf(rows, "account"), ShouldResemble, []string{"account host=h process=- agrees=unknown reason=no_start_line lost_lines=0 connection_lines=0"})
	})
	Convey("Requests in flight and unmatched ends at the stop are a difference", t, func() {
		rows := lostRows(`
h {"time":"2026-01-01T00:00:00Z","event":"start"}
h {"time":"2026-01-01T00:00:01Z","event":"endings","ends":{},"requests_in_flight":2,"unmatched":1}
`, 0)
		So(rowsOf(rows, "account")[0], ShouldContainSubstring, "agrees=no ")
		So(rowsOf(rows, "account")[0], ShouldContainSubstring, "in_flight=2 unmatched=1")
	})
}

// Guards against a report that depends on the order of files or of lines in them.
func TestTheReportDoesNotDependOnTheOrderOfLines(t *testing.T) {
	Convey("Given the lines in the opposite order", t, func() {
		lines := strings.Split(strings.TrimSpace(lostLogs), "\n")
		lines = slices.DeleteFunc(lines, func(line string) bool { return strings.Contains(line, "broken") })
		forward := lostRows(strings.Join(lines, "\n"), time.Second)
		slices.Reverse(lines)
		So(lostRows(strings.Join(lines, "\n"), time.Second), ShouldResemble, forward)
	})
	Convey("Without lines the report says so", t, func() {
		So(lostRows("", time.Second), ShouldResemble, []string{"total requests=0 connections=0 hosts=0 lines=0 skipped=0"})
	})
}

// Guards against a list that looks complete although the build that wrote the log does not
// tell how requests end.
func TestALogWithoutEndsIsIncomplete(t *testing.T) {
	Convey("Given an answered request whose line has no end", t, func() {
		rows := lostRows(`
h {"time":"2026-01-01T00:00:00Z","event":"start"}
h {"time":"2026-01-01T00:00:01Z","event":"request_done","request":"r","outcome":"upstream_broke"}
h {"time":"2026-01-01T00:00:02Z","event":"stopped"}
`, 0)
		So(rowsOf(rows, "incomplete"), ShouldResemble, []string{"incomplete host=h from=2026-01-01T00:00:00Z until=2026-01-01T00:00:02Z reason=no_end_field"})
	})
}

// Guards against a renamed event that is no longer shown near lost requests.
func TestNearEventsAreOnTheOperationsPage(t *testing.T) {
	Convey("Given docs/OPERATIONS.md", t, func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)
		for event := range nearEvents {
			So(string(page), ShouldContainSubstring, "`"+event+"`")
		}
	})
}

// Guards against a value with a line end or a space that breaks a row into several.
func TestRowsStayWhole(t *testing.T) {
	Convey("Given values of callers and of errors with spaces, quotes and line ends", t, func() {
		rows := lostRows(`
h {"time":"2026-01-01T00:00:01Z","event":"store_lost","error":"first\nsecond"}
h {"time":"2026-01-01T00:00:02Z","event":"request_done","request":"a b\n\"lost","end":"cut","end_cause":"write"}
`, 5*time.Second)
		So(rowsOf(rows, "lost"), ShouldResemble, []string{`lost time=2026-01-01T00:00:02Z host=h route=- request="a b\n\"lost" end=cut end_cause=write total_ms=- attempts=-`})
		So(rowsOf(rows, "near"), ShouldResemble, []string{`near request="a b\n\"lost" host=h before_end=1s store_lost error=first second`})
	})
}
