package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// dropReportInterval is the period of a log_dropped line that does not name its start.
const dropReportInterval = 10 * time.Second

// process are the lines of one process of a host, by time.
type process struct {
	host  string
	lines []Line
	// next is the start of the host's next process, or zero if there is none.
	next time.Time
}

// processes splits the lines of a host, which are ordered by time, at each start.
func processes(host string, lines []Line) []process {
	var all []process
	for _, line := range lines {
		if line.Event == "start" && len(all) > 0 {
			all[len(all)-1].next = line.Time
		}
		if line.Event == "start" || len(all) == 0 {
			all = append(all, process{host: host})
		}
		current := &all[len(all)-1]
		current.lines = append(current.lines, line)
	}
	return all
}

// has reports whether the process wrote an event.
func (p process) has(event string) bool {
	return slices.ContainsFunc(p.lines, func(line Line) bool { return line.Event == event })
}

// started returns the time of the process's start, or zero if the log begins later.
func (p process) started() time.Time {
	if p.lines[0].Event == "start" {
		return p.lines[0].Time
	}
	return time.Time{}
}

// gap is a time in which lines of lost requests of a host may be missing.
type gap struct {
	from, until time.Time
	reason      string
}

// gaps returns the times in which the process's log is incomplete.
func (p process) gaps() []gap {
	var found []gap
	first, last := p.lines[0].Time, p.lines[len(p.lines)-1].Time
	withoutEnd := func(line Line) bool { return line.Event == "request_done" && line.text("end") == "" }
	if slices.ContainsFunc(p.lines, withoutEnd) {
		// Builds that do not log how requests end sample the lines of lost ones.
		found = append(found, gap{first, last, "no_end_field"})
	}
	for _, line := range p.lines {
		backlog, losses := line.number("by_backlog"), line.number("losses")
		if line.Event != "log_dropped" || backlog+losses == 0 {
			continue
		}
		since, err := time.Parse(time.RFC3339Nano, line.text("since"))
		if err != nil {
			since = line.Time.Add(-dropReportInterval)
		}
		found = append(found, gap{since, line.Time, fmt.Sprintf("log_dropped by_backlog=%.0f losses=%.0f", backlog, losses)})
	}
	switch {
	case p.has("stopped"):
	case p.next.IsZero():
		// The process runs, or it was killed and did not start again.
		found = append(found, gap{last, time.Time{}, "no_stopped_line"})
	default:
		found = append(found, gap{last, p.next, "not_stopped"})
	}
	return found
}

// counts are numbers of requests or connections by their end.
type counts map[string]int

func (c counts) sum() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}

// closePrefix distinguishes the ends of connections from those of requests.
const closePrefix = "close:"

// account compares the lines of losses of a process with what it counted itself.
type account struct {
	requestLines, requestsCounted       counts
	connectionLines, connectionsCounted counts
	inFlight, unmatched                 int
	// unknown is why there is nothing to compare with.
	unknown string
}

// account returns the process's account.
func (p process) account() account {
	a := account{requestLines: counts{}, requestsCounted: counts{}, connectionLines: counts{}, connectionsCounted: counts{}, unknown: "no_endings_line"}
	for _, line := range p.lines {
		switch {
		case line.Event == "endings":
			a.unknown = ""
			a.count(line)
		case line.isClosedConnection():
			a.connectionLines[closeKey(line.closing())]++
		case line.ending().End.Lost():
			a.requestLines[endKey(line.ending())]++
		}
	}
	if p.started().IsZero() {
		a.unknown = "no_start_line"
	}
	return a
}

// count takes over what the process counted and of which it writes lines.
func (a *account) count(endings Line) {
	a.inFlight, a.unmatched = int(endings.number("requests_in_flight")), int(endings.number("unmatched"))
	a.requestsCounted, a.connectionsCounted = counts{}, counts{}
	ends, _ := endings.Fields["ends"].(map[string]any)
	for key, count := range ends {
		if end, _, _ := strings.Cut(key, "/"); gateway.End(end).Lost() {
			a.requestsCounted[key] = whole(count)
		}
	}
	closes, _ := endings.Fields["closes"].(map[string]any)
	for key, count := range closes {
		cause, _, unread := strings.Cut(key, "/")
		if unread || gateway.CloseCause(cause) == gateway.CloseLimit {
			a.connectionsCounted[closePrefix+key] = whole(count)
		}
	}
}

func whole(value any) int {
	number, _ := value.(float64)
	return int(number)
}

func endKey(ending gateway.Ending) string {
	if ending.Cause == "" {
		return string(ending.End)
	}
	return string(ending.End) + "/" + string(ending.Cause)
}

func closeKey(closing gateway.Closing) string {
	if closing.UnreadBytes {
		return closePrefix + string(closing.Cause) + "/unread"
	}
	return closePrefix + string(closing.Cause)
}

// differences names the ends of which there are more or fewer lines than were counted.
func (a account) differences() []string {
	var found []string
	for _, pair := range [][2]counts{{a.requestLines, a.requestsCounted}, {a.connectionLines, a.connectionsCounted}} {
		lines, counted := pair[0], pair[1]
		keys := maps.Clone(lines)
		maps.Copy(keys, counted)
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			if lines[key] != counted[key] {
				found = append(found, fmt.Sprintf("%s:lines=%d,counted=%d", key, lines[key], counted[key]))
			}
		}
	}
	return found
}

func (a account) agrees() bool {
	return len(a.differences()) == 0 && a.inFlight == 0 && a.unmatched == 0
}
