// Package settings reads the one settings file of a host.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/examples"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Settings is the whole file. Every duration and size in the file has a unit.
type Settings struct {
	// Deployment names the deployment in logs and metrics. Required.
	Deployment string `yaml:"deployment"`
	// Host describes the host that reads the file.
	Host Host `yaml:"host"`
	// Hosts lists all entry hosts, this one included; hosts on the platform's
	// list are added to it. Default: only this host.
	Hosts []topology.Host `yaml:"hosts"`
	// AvailabilityZones lists the availability zones. Required.
	AvailabilityZones []AvailabilityZone `yaml:"availabilityZones"`
	// Latency is used by the dev command and by benchmarks.
	Latency Latency `yaml:"latency"`
	// Store is the platform's key-value service.
	Store Store `yaml:"store"`
	// Services lists what callers reach. At least one is required.
	Services []Service `yaml:"services"`
	// Objective weights what placement optimizes.
	Objective Objective `yaml:"objective"`
	// Limits bound what one host holds.
	Limits Limits `yaml:"limits"`
	// Operator secures the admin address.
	Operator Operator `yaml:"operator"`
	// PeerTLS secures connections between hosts. Default: no TLS.
	PeerTLS TLS `yaml:"peerTLS"`
	// Log sets what is logged and how.
	Log Log `yaml:"log"`
}

// Host is this host.
type Host struct {
	// Name is the same after a restart. Required.
	Name topology.HostName `yaml:"name"`
	// AvailabilityZone is one of AvailabilityZones. Required.
	AvailabilityZone topology.AvailabilityZone `yaml:"availabilityZone"`
	// Addresses are where the host listens.
	Addresses Addresses `yaml:"addresses"`
}

// Addresses are IP addresses with ports.
type Addresses struct {
	// Callers serves callers. Default: 127.0.0.1:18080.
	Callers string `yaml:"callers"`
	// Admin serves health, metrics and operators. Default: 127.0.0.1:18180.
	// Other than loopback addresses need TLS and a way to identify operators.
	Admin string `yaml:"admin"`
	// Peer serves other hosts. Default: 127.0.0.1:18380.
	Peer string `yaml:"peer"`
}

// AvailabilityZone is one availability zone.
type AvailabilityZone struct {
	// Name is unique. Required.
	Name topology.AvailabilityZone `yaml:"name"`
}

// Latency holds one-way latencies.
type Latency struct {
	// BetweenAvailabilityZones. Default: 1ms.
	BetweenAvailabilityZones Duration `yaml:"betweenAvailabilityZones"`
	// ToCallers. Default: 3ms.
	ToCallers Duration `yaml:"toCallers"`
}

// StoreKind names an implementation of the store.
type StoreKind string

// The kinds of stores.
const (
	StoreGateway StoreKind = "gateway"
	StoreMemory  StoreKind = "memory"
)

func (StoreKind) values() []string { return []string{string(StoreGateway), string(StoreMemory)} }

// Store says how the platform's key-value service is reached.
type Store struct {
	// Kind is gateway (etcd v3 JSON gateway) or memory (tests, one process).
	// Default: gateway.
	Kind StoreKind `yaml:"kind"`
	// Endpoints are base URLs. Required for gateway.
	Endpoints []string `yaml:"endpoints"`
	// Timeout bounds one call to one endpoint. Default: 2s.
	Timeout Duration `yaml:"timeout"`
}

// Fencing says whether a service's servers check fencing tokens.
type Fencing string

// The values of Fencing.
const (
	FencingChecked   Fencing = "checked"
	FencingUnchecked Fencing = "unchecked"
)

func (Fencing) values() []string { return []string{string(FencingChecked), string(FencingUnchecked)} }

// Service is one service and its servers.
type Service struct {
	// Name is the first path segment of the service's requests. Required.
	Name topology.ServiceName `yaml:"name"`
	// DividedByKey is true if each key has one owning server. Default: false.
	DividedByKey bool `yaml:"dividedByKey"`
	// KeyHeader names the header with the key. Default: the key is the path
	// segment after the service.
	KeyHeader string `yaml:"keyHeader"`
	// CallerHeader names the header that identifies the caller. Default:
	// Cassiasill-Caller.
	CallerHeader string `yaml:"callerHeader"`
	// Fencing is checked or unchecked. Default: checked.
	Fencing Fencing `yaml:"fencing"`
	// Slots is how many requests a server runs at once. Default: 2.
	Slots int `yaml:"slots"`
	// Connections is how many connections a server accepts. Default: 120.
	Connections int `yaml:"connections"`
	// Servers lists the upstream servers. At least one is required.
	Servers []topology.Server `yaml:"servers"`
	// Routes describe requests; the longest matching prefix applies. Requests
	// that match none are lookups that must not be repeated.
	Routes []Route `yaml:"routes"`
}

func (s *Service) setDefaults() {
	s.CallerHeader, s.Fencing, s.Slots, s.Connections = "Cassiasill-Caller", FencingChecked, 2, 120
}

// Class orders the requests of a service by importance.
type Class string

// The classes, most important first.
const (
	ClassBooking  Class = "booking"
	ClassLookup   Class = "lookup"
	ClassDownload Class = "download"
)

func (Class) values() []string {
	return []string{string(ClassBooking), string(ClassLookup), string(ClassDownload)}
}

// Route describes the requests with one path prefix.
type Route struct {
	// Methods lists HTTP methods. Default: all.
	Methods []string `yaml:"methods"`
	// PathPrefix begins with a slash and the service's name. Required.
	PathPrefix string `yaml:"pathPrefix"`
	// Class is booking, lookup or download. Default: lookup.
	Class Class `yaml:"class"`
	// Repeatable is true if running a request twice does no harm. Default: false.
	Repeatable bool `yaml:"repeatable"`
	// Timeout is the deadline of requests that bring none. Default:
	// limits.defaultTimeout.
	Timeout Duration `yaml:"timeout"`
}

func (r *Route) setDefaults() { r.Class = ClassLookup }

// RouteFor returns the route with the longest prefix of path that has method.
func (s *Service) RouteFor(method, path string) Route {
	var best Route
	best.setDefaults()
	for _, r := range s.Routes {
		if len(r.PathPrefix) > len(best.PathPrefix) && strings.HasPrefix(path, r.PathPrefix) &&
			(len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			best = r
		}
	}
	return best
}

// Objective holds the weights of what placement trades against each other;
// only their ratios matter.
type Objective struct {
	// Imbalance weights maximum over mean load. Default: 1.
	Imbalance float64 `yaml:"imbalance"`
	// Churn weights the share of load moved. Default: 1.
	Churn float64 `yaml:"churn"`
	// UnavailableTime weights time in which keys are not served. Default: 1.
	UnavailableTime float64 `yaml:"unavailableTime"`
	// BookingFactor is how often a booking counts in unavailable time. Default: 1.
	BookingFactor float64 `yaml:"bookingFactor"`
}

// Limits bound what one host holds.
type Limits struct {
	// MaxHeader bounds a request's headers. Default: 64KiB.
	MaxHeader Size `yaml:"maxHeader"`
	// MaxBody bounds a request's body. Default: 64MiB.
	MaxBody Size `yaml:"maxBody"`
	// Buffer bounds all requests that wait for an owner. Default: 64MiB.
	Buffer Size `yaml:"buffer"`
	// DefaultTimeout is the deadline of requests without one. Default: 10s.
	DefaultTimeout Duration `yaml:"defaultTimeout"`
}

// TLS names PEM files. They are read again when they change.
type TLS struct {
	// Cert and Key identify the server. Default: no TLS.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// ClientCA verifies clients; in peerTLS also the other hosts. Default:
	// clients need no certificate; required in peerTLS.
	ClientCA string `yaml:"clientCA"`
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Operator secures the operator interface.
type Operator struct {
	// TLS of the admin address. Default: none, loopback only.
	TLS TLS `yaml:"tls"`
	// TokensFile has one "name token" a line. Default: no bearer tokens.
	TokensFile string `yaml:"tokensFile"`
}

// LogLevel is the lowest level that is logged.
type LogLevel string

func (LogLevel) values() []string { return []string{"debug", "info", "warn", "error"} }

// LogFormat is the form of log lines.
type LogFormat string

func (LogFormat) values() []string { return []string{"json", "console"} }

// Log sets what is logged and how.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level LogLevel `yaml:"level"`
	// Format is json or console. Default: json.
	Format LogFormat `yaml:"format"`
}

// Default returns settings with every default and no services.
func Default() *Settings {
	return &Settings{
		Host:      Host{Addresses: Addresses{Callers: "127.0.0.1:18080", Admin: "127.0.0.1:18180", Peer: "127.0.0.1:18380"}},
		Latency:   Latency{BetweenAvailabilityZones: Duration(time.Millisecond), ToCallers: Duration(3 * time.Millisecond)},
		Store:     Store{Kind: StoreGateway, Timeout: Duration(2 * time.Second)},
		Objective: Objective{Imbalance: 1, Churn: 1, UnavailableTime: 1, BookingFactor: 1},
		Limits:    Limits{MaxHeader: 64 << 10, MaxBody: 64 << 20, Buffer: 64 << 20, DefaultTimeout: Duration(10 * time.Second)},
		Log:       Log{Level: "info", Format: "json"},
	}
}

// Load reads and checks the file at path. It fails with Errors that list
// everything that is wrong with the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Deployment returns the embedded settings of an example deployment.
func Deployment(name string) (*Settings, error) {
	data, err := examples.Files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("settings: no deployment %q: %w", name, err)
	}
	return Parse(name+".yaml", data)
}

// ServiceNamed returns the service, or nil.
func (s *Settings) ServiceNamed(name topology.ServiceName) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// complete fills in what follows from other fields.
func (s *Settings) complete() {
	if len(s.Hosts) == 0 {
		s.Hosts = []topology.Host{{Name: s.Host.Name, AvailabilityZone: s.Host.AvailabilityZone, PeerAddress: s.Host.Addresses.Peer}}
	}
	for i := range s.Services {
		service := &s.Services[i]
		for j := range service.Servers {
			service.Servers[j].Service = service.Name
		}
		for j := range service.Routes {
			if service.Routes[j].Timeout == 0 {
				service.Routes[j].Timeout = s.Limits.DefaultTimeout
			}
		}
	}
}
