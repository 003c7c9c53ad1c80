package proxy

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid so that every run checks the same inputs.
// The flag -rapid.seed overrides it. A failing test prints its input.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "2026"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
