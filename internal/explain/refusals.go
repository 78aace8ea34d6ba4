package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// partField returns the log field of a part of a balance.
func partField(part string) string { return "part_" + part }

// partFields returns the log fields of the parts of a balance.
func partFields() []string {
	var fields []string
	for _, part := range (allowance.Parts{}).Named() {
		fields = append(fields, partField(part.Name))
	}
	return fields
}

// causeUnknown stands for the cause in lines of builds that do not log it.
const causeUnknown = "unknown"

// tally counts refused requests and the tokens that they asked for.
type tally struct {
	requests int
	tokens   core.Tokens
}

func (t *tally) add(tokens core.Tokens) {
	t.requests++
	t.tokens += tokens
}

// refusal is a request that was refused for want of tokens.
type refusal struct {
	at     time.Time
	cause  string
	team   string
	tokens core.Tokens
	parts  map[string]core.Tokens
}

// readRefusals returns the refusals among log lines, ordered by time.
func readRefusals(lines []Line) []refusal {
	var refusals []refusal
	for _, line := range lines {
		outcome, _ := line.Fields["outcome"].(string)
		if line.Event != "request_done" || (outcome != string(gateway.BalanceUnavailable) && outcome != string(gateway.BalanceSpent)) {
			continue
		}
		r := refusal{at: line.Time, tokens: line.tokens("reserved"), parts: make(map[string]core.Tokens)}
		r.team, _ = line.Fields["team"].(string)
		if r.cause, _ = line.Fields["cause"].(string); r.cause == "" {
			r.cause = causeUnknown
		}
		for _, part := range (allowance.Parts{}).Named() {
			r.parts[part.Name] = line.tokens(partField(part.Name))
		}
		refusals = append(refusals, r)
	}
	slices.SortStableFunc(refusals, func(a, b refusal) int { return a.at.Compare(b.at) })
	return refusals
}

func (l Line) tokens(field string) core.Tokens {
	value, _ := l.Fields[field].(float64)
	return core.Tokens(value)
}

// notMissing are the parts that a change of how balances are shared cannot add to what is
// available.
var notMissing = []string{"spent", "available", "unread", "overdrawn"}

// coveredBy reports whether one part, with what was available, would have covered the
// request.
func (r refusal) coveredBy(part string) bool {
	return !slices.Contains(notMissing, part) && r.parts[part] > 0 && r.parts["available"]+r.parts[part] >= r.tokens+r.parts["overdrawn"]
}

// WriteRefusals writes how many requests, and how many of their tokens, were refused for
// want of tokens: by cause, by team, and by period. It also writes the parts of the
// balances at the time: the mean share of the prepaid total, and how many requests each
// part alone would have covered.
func WriteRefusals(out io.Writer, lines []Line, period time.Duration) error {
	refusals := readRefusals(lines)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeTallies(table, "cause", tallies(refusals, func(r refusal) string { return r.cause }), bySize)
	writeParts(table, refusals)
	writeTallies(table, "team\tcause", tallies(refusals, func(r refusal) string { return r.team + "\t" + r.cause }), bySize)
	writeTallies(table, "from\tcause", tallies(refusals, func(r refusal) string {
		return r.at.Truncate(period).Format(time.RFC3339) + "\t" + r.cause
	}), byKey)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table of refusals: %w", err)
	}
	return nil
}

func tallies(refusals []refusal, key func(refusal) string) map[string]*tally {
	counts := make(map[string]*tally)
	for _, r := range refusals {
		if counts[key(r)] == nil {
			counts[key(r)] = &tally{}
		}
		counts[key(r)].add(r.tokens)
	}
	return counts
}

// order compares two entries of a table.
type order func(counts map[string]*tally, a, b string) int

func bySize(counts map[string]*tally, a, b string) int {
	return cmp.Or(cmp.Compare(counts[b].requests, counts[a].requests), cmp.Compare(a, b))
}

func byKey(_ map[string]*tally, a, b string) int { return cmp.Compare(a, b) }

func writeTallies(out io.Writer, title string, counts map[string]*tally, by order) {
	fmt.Fprintf(out, "%s\trequests\ttokens\t\n", title)
	for _, key := range slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return by(counts, a, b) }) {
		fmt.Fprintf(out, "%s\t%d\t%d\t\n", key, counts[key].requests, counts[key].tokens)
	}
	fmt.Fprintln(out)
}

// writeParts writes the parts of the balances of the refusals whose lines have them.
func writeParts(out io.Writer, refusals []refusal) {
	shares, covered, counted := make(map[string]float64), make(map[string]int), 0
	for _, r := range refusals {
		total := -r.parts["overdrawn"]
		for name, tokens := range r.parts {
			if name != "overdrawn" {
				total += tokens
			}
		}
		if total <= 0 {
			continue
		}
		counted++
		for name, tokens := range r.parts {
			shares[name] += float64(tokens) / float64(total)
			if r.coveredBy(name) {
				covered[name]++
			}
		}
	}
	fmt.Fprintf(out, "part\tmean share\tcovers alone\t\n")
	for _, part := range (allowance.Parts{}).Named() {
		fmt.Fprintf(out, "%s\t%.1f%%\t%d\t\n", part.Name, 100*shares[part.Name]/float64(max(counted, 1)), covered[part.Name])
	}
	fmt.Fprintln(out)
}
