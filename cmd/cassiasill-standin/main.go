// Command cassiasill-standin runs a stand-in for the platform's store or for an
// upstream server as a process of its own.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/store/memory"
	"github.com/cassiasill/cassiasill/internal/topology"
)

func main() {
	parser := flags.NewNamedParser("cassiasill-standin", flags.Default)
	for name, command := range map[string]struct {
		help    string
		execute flags.Commander
	}{
		"store":  {"Serve an in-memory store over the etcd v3 JSON gateway protocol", &storeCommand{}},
		"server": {"Serve requests and grants as an upstream server", &serverCommand{}},
	} {
		if _, err := parser.AddCommand(name, command.help, command.help+".", command.execute); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

// duration is a flag with a unit.
type duration time.Duration

// UnmarshalFlag reads the flag as the settings file reads durations.
func (d *duration) UnmarshalFlag(value string) error {
	var parsed settings.Duration
	if err := parsed.UnmarshalText([]byte(value)); err != nil {
		return fmt.Errorf("found %q, expected %w", value, err)
	}
	*d = duration(parsed)
	return nil
}

type listenOptions struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"Address to serve at"`
	Control string `long:"control" description:"Address that accepts POST /{action}; none if empty"`
}

// serve runs until a signal ends it. The control address is apart from the
// stand-in's own, so that it answers while the stand-in is frozen or down.
func (o *listenOptions) serve(address string, control http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Println("listening", address)
	if o.Control == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", o.Control)
	if err != nil {
		return err
	}
	fmt.Println("control", listener.Addr())
	return serveHTTP(ctx, listener, control)
}

func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// controls returns a handler for actions.
func controls(control func(action string) error) *httprouter.Router {
	router := httprouter.New()
	router.POST("/:action", func(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
		if err := control(params.ByName("action")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return router
}

func show[T any](router *httprouter.Router, path string, get func() T) {
	router.GET(path, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		// The client may be gone; nothing is left to be told.
		_ = json.NewEncoder(w).Encode(get())
	})
}

type storeCommand struct{ listenOptions }

// Execute runs the store.
func (c *storeCommand) Execute([]string) error {
	backend := memory.New()
	defer backend.Close()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	failed := make(chan error, 1)
	group.Go(func() { failed <- serveHTTP(ctx, listener, standin.NewStoreServer(backend)) })
	router := controls(backend.RunAction)
	show(router, "/counts", backend.CallCounts)
	if err := c.serve(listener.Addr().String(), router); err != nil {
		return err
	}
	cancel()
	return <-failed
}

type serverCommand struct {
	listenOptions
	Name         string   `long:"name" required:"true" description:"Name of the server"`
	Service      string   `long:"service" required:"true" description:"Name of the service"`
	DividedByKey bool     `long:"divided-by-key" description:"Serve only keys that the server holds"`
	KeyHeader    string   `long:"key-header" description:"Header with the key; default is the path segment after the service"`
	Unchecked    bool     `long:"unchecked" description:"Do not check ownership and fencing tokens"`
	Slots        int      `long:"slots" default:"2" description:"Requests that run at once"`
	Queue        int      `long:"queue" default:"16" description:"Requests that wait for a slot"`
	Connections  int      `long:"connections" default:"125" description:"Connections open at once"`
	ServiceTime  duration `long:"service-time" default:"5ms" description:"Mean time that a request runs"`
	Distribution string   `long:"distribution" default:"exponential" choice:"fixed" choice:"exponential" description:"Distribution of service times"`
	Seed         uint64   `long:"seed" default:"1" description:"Seed of the service times"`
	ArchiveBytes int64    `long:"archive-bytes" default:"8388608" description:"Size of the files at paths with a segment that begins with archive"`
	LoadLag      duration `long:"load-lag" default:"0ms" description:"Age of what /health and /load report"`
	PoisonHeader string   `long:"poison-header" description:"Header of requests that crash the server"`
	RestartAfter duration `long:"restart-after" default:"0ms" description:"Restart so long after such a crash; 0ms means never"`
}

// Execute runs the server.
func (c *serverCommand) Execute([]string) error {
	server := standin.NewServer(standin.ServerOptions{
		Name: topology.ServerName(c.Name), Service: topology.ServiceName(c.Service),
		DividedByKey: c.DividedByKey, KeyHeader: c.KeyHeader, Unchecked: c.Unchecked,
		Slots: c.Slots, MaxQueued: c.Queue, MaxConnections: c.Connections,
		ServiceTime: time.Duration(c.ServiceTime), Distribution: standin.Distribution(c.Distribution), Seed: c.Seed,
		ArchiveBytes: c.ArchiveBytes, LoadLag: time.Duration(c.LoadLag),
		PoisonHeader: c.PoisonHeader, RestartAfter: time.Duration(c.RestartAfter),
	})
	defer server.Close()
	address, err := server.Listen(c.Listen)
	if err != nil {
		return err
	}
	router := controls(server.RunAction)
	show(router, "/owned", server.Ownership)
	show(router, "/executions", server.Executions)
	return c.serve(address, router)
}
