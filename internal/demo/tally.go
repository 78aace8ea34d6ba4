package demo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotreel/peridotreel/internal/core"
)

// The range and the precision of the histogram of times to first token.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = 60_000_000
	significantDigits   = 3
)

// sample is the outcome of one request as its caller saw it.
type sample struct {
	team       core.TeamName
	class      core.ClassName
	request    string
	key        string
	answered   bool
	notRun     bool
	code       string
	mismatch   string
	cost       core.Tokens
	firstToken time.Duration
	retries    int
	// cutOffBy lists the addresses of hosts whose connection ended before the
	// answer was complete.
	cutOffBy []string
}

// group identifies the requests of a team in a class.
type group struct {
	team  core.TeamName
	class core.ClassName
}

// outcomeCounts counts the outcomes of a group's requests.
type outcomeCounts struct {
	sent, answered, notRun, failed int
	billed                         core.Tokens
	firstToken                     *hdrhistogram.Histogram
}

// tally collects samples. Only the goroutine of collect accesses it until all
// samples are received.
type tally struct {
	groups  map[group]*outcomeCounts
	samples []sample
}

// collect adds samples to a tally until the channel is closed.
func collect(samples <-chan sample) *tally {
	t := &tally{groups: make(map[group]*outcomeCounts)}
	for s := range samples {
		t.add(s)
	}
	return t
}

func (t *tally) add(s sample) {
	t.samples = append(t.samples, s)
	key := group{s.team, s.class}
	c := t.groups[key]
	if c == nil {
		c = &outcomeCounts{firstToken: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
		t.groups[key] = c
	}
	c.sent++
	switch {
	case s.answered:
		c.answered++
		c.billed += s.cost
		_ = c.firstToken.RecordValue(max(s.firstToken.Microseconds(), lowestMicroseconds))
	case s.notRun:
		c.notRun++
	default:
		c.failed++
	}
}

// print writes the table of teams and classes.
func (t *tally) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tclass\tsent\tanswered\tnot run\tfailed\tbilled\tp50 ms\tp95 ms\tp99 ms\t")
	keys := make([]group, 0, len(t.groups))
	for key := range t.groups {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.class, b.class))
	})
	for _, key := range keys {
		c := t.groups[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", key.team, key.class,
			c.sent, c.answered, c.notRun, c.failed, c.billed,
			milliseconds(c.firstToken, 50), milliseconds(c.firstToken, 95), milliseconds(c.firstToken, 99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	t.printCodes(out)
	return nil
}

// printCodes writes the number of requests by refusal or failure.
func (t *tally) printCodes(out io.Writer) {
	codes := make(map[string]int)
	for _, s := range t.samples {
		if !s.answered {
			codes[s.code]++
		}
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(out, "%d requests ended with %s\n", codes[code], code)
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) string {
	if histogram.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(histogram.ValueAtQuantile(quantile))/1000)
}
