// Command cassiasill runs an entry host, or a whole deployment with stand-ins.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassiasill/cassiasill"
	"github.com/cassiasill/cassiasill/internal/dev"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	parser := flags.NewNamedParser("cassiasill", flags.Default)
	commands := []struct {
		name, help string
		command    flags.Commander
	}{
		{"serve", "Run this entry host", &serveCommand{}},
		{"serve-platform", "Run this entry host on the platform, with its store", &servePlatformCommand{}},
		{"dev", "Run a whole deployment with stand-ins in this process", &devCommand{}},
		{"check-settings", "Check a settings file", &checkCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.help, c.help+".", c.command); err != nil {
			fmt.Fprintln(os.Stderr, "cassiasill:", err)
			os.Exit(exitFailed)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

// exitCode tells usage errors from failures; go-flags has printed both.
func exitCode(err error) int {
	if flags.WroteHelp(err) {
		return 0
	}
	if _, usage := err.(*flags.Error); usage {
		return exitUsage
	}
	return exitFailed
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

type serveCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"Settings file"`
	Host     string `long:"host" value-name:"NAME" description:"Run as this host of the settings' list instead of the one in the host section"`
	Callers  string `long:"callers" value-name:"ADDRESS" description:"Replaces host.addresses.callers"`
	Admin    string `long:"admin" value-name:"ADDRESS" description:"Replaces host.addresses.admin"`
}

// Execute runs the host until a signal.
func (c *serveCommand) Execute([]string) error {
	router, err := cassiasill.New(cassiasill.Options{
		SettingsFile: c.Settings, Host: c.Host, CallersAddress: c.Callers, AdminAddress: c.Admin,
	})
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return router.Run(ctx)
}

type devCommand struct {
	Settings   string        `long:"settings" value-name:"FILE" description:"Settings of the deployment"`
	Deployment string        `long:"deployment" choice:"aserrin" choice:"adinkra" default:"aserrin" description:"Example deployment, without --settings"`
	Hosts      int           `long:"hosts" default:"3" description:"Number of entry hosts"`
	Listen     string        `long:"listen" default:"127.0.0.1:18080" description:"Callers' address of host 0"`
	For        time.Duration `long:"for" description:"End after this time; default: run until a signal"`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of all random choices"`
	LogLevel   string        `long:"log-level" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level that is logged to standard error"`
}

// Execute runs the deployment until a signal or for the given time.
func (c *devCommand) Execute([]string) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(os.Stderr, c.LogLevel, telemetry.FormatConsole)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return dev.Run(ctx, dev.Options{
		Settings: s, Hosts: c.Hosts, Listen: c.Listen, For: c.For, Seed: c.Seed, Log: log, Out: os.Stdout,
	})
}

func (c *devCommand) settings() (*settings.Settings, error) {
	if c.Settings != "" {
		return settings.Load(c.Settings)
	}
	return settings.Deployment(c.Deployment)
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"Settings file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints every error of the file.
func (c *checkCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.File)
	if err != nil {
		return err
	}
	servers := 0
	for _, service := range s.Services {
		servers += len(service.Servers)
	}
	fmt.Printf("%s: ok: deployment %s, %d services, %d servers, %d hosts\n",
		c.Args.File, s.Deployment, len(s.Services), servers, len(s.Hosts))
	return nil
}
