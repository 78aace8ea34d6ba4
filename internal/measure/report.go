// Package measure defines the result rows that all measurements share and
// writes them as JSON or as a table.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Product is the variant name of rows measured on the product. Rows of a
// baseline carry the baseline's name.
const Product = "product"

// Func runs one measurement on the load generated from a seed.
type Func func(ctx context.Context, seed uint64) ([]Row, error)

// Experiment is a measurement offered on the command line. It runs over
// loopback sockets, as a simulation of the decisions on a fake clock, or both;
// a function that is nil isn't offered.
type Experiment struct {
	Name      string
	Usage     string
	Sockets   Func
	Simulated Func
}

// Target is a bound that a value must meet, stated before the measurement ran.
type Target struct {
	Bound   float64
	AtLeast bool
}

// AtLeast returns a target met by values of at least bound.
func AtLeast(bound float64) *Target { return &Target{Bound: bound, AtLeast: true} }

// AtMost returns a target met by values of at most bound.
func AtMost(bound float64) *Target { return &Target{Bound: bound} }

// String returns the target as an inequality.
func (t *Target) String() string {
	if t.AtLeast {
		return fmt.Sprintf(">= %.6g", t.Bound)
	}
	return fmt.Sprintf("<= %.6g", t.Bound)
}

// Row is one measured value.
type Row struct {
	Measure string
	Variant string
	Metric  string
	Value   float64
	Unit    string
	// Target is nil for baselines and for values without a target.
	Target *Target
}

// Met reports whether the value meets its target. A row without a target is met.
func (r Row) Met() bool {
	switch {
	case r.Target == nil:
		return true
	case r.Target.AtLeast:
		return r.Value >= r.Target.Bound
	}
	return r.Value <= r.Target.Bound
}

type jsonRow struct {
	Measure string   `json:"measure"`
	Variant string   `json:"variant"`
	Metric  string   `json:"metric"`
	Value   float64  `json:"value"`
	Unit    string   `json:"unit"`
	Target  *float64 `json:"target,omitempty"`
	Met     *bool    `json:"met,omitempty"`
}

// WriteJSON writes each row as a JSON object on a line of its own.
func WriteJSON(out io.Writer, rows []Row) error {
	encoder := json.NewEncoder(out)
	for _, row := range rows {
		body := jsonRow{Measure: row.Measure, Variant: row.Variant, Metric: row.Metric, Value: row.Value, Unit: row.Unit}
		if row.Target != nil {
			met := row.Met()
			body.Target, body.Met = &row.Target.Bound, &met
		}
		if err := encoder.Encode(body); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes the rows as an aligned table. The ratio column of a
// baseline's row is the product's value divided by the baseline's.
func WriteTable(out io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "METRIC\tVARIANT\tVALUE\tUNIT\tPRODUCT/THIS\tTARGET\tMET")
	for _, row := range rows {
		target, met := "", ""
		if row.Target != nil {
			target, met = row.Target.String(), "no"
			if row.Met() {
				met = "yes"
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%.6g\t%s\t%s\t%s\t%s\n",
			row.Metric, row.Variant, row.Value, row.Unit, ratio(rows, row), target, met)
	}
	return table.Flush()
}

// ratio formats the product's value of the same metric divided by the row's.
// It is empty for the product's own rows and unless both values are positive.
func ratio(rows []Row, row Row) string {
	if row.Variant == Product || row.Value <= 0 {
		return ""
	}
	for _, other := range rows {
		if other.Variant == Product && other.Metric == row.Metric && other.Value > 0 {
			return fmt.Sprintf("%.3f", other.Value/row.Value)
		}
	}
	return ""
}
