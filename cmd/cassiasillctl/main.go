// Command cassiasillctl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/cassiasill/cassiasill/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
