// Command cassiasill-bench measures the router's parts on seeded loads.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/cassiasill/cassiasill/internal/bench/balance"
)

// subcommand is one benchmark. Data holds its options and implements
// flags.Commander.
type subcommand struct {
	name, short string
	data        flags.Commander
}

// subcommands lists all benchmarks; others add a line here.
func subcommands() []subcommand {
	return []subcommand{
		{"placement", "Compare the planner with baselines on seeded loads", &placementCommand{}},
		{"slopes", "Measure the planner's time and memory by servers and slices", &slopesCommand{}},
		{"balance", "Compare load policies under overload, faults and floods", &balance.Command{}},
		{"changes", "Measure how soon accepted changes are in force on every host", &changesCommand{}},
		{"control", "Measure what a deployment costs without callers", &controlCommand{}},
		{"terms", "Compare ways to choose the term of a new leader", &termsCommand{}},
		{"routing", "Measure lookups and snapshot swaps", &routingCommand{}},
	}
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	for _, c := range subcommands() {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
