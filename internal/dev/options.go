// Package dev runs a whole deployment in one process: the stand-in store, the
// stand-in servers and several entry hosts that talk over loopback.
package dev

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// The offsets from the base port of the addresses of host i and of the control
// address.
const (
	adminPortOffset   = 100
	controlPortOffset = 200
	peerPortOffset    = 300
	maxHosts          = 100
)

// Options configure the deployment.
type Options struct {
	Settings *settings.Settings
	Hosts    int
	// Listen is the callers' address of host 0; others follow.
	Listen string
	// For ends the run after that time; zero runs until the context ends.
	For  time.Duration
	Seed uint64
	Log  *zap.Logger
	// Out gets the word "ready" and the summary.
	Out io.Writer
}

// OptionError is an option with a value that cannot be used.
type OptionError struct {
	Option string
	Reason string
}

// Error names the option.
func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Reason) }

// address returns the IP address and port of Listen.
func (o *Options) address() (ip string, port int, err error) {
	ip, text, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return "", 0, &OptionError{"listen", err.Error()}
	}
	parsed := net.ParseIP(ip)
	if parsed == nil || !parsed.IsLoopback() {
		return "", 0, &OptionError{"listen", fmt.Sprintf("found address %q, expected a loopback IP address", ip)}
	}
	port, err = strconv.Atoi(text)
	if err != nil || port < 1 || port+peerPortOffset+maxHosts > 65535 {
		return "", 0, &OptionError{"listen", fmt.Sprintf("found port %q, expected 1 to %d", text, 65535-peerPortOffset-maxHosts)}
	}
	return ip, port, nil
}

// hostSettings returns the settings of host i of n.
func (o *Options) hostSettings(ip string, port, i int, hosts []topology.Host, storeURL string, services []settings.Service) *settings.Settings {
	s := *o.Settings
	s.Host = settings.Host{
		Name: hosts[i].Name, AvailabilityZone: hosts[i].AvailabilityZone,
		Addresses: settings.Addresses{
			Callers: join(ip, port+i), Admin: join(ip, port+adminPortOffset+i), Peer: hosts[i].PeerAddress,
		},
	}
	s.Hosts = hosts
	s.Store.Kind, s.Store.Endpoints = settings.StoreGateway, []string{storeURL}
	s.Services = services
	return &s
}

// hostList spreads n hosts over the availability zones.
func (o *Options) hostList(ip string, port int) []topology.Host {
	zones := o.Settings.AvailabilityZones
	out := make([]topology.Host, o.Hosts)
	for i := range out {
		out[i] = topology.Host{
			Name:             topology.HostName(fmt.Sprintf("host-%d", i)),
			AvailabilityZone: zones[i%len(zones)].Name,
			PeerAddress:      join(ip, port+peerPortOffset+i),
		}
	}
	return out
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
