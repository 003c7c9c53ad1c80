package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
)

// output holds the options that all subcommands share.
type output struct {
	JSON    string `long:"json" value-name:"FILE" description:"write the results as JSON"`
	Compare string `long:"compare" value-name:"FILE" description:"print earlier JSON results beside the new ones"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random input"`
}

// row is one measured case: its names and its figures.
type row struct {
	Case    []string           `json:"case"`
	Figures map[string]float64 `json:"figures"`
}

// report is the result of one subcommand.
type report struct {
	Subcommand string   `json:"subcommand"`
	Seed       uint64   `json:"seed"`
	CaseNames  []string `json:"caseNames"`
	Columns    []string `json:"columns"`
	Rows       []row    `json:"rows"`
}

// finish prints the report, compares it and writes it, as the options say.
func (o output) finish(r report) error {
	r.Seed = o.Seed
	var old *report
	if o.Compare != "" {
		data, err := os.ReadFile(o.Compare)
		if err != nil {
			return fmt.Errorf("compare: %w", err)
		}
		old = &report{}
		if err := json.Unmarshal(data, old); err != nil {
			return fmt.Errorf("compare with %s: %w", o.Compare, err)
		}
		if old.Subcommand != r.Subcommand {
			return fmt.Errorf("compare: %s holds results of %q", o.Compare, old.Subcommand)
		}
	}
	if err := r.print(os.Stdout, old); err != nil {
		return err
	}
	if o.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.JSON, append(data, '\n'), 0o644)
}

// print writes a table; a cell shows "old > new" where the old report has the
// same case.
func (r report) print(w io.Writer, old *report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range append(slices.Clone(r.CaseNames), r.Columns...) {
		fmt.Fprintf(table, "%s\t", c)
	}
	fmt.Fprintln(table)
	for _, line := range r.Rows {
		for _, c := range line.Case {
			fmt.Fprintf(table, "%s\t", c)
		}
		for _, c := range r.Columns {
			if before, ok := old.find(line.Case, c); ok {
				fmt.Fprintf(table, "%.4g > ", before)
			}
			fmt.Fprintf(table, "%.4g\t", line.Figures[c])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// find returns the figure of a case.
func (r *report) find(names []string, column string) (float64, bool) {
	if r == nil {
		return 0, false
	}
	for _, line := range r.Rows {
		if slices.Equal(line.Case, names) {
			value, ok := line.Figures[column]
			return value, ok
		}
	}
	return 0, false
}
