package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// nearEvents are the events that may explain a lost request of the same host: changes of
// its configuration and its process, and failures of what it depends on.
var nearEvents = map[string]bool{
	"config_applied": true, "config_malformed": true, "reload": true,
	"start": true, "ready": true, "stop": true, "stopped": true, "drain_incomplete": true, "callers_cut": true,
	"store_lost": true, "store_regained": true, "store_returned": true,
	"peer_lost": true, "peer_regained": true, "owner_lost": true, "owner_regained": true,
	"connection_limit": true, "accept_failed": true, "listener_ended": true,
	"host_overloaded": true, "host_keeps_up": true, "host_away": true,
	"upstream_listed": true, "upstream_leaving": true, "upstream_removed": true, "upstream_lapsed": true, "upstream_expired": true,
	"upstream_crashed": true, "upstream_quiet": true, "limit_named": true, "limit_ended": true,
	"part_quarantined": true, "part_released": true,
}

// unreadCauses are the causes of EndUnread that are the host's own. Of the others, the
// caller left or did not send in time.
var unreadCauses = map[gateway.EndCause]bool{gateway.CauseHostStopping: true, gateway.CauseWrite: true, gateway.CauseInternal: true}

func (l Line) text(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

func (l Line) number(field string) float64 {
	value, _ := l.Fields[field].(float64)
	return value
}

// ending returns how the request of a line ended. It has no End if the line tells none.
func (l Line) ending() gateway.Ending {
	return gateway.Ending{End: gateway.End(l.text("end")), Cause: gateway.EndCause(l.text("end_cause"))}
}

// isLost reports whether the line is of a request that was cut or closed without an answer
// although its caller had not left.
func (l Line) isLost() bool {
	ending := l.ending()
	return ending.End.Lost() || ending.End == gateway.EndUnread && unreadCauses[ending.Cause]
}

// isClosedConnection reports whether the line is of a connection that was closed with
// unread bytes or at the limit.
func (l Line) isClosedConnection() bool { return l.Event == "connection_closed" }

// closing returns how the connection of a line was closed.
func (l Line) closing() gateway.Closing {
	unread, _ := l.Fields["unread_bytes"].(bool)
	return gateway.Closing{Cause: gateway.CloseCause(l.text("close_cause")), UnreadBytes: unread || l.number("unread_bytes") > 0}
}

// byTime returns the lines in an order that does not depend on that of the files.
func byTime(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b Line) int {
		if order := cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Host, b.Host)); order != 0 {
			return order
		}
		return strings.Compare(a.describe(), b.describe())
	})
	return sorted
}

// selectLines returns the lines that fit.
func selectLines(lines []Line, fits func(Line) bool) []Line {
	var selected []Line
	for _, line := range lines {
		if fits(line) {
			selected = append(selected, line)
		}
	}
	return selected
}

// byHost groups lines by their host and keeps their order.
func byHost(lines []Line) map[string][]Line {
	hosts := make(map[string][]Line)
	for _, line := range lines {
		hosts[line.Host] = append(hosts[line.Host], line)
	}
	return hosts
}

// eventsNear returns those of a host's events, ordered by time, that happened while a
// request ran or for a time before.
func eventsNear(events []Line, lost Line, near time.Duration) []Line {
	begun := lost.Time.Add(-time.Duration(lost.number("total_ms") * float64(time.Millisecond)))
	from, _ := slices.BinarySearchFunc(events, begun.Add(-near), func(event Line, at time.Time) int { return event.Time.Compare(at) })
	until := from
	for until < len(events) && !events[until].Time.After(lost.Time) {
		until++
	}
	return events[from:until]
}
