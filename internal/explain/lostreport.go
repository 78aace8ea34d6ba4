package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// WriteLost writes each lost request with the events near it, and each connection that was
// closed with unread bytes; then when the logs are incomplete, and whether the lines agree
// with what each process counted. The first word of a row names its kind.
func WriteLost(out io.Writer, log Log, near time.Duration) error {
	buffered := bufio.NewWriter(out)
	lines := byTime(log.Lines)
	lost, connections, hosts := selectLines(lines, Line.isLost), selectLines(lines, Line.isClosedConnection), byHost(lines)
	fmt.Fprintf(buffered, "total requests=%d connections=%d hosts=%d lines=%d skipped=%d\n", len(lost), len(connections), len(hosts), len(lines), log.Skipped)
	writeCounts(buffered, "by_cause", lost, func(l Line) string { return fields(l, "end", "end_cause") })
	writeCounts(buffered, "by_host", lost, func(l Line) string { return "host=" + word(l.Host) })
	writeCounts(buffered, "by_route", lost, func(l Line) string { return fields(l, "route") })
	events := byHost(selectLines(lines, func(l Line) bool { return nearEvents[l.Event] }))
	for _, line := range lost {
		fmt.Fprintf(buffered, "lost time=%s host=%s %s\n", stamp(line.Time), word(line.Host),
			fields(line, "route", "request", "end", "end_cause", "total_ms", "attempts"))
		for _, event := range eventsNear(events[line.Host], line, near) {
			fmt.Fprintf(buffered, "near %s host=%s before_end=%s %s\n", fields(line, "request"), word(line.Host),
				line.Time.Sub(event.Time).Round(time.Millisecond), oneLine(event.describe()))
		}
	}
	for _, line := range connections {
		fmt.Fprintf(buffered, "connection time=%s host=%s %s\n", stamp(line.Time), word(line.Host), fields(line, "close_cause", "unread_bytes"))
	}
	writeIncomplete(buffered, hosts, log.Unreadable)
	writeAccounts(buffered, hosts)
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write the list of lost requests: %w", err)
	}
	return nil
}

// writeCounts writes how many requests have the same key, the largest number first.
func writeCounts(out io.Writer, kind string, lost []Line, key func(Line) string) {
	requests := counts{}
	for _, line := range lost {
		requests[key(line)]++
	}
	for _, name := range slices.SortedFunc(maps.Keys(requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(requests[b], requests[a]), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(out, "%s %s requests=%d\n", kind, name, requests[name])
	}
}

func writeIncomplete(out io.Writer, hosts map[string][]Line, unreadable []Unreadable) {
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		for _, process := range processes(host, hosts[host]) {
			for _, gap := range process.gaps() {
				fmt.Fprintf(out, "incomplete host=%s from=%s until=%s reason=%s\n", word(host), stamp(gap.from), stamp(gap.until), gap.reason)
			}
		}
	}
	sorted := slices.SortedStableFunc(slices.Values(unreadable), func(a, b Unreadable) int { return strings.Compare(a.File, b.File) })
	for _, run := range sorted {
		fmt.Fprintf(out, "incomplete file=%s from=%s until=%s reason=unreadable lines=%d\n", word(run.File), stamp(run.After), stamp(run.Before), run.Lines)
	}
}

func writeAccounts(out io.Writer, hosts map[string][]Line) {
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		for _, process := range processes(host, hosts[host]) {
			a := process.account()
			fmt.Fprintf(out, "account host=%s process=%s ", word(host), stamp(process.started()))
			if a.unknown != "" {
				fmt.Fprintf(out, "agrees=unknown reason=%s lost_lines=%d connection_lines=%d\n", a.unknown, a.requestLines.sum(), a.connectionLines.sum())
				continue
			}
			agrees, differences := "yes", ""
			if !a.agrees() {
				agrees = "no"
			}
			if found := a.differences(); len(found) > 0 {
				differences = " differences=" + strings.Join(found, ";")
			}
			fmt.Fprintf(out, "agrees=%s lost_lines=%d lost_counted=%d connection_lines=%d connections_counted=%d in_flight=%d unmatched=%d%s\n",
				agrees, a.requestLines.sum(), a.requestsCounted.sum(), a.connectionLines.sum(), a.connectionsCounted.sum(), a.inFlight, a.unmatched, differences)
		}
	}
}

// fields formats fields of a line as name=value.
func fields(line Line, names ...string) string {
	var parts []string
	for _, name := range names {
		value := ""
		switch v := line.Fields[name].(type) {
		case nil:
		case float64:
			value = strconv.FormatFloat(v, 'f', -1, 64)
		default:
			value = fmt.Sprint(v)
		}
		parts = append(parts, name+"="+word(value))
	}
	return strings.Join(parts, " ")
}

// word returns a value without spaces as it is, others in quotes, and a dash for none.
func word(value string) string {
	if value == "" {
		return "-"
	}
	if strings.ContainsFunc(value, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || r == '"' }) {
		return strconv.Quote(value)
	}
	return value
}

// oneLine replaces line ends in logged texts, so that a row stays one.
func oneLine(text string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(text) }

// stamp formats a time, or a dash for none.
func stamp(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Format(time.RFC3339Nano)
}
