package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cassiasill/cassiasill/internal/bench/control"
)

// changesCommand measures how soon accepted changes are in force on every host.
type changesCommand struct {
	Hosts   int    `long:"hosts" default:"12" description:"number of hosts"`
	Changes int    `long:"changes" default:"100" description:"changes per state of the store"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random choices"`
}

// Execute prints one row for each state of the store.
func (c *changesCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "store\thosts\taccepted\trefused\tp50 ms\tp99 ms\tmax ms\tlater than 5 s")
	for _, state := range []control.StoreState{control.StoreHealthy, control.StoreSlow, control.StoreFlapping} {
		o := control.Options{Hosts: c.Hosts, Servers: 6, Zones: 3, Settle: 4 * time.Second, Seed: c.Seed}
		s, err := control.RunChanges(context.Background(), o, state, c.Changes)
		if err != nil {
			return err
		}
		ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d\n", state, c.Hosts, s.Accepted, s.Refused, ms(s.P50), ms(s.P99), ms(s.Max), s.Late)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}
