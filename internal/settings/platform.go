package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Platform is the settings file of a host that runs on the users' platform,
// where routes, servers and what must last are in the store.
type Platform struct {
	// Host describes this host.
	Host PlatformHost `yaml:"host"`
	// Listen holds the addresses that the host serves.
	Listen PlatformListen `yaml:"listen"`
	// Seeds are addresses at which other hosts serve their peers; some may be
	// gone. Default: none.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the platform's key-value store. Required.
	Store PlatformStore `yaml:"store"`
	// Limits bound the process.
	Limits PlatformLimits `yaml:"limits"`
	// Callers bound what callers hold.
	Callers PlatformCallers `yaml:"callers"`
	// Bounds are the figures agreed with the platform, as it writes them.
	Bounds string `yaml:"bounds"`
	// Log sets what is logged.
	Log Log `yaml:"log"`
}

// PlatformHost is this host.
type PlatformHost struct {
	// Name is the same after a restart. Required.
	Name string `yaml:"name"`
	// AvailabilityZone is where the host stands. Required.
	AvailabilityZone string `yaml:"availabilityZone"`
	// Address is the host's IP address. Required.
	Address string `yaml:"address"`
}

// PlatformListen holds IP addresses with ports.
type PlatformListen struct {
	// Callers serves callers. Required.
	Callers string `yaml:"callers"`
	// Readiness answers the balancer. Required.
	Readiness string `yaml:"readiness"`
	// Peers serves other hosts. Required.
	Peers string `yaml:"peers"`
	// FirstPeerPort serves metrics unless MetricsPort is set. The next port places
	// requests for other hosts. Required.
	FirstPeerPort int `yaml:"firstPeerPort"`
	// MetricsPort serves metrics. Default: FirstPeerPort.
	MetricsPort int `yaml:"metricsPort"`
}

// PlatformStore says how the store is reached.
type PlatformStore struct {
	// Address is an IP address with a port. Required.
	Address string `yaml:"address"`
	// Timeout bounds one call. Default: 1s.
	Timeout Duration `yaml:"timeout"`
}

// PlatformLimits bound the process.
type PlatformLimits struct {
	// MemoryMB is what the process may use, in MB. Default: 256.
	MemoryMB int `yaml:"memoryMB"`
	// MaxDescriptors is how many descriptors the process may open. Default: 4096.
	MaxDescriptors int `yaml:"maxDescriptors"`
	// CPUQuota is the part of a core that the process gets. Default: 1.
	CPUQuota float64 `yaml:"cpuQuota"`
	// CoreSpeed is how fast a core is, relative to the others. Default: 1.
	CoreSpeed float64 `yaml:"coreSpeed"`
}

// programMB is what the pages of the program itself take of the process's memory.
const programMB = 16

// DataBytes is the part of the process's memory that is left for data, in bytes.
func (l PlatformLimits) DataBytes() int64 {
	return int64(max(l.MemoryMB-programMB, l.MemoryMB/2)) << 20
}

// Capacity is the processor time that the process gets, in cores.
func (l PlatformLimits) Capacity() float64 { return l.CPUQuota * l.CoreSpeed }

// LoadPlatform reads and checks the file at path. It fails with Errors that
// list everything that is wrong with the file.
func LoadPlatform(path string) (*Platform, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParsePlatform(path, data)
}

// ParsePlatform is LoadPlatform for data; file is its name in errors.
func ParsePlatform(file string, data []byte) (*Platform, error) {
	p := &Platform{
		Store:  PlatformStore{Timeout: Duration(time.Second)},
		Limits: PlatformLimits{MemoryMB: 256, MaxDescriptors: 4096, CPUQuota: 1, CoreSpeed: 1},
		Callers: PlatformCallers{PipelineDepth: 16, ReceiveBuffer: 32 << 10, SendBuffer: 32 << 10, MaxHeader: 16 << 10, MinProgress: 512,
			BodyPeriod: Duration(5 * time.Second), ResponsePeriod: Duration(time.Minute)},
		Log: Log{Level: "info", Format: "json"},
	}
	if err := parse(file, data, p, p.validate); err != nil {
		return nil, err
	}
	p.Callers.complete(p.Limits)
	return p, nil
}

func (p *Platform) validate(d *decoder) {
	required(d, "host.name", p.Host.Name)
	required(d, "host.availabilityZone", p.Host.AvailabilityZone)
	if _, err := netip.ParseAddr(p.Host.Address); err != nil {
		d.fail("host.address", "found %q, expected an IP address", p.Host.Address)
	}
	for path, address := range map[string]string{"listen.callers": p.Listen.Callers, "listen.readiness": p.Listen.Readiness, "listen.peers": p.Listen.Peers, "store.address": p.Store.Address} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			d.fail(path, "found %q, expected an IP address with a port", address)
		}
	}
	between(d, "listen.firstPeerPort", p.Listen.FirstPeerPort, 1, 65534)
	between(d, "listen.metricsPort", p.Listen.MetricsPort, 0, 65535)
	between(d, "store.timeout", p.Store.Timeout, Duration(time.Millisecond), Duration(time.Minute))
	between(d, "callers.pipelineDepth", p.Callers.PipelineDepth, 0, 256)
	between(d, "limits.memoryMB", p.Limits.MemoryMB, 16, 1<<20)
	between(d, "limits.maxDescriptors", p.Limits.MaxDescriptors, 256, 1<<20)
	p.Callers.validate(d, p.Limits)
	between(d, "limits.cpuQuota", p.Limits.CPUQuota, 0.001, 1024)
	between(d, "limits.coreSpeed", p.Limits.CoreSpeed, 0.001, 1024)
}
