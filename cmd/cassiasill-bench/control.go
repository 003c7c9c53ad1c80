package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cassiasill/cassiasill/internal/bench/control"
)

// controlCommand measures deployments without callers.
type controlCommand struct {
	Hosts     []int         `long:"hosts" default:"3" default:"6" default:"12" default:"24" description:"numbers of hosts"`
	Servers   []int         `long:"servers" default:"15" description:"numbers of servers"`
	Zones     int           `long:"zones" default:"3" description:"number of availability zones"`
	Unchecked bool          `long:"unchecked" description:"servers do not check fencing tokens"`
	Settle    time.Duration `long:"settle" default:"5s" description:"time before the measurement"`
	Measure   time.Duration `long:"measure" default:"10s" description:"measured time"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of all random choices"`
}

// Execute prints one row for each combination.
func (c *controlCommand) Execute([]string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "hosts\tservers\tCPU %/host\theap MB/host\tpeer B/s/host\tpeer B/s max\theartbeat B/s\tstore reads/s\tstore writes/s\twatches")
	for _, hosts := range c.Hosts {
		for _, servers := range c.Servers {
			r, err := control.Run(context.Background(), control.Options{
				Hosts: hosts, Servers: servers, Zones: c.Zones, Unchecked: c.Unchecked,
				Settle: c.Settle, Measure: c.Measure, Seed: c.Seed,
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "%d\t%d\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\n", r.Hosts, r.Servers, r.CPU, r.Heap,
				r.PeerBytes, r.PeerBytesMax, r.HeartbeatBytes, r.StoreReads, r.StoreWrites, r.Watches)
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
