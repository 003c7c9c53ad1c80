package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/entryhost"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/telemetry"
	"github.com/cassiasill/cassiasill/platform"
)

type servePlatformCommand struct {
	Settings string `long:"settings" env:"CASSIASILL_BOOT" required:"yes" value-name:"FILE" description:"Settings file"`
}

// Execute runs the host until SIGTERM or SIGINT; SIGHUP reads the settings
// again.
func (c *servePlatformCommand) Execute([]string) error {
	s, err := settings.LoadPlatform(c.Settings)
	if err != nil {
		return err
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	metrics, err := entryhost.NewMetrics()
	if err != nil {
		return err
	}
	log, err := telemetry.NewBoundedLogger(out, string(s.Log.Level), telemetry.Format(s.Log.Format), metrics.CountOmittedLine)
	if err != nil {
		return err
	}
	host, err := platform.NewHost(s, metrics, log)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go c.reload(ctx, reload, host, log)
	log.Info("main: starting", zap.String("settings", c.Settings), zap.String("host", s.Host.Name), zap.String("store", s.Store.Address))
	defer log.Info("main: stopped")
	return host.Run(ctx)
}

// reload applies the settings file at each signal. A file with errors changes
// nothing.
func (c *servePlatformCommand) reload(ctx context.Context, signals <-chan os.Signal, host *entryhost.Host, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		s, err := settings.LoadPlatform(c.Settings)
		if err == nil {
			err = platform.ApplySettings(s, host)
		}
		if err != nil {
			log.Error("main: settings not reloaded, the former stay in force", zap.Error(err))
			continue
		}
		log.Info("main: settings reloaded; addresses take effect at the next start")
	}
}
