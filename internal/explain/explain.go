// Package explain tells the story of a request from the structured logs of any
// number of hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a log line; longer ones are skipped and counted.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time time.Time
	// Host is the name before the JSON, if the lines of several hosts are mixed
	// in one file, else the file's name.
	Host   string
	Event  string
	Fields map[string]any
}

// Read returns the log lines of a stream. Text before the first brace of a line
// is searched for the host's name; lines without JSON are counted as skipped.
func Read(name string, in io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		line, ok := parse(name, scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read %s; pass files of one JSON object a line: %w", name, err)
	}
	return lines, skipped, nil
}

func parse(name string, raw []byte) (Line, bool) {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return Line{}, false
	}
	line := Line{Host: name}
	if err := json.Unmarshal(raw[brace:], &line.Fields); err != nil {
		return Line{}, false
	}
	if words := strings.Fields(string(raw[:brace])); len(words) > 0 {
		line.Host = words[len(words)-1]
	}
	line.Event, _ = line.Fields["event"].(string)
	stamp, _ := line.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || line.Event == "" {
		return Line{}, false
	}
	line.Time = at
	return line, true
}

// sections are the fields of a request's line in the order of cause, each with
// its title.
var sections = []struct {
	title  string
	fields []string
}{
	{"request", []string{"request", "route", "service", "team", "time_ms"}},
	{"configuration", []string{"config_version", "config_age_ms"}},
	{"balance", []string{"balance", "reserved", "spent", "available", "unallocated", "elsewhere", "unsure", "prepaid", "store_away", "ledger_version", "owner"}},
	{"attempts", []string{"attempts"}},
	{"answer", []string{"outcome", "status", "reason", "total_ms", "first_event_ms", "events", "longest_pause_ms"}},
}

// lasting are the events whose newest line before a time tells what a host
// believed then, keyed by the field that tells several apart.
var lasting = map[string]string{
	"start": "", "stop": "", "ready": "", "config_applied": "", "store_lost": "table", "store_regained": "table",
	"peer_lost": "address", "peer_regained": "address", "upstream_listed": "upstream", "upstream_leaving": "upstream",
	"upstream_removed": "upstream", "upstream_lapsed": "upstream", "upstream_expired": "upstream", "balance_commit_failed": "team",
	"pledge_failed": "", "earlier_process_bounded": "team",
}

// subject groups events that supersede each other.
func (l Line) subject() string {
	key, known := lasting[l.Event]
	if !known {
		return ""
	}
	group, _, _ := strings.Cut(l.Event, "_")
	value, _ := l.Fields[key].(string)
	return l.Host + " " + group + " " + value
}

// Request writes the story of a request: each host's line about it, and what
// the host believed then. It reports false if no line names the request.
func Request(out io.Writer, lines []Line, id string) bool {
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
		writeBeliefs(out, sorted[:i], line)
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

// writeBeliefs writes the newest line of each subject at the host that bears on
// the request: its team, the upstreams it tried, the store, peers and the host.
func writeBeliefs(out io.Writer, before []Line, request Line) {
	newest := make(map[string]Line)
	for _, line := range before {
		if subject := line.subject(); subject != "" && line.Host == request.Host && bears(line, request) {
			newest[subject] = line
		}
	}
	believed := make([]Line, 0, len(newest))
	for _, line := range newest {
		believed = append(believed, line)
	}
	slices.SortFunc(believed, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range believed {
		fmt.Fprintf(out, "  believed       %s earlier: %s\n", request.Time.Sub(line.Time).Round(time.Millisecond), line.describe())
	}
}

func bears(line, request Line) bool {
	if team, found := line.Fields["team"]; found && team != request.Fields["team"] {
		return false
	}
	if upstream, found := line.Fields["upstream"].(string); found {
		attempts, _ := request.Fields["attempts"].(string)
		return strings.Contains(attempts, upstream)
	}
	return true
}

// Changes writes what changed what hosts believe, and optionally only one kind
// of event, from a time on.
func Changes(out io.Writer, lines []Line, since time.Time, event string) {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range sorted {
		if line.Time.Before(since) || (event != "" && line.Event != event) || (event == "" && line.Event == "request_done") {
			continue
		}
		fmt.Fprintf(out, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.Host, line.describe())
	}
}

// describe renders an event with its fields in alphabetical order.
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
