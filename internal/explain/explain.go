// Package explain shows from the structured logs of any number of hosts what
// happened to a request and what its host knew at the time.
package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// sections are the titles and fields of the parts into which a request's line is
// split, in the order of cause and effect.
var sections = []struct {
	title  string
	fields []string
}{
	{"request", []string{"request", "route", "service", "team", "time_ms", "fingerprint", "prompt_parts"}},
	{"configuration", []string{"config_version", "config_age_ms"}},
	{"balance", []string{"balance", "reserved", "spent", "available", "unallocated", "elsewhere", "unsure", "prepaid", "store_away", "ledger_version", "owner"}},
	{"refusal", append([]string{"cause"}, partFields()...)},
	{"attempts", []string{"attempts", "not_repeated"}},
	{"answer", []string{"outcome", "status", "reason", "total_ms", "first_event_ms", "events", "longest_pause_ms"}},
}

// stateEvents are the events that report a state of the host, which lasts until a
// later event of the same kind. The value is the field that names the subject,
// such as a table or a peer, or empty if the host has only one such state.
var stateEvents = map[string]string{
	"start": "", "stop": "", "ready": "", "config_applied": "", "store_lost": "table", "store_regained": "table",
	"peer_lost": "address", "peer_regained": "address", "upstream_listed": "upstream", "upstream_leaving": "upstream",
	"upstream_removed": "upstream", "upstream_lapsed": "upstream", "upstream_expired": "upstream", "balance_commit_failed": "team",
	"pledge_failed": "", "earlier_process_bounded": "team", "limit_named": "upstream", "limit_ended": "upstream",
	"part_quarantined": "part", "part_released": "part", "service_lost": "service", "service_regained": "service",
	"helper_lost": "peer", "helper_regained": "peer",
}

// stateKey returns the state that the line is about: events of one host with the
// same key supersede each other. It is empty if the event reports no state.
func (l Line) stateKey() string {
	key, known := stateEvents[l.Event]
	if !known {
		return ""
	}
	group, _, _ := strings.Cut(l.Event, "_")
	value, _ := l.Fields[key].(string)
	return l.Host + " " + group + " " + value
}

// WriteRequest writes each host's line about a request, split into sections, and
// what the host knew when it wrote that line. It reports false if no line is about
// the request.
func WriteRequest(out io.Writer, lines []Line, id string) bool {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	found := false
	for i, line := range sorted {
		if line.Event != "request_done" || line.Fields["request"] != id {
			continue
		}
		found = true
		fmt.Fprintf(out, "%s host %s\n", line.Time.Format(time.RFC3339Nano), line.Host)
		for _, section := range sections {
			writeSection(out, line, section.title, section.fields)
		}
		writeState(out, sorted[:i], line)
	}
	return found
}

func writeSection(out io.Writer, line Line, title string, fields []string) {
	var parts []string
	for _, field := range fields {
		if value, found := line.Fields[field]; found {
			parts = append(parts, fmt.Sprintf("%s=%v", field, value))
		}
	}
	if len(parts) > 0 {
		fmt.Fprintf(out, "  %-14s %s\n", title, strings.Join(parts, " "))
	}
}

// writeState writes the latest line of each state that the host of a request knew
// and that concerns the request: its team, the upstreams that it tried, the store,
// the peers and the host itself.
func writeState(out io.Writer, before []Line, request Line) {
	newest := make(map[string]Line)
	for _, line := range before {
		if key := line.stateKey(); key != "" && line.Host == request.Host && concerns(line, request) {
			newest[key] = line
		}
	}
	state := make([]Line, 0, len(newest))
	for _, line := range newest {
		state = append(state, line)
	}
	slices.SortFunc(state, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range state {
		fmt.Fprintf(out, "  believed       %s earlier: %s\n", request.Time.Sub(line.Time).Round(time.Millisecond), line.describe())
	}
}

func concerns(line, request Line) bool {
	if team, found := line.Fields["team"]; found && team != request.Fields["team"] {
		return false
	}
	if service, found := line.Fields["service"]; found && service != request.Fields["service"] {
		return false
	}
	if upstream, found := line.Fields["upstream"].(string); found {
		attempts, _ := request.Fields["attempts"].(string)
		return strings.Contains(attempts, upstream)
	}
	return true
}

// WriteEvents writes the lines from a time on, ordered by time: those of one event,
// or if event is empty those of all events but request_done.
func WriteEvents(out io.Writer, lines []Line, since time.Time, event string) {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range sorted {
		if line.Time.Before(since) || (event != "" && line.Event != event) || (event == "" && line.Event == "request_done") {
			continue
		}
		fmt.Fprintf(out, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.Host, line.describe())
	}
}

// describe formats an event with its fields in alphabetical order.
func (l Line) describe() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "event" && name != "time" && name != "level" && name != "msg" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := []string{l.Event}
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(parts, " ")
}
