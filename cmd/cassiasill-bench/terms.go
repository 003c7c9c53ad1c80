package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cassiasill/cassiasill/internal/bench/terms"
)

// termsCommand compares ways to choose the term of a new leader.
type termsCommand struct {
	Elections int           `long:"elections" default:"100000" description:"elections per row"`
	Interval  time.Duration `long:"interval" default:"1h" description:"mean time between elections"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of all random choices"`
}

// Execute prints one row for each restart probability and clock skew.
func (c *termsCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "restart probability\tclock skew\tcounter refused\thybrid refused")
	for _, restart := range []float64{0.01, 0.1, 0.5} {
		for _, skew := range []time.Duration{0, time.Second, time.Hour} {
			r := terms.Run(terms.Options{Elections: c.Elections, Witnesses: 5, Restart: restart, Skew: skew, Interval: c.Interval, Seed: c.Seed})
			fmt.Fprintf(w, "%.2f\t%s\t%.3f %%\t%.3f %%\n", restart, skew,
				100*float64(r.CounterRefused)/float64(r.Elections), 100*float64(r.HybridRefused)/float64(r.Elections))
		}
	}
	return w.Flush()
}
