package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// methods are the HTTP methods that routes may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// validate notes what the types alone do not rule out.
func (d *decoder) validate(s *Settings) {
	required(d, "deployment", s.Deployment)
	zones := make(map[topology.AvailabilityZone]bool)
	required(d, "availabilityZones", len(s.AvailabilityZones))
	names := make(uniqueNames)
	for i, zone := range s.AvailabilityZones {
		names.add(d, fmt.Sprintf("availabilityZones[%d].name", i), string(zone.Name))
		zones[zone.Name] = true
	}
	d.validateHosts(s, zones)
	d.validateStore(&s.Store)
	between(d, "latency.betweenAvailabilityZones", s.Latency.BetweenAvailabilityZones, 0, Duration(time.Second))
	between(d, "latency.toCallers", s.Latency.ToCallers, 0, Duration(time.Second))
	required(d, "services", len(s.Services))
	services, servers, addresses := make(uniqueNames), make(uniqueNames), make(uniqueNames)
	for i := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		services.add(d, path+".name", string(s.Services[i].Name))
		d.validateService(path, &s.Services[i], zones, servers, addresses)
	}
	d.validateObjective(&s.Objective)
	between(d, "limits.maxHeader", s.Limits.MaxHeader, 1<<10, 1<<20)
	between(d, "limits.maxBody", s.Limits.MaxBody, 1, 16<<30)
	between(d, "limits.buffer", s.Limits.Buffer, 1<<10, 16<<30)
	between(d, "limits.defaultTimeout", s.Limits.DefaultTimeout, Duration(time.Millisecond), Duration(time.Hour))
	d.validateOperator(s)
	d.tls("peerTLS", s.PeerTLS)
	if s.PeerTLS.Enabled() && s.PeerTLS.ClientCA == "" {
		d.fail("peerTLS.clientCA", "required with peerTLS.cert, because hosts verify each other")
	}
	if peer, err := netip.ParseAddrPort(s.Host.Addresses.Peer); err == nil && !peer.Addr().IsLoopback() && !s.PeerTLS.Enabled() {
		d.fail("host.addresses.peer", "found %q, expected a loopback address, or peerTLS with cert, key and clientCA", s.Host.Addresses.Peer)
	}
}

// required notes a field that is missing or empty.
func required[T comparable](d *decoder, path string, value T) bool {
	var zero T
	if value == zero {
		d.fail(path, "required, but missing or empty")
	}
	return value != zero
}

// between notes a value outside [lowest, highest].
func between[T cmp.Ordered](d *decoder, path string, value, lowest, highest T) {
	if value < lowest || value > highest {
		d.fail(path, "found %v, expected %v to %v", value, lowest, highest)
	}
}

// uniqueNames maps each name to the path of its first use.
type uniqueNames map[string]string

func (u uniqueNames) add(d *decoder, path, name string) {
	if !required(d, path, name) {
		return
	}
	if first, used := u[name]; used {
		d.fail(path, "%q is already used by %s", name, first)
		return
	}
	u[name] = path
}

func (d *decoder) zone(path string, zone topology.AvailabilityZone, zones map[topology.AvailabilityZone]bool) {
	if !required(d, path, zone) || zones[zone] {
		return
	}
	var known []string
	for name := range zones {
		known = append(known, string(name))
	}
	slices.Sort(known)
	d.fail(path, "unknown availability zone %q, expected one of %s", zone, strings.Join(known, ", "))
}

// address notes anything but an IP address with a port.
func (d *decoder) address(path, text string) netip.AddrPort {
	if !required(d, path, text) {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		d.fail(path, "found %q, expected an IP address with a port such as 10.0.0.1:8080", text)
	}
	return address
}

func (d *decoder) validateHosts(s *Settings, zones map[topology.AvailabilityZone]bool) {
	required(d, "host.name", s.Host.Name)
	d.zone("host.availabilityZone", s.Host.AvailabilityZone, zones)
	listens := make(uniqueNames)
	for _, a := range []struct{ path, address string }{
		{"host.addresses.callers", s.Host.Addresses.Callers},
		{"host.addresses.admin", s.Host.Addresses.Admin},
		{"host.addresses.peer", s.Host.Addresses.Peer},
	} {
		d.address(a.path, a.address)
		listens.add(d, a.path, a.address)
	}
	names, addresses := make(uniqueNames), make(uniqueNames)
	for i, host := range s.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		names.add(d, path+".name", string(host.Name))
		d.zone(path+".availabilityZone", host.AvailabilityZone, zones)
		d.address(path+".peerAddress", host.PeerAddress)
		addresses.add(d, path+".peerAddress", host.PeerAddress)
	}
	if len(s.Hosts) > 0 && s.Host.Name != "" && names[string(s.Host.Name)] == "" {
		d.fail("hosts", "this host %q is not in the list", s.Host.Name)
	}
}

func (d *decoder) validateStore(s *Store) {
	between(d, "store.timeout", s.Timeout, Duration(10*time.Millisecond), Duration(time.Minute))
	if s.Kind != StoreGateway {
		return
	}
	required(d, "store.endpoints", len(s.Endpoints))
	for i, endpoint := range s.Endpoints {
		u, err := url.Parse(endpoint)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || strings.TrimSuffix(u.Path, "/") != "" {
			d.fail(fmt.Sprintf("store.endpoints[%d]", i), "found %q, expected a URL such as http://10.0.0.1:2379", endpoint)
		}
		s.Endpoints[i] = strings.TrimSuffix(endpoint, "/")
	}
}

func (d *decoder) validateService(path string, s *Service, zones map[topology.AvailabilityZone]bool, servers, addresses uniqueNames) {
	if strings.ContainsAny(string(s.Name), "/ ?#%") {
		d.fail(path+".name", "found %q, expected one path segment", s.Name)
	}
	required(d, path+".callerHeader", s.CallerHeader)
	between(d, path+".slots", s.Slots, 1, 10_000)
	between(d, path+".connections", s.Connections, 1, 100_000)
	required(d, path+".servers", len(s.Servers))
	for i, server := range s.Servers {
		at := fmt.Sprintf("%s.servers[%d]", path, i)
		servers.add(d, at+".name", string(server.Name))
		d.zone(at+".availabilityZone", server.AvailabilityZone, zones)
		d.address(at+".address", server.Address)
		addresses.add(d, at+".address", server.Address)
	}
	for i, route := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		prefix := "/" + string(s.Name)
		if required(d, at+".pathPrefix", route.PathPrefix) && route.PathPrefix != prefix && !strings.HasPrefix(route.PathPrefix, prefix+"/") {
			d.fail(at+".pathPrefix", "found %q, expected a path that begins with %q", route.PathPrefix, prefix+"/")
		}
		between(d, at+".timeout", route.Timeout, 0, Duration(24*time.Hour))
		for j, method := range route.Methods {
			if !slices.Contains(methods, method) {
				d.fail(fmt.Sprintf("%s.methods[%d]", at, j), "found %q, expected one of %s", method, strings.Join(methods, ", "))
			}
		}
	}
}

func (d *decoder) validateObjective(o *Objective) {
	v := reflect.ValueOf(*o)
	for i := range v.NumField() {
		between(d, "objective."+v.Type().Field(i).Tag.Get("yaml"), v.Field(i).Float(), 0, 1000)
	}
	if o.Imbalance+o.Churn+o.UnavailableTime <= 0 {
		d.fail("objective", "all weights are zero, expected at least one above")
	}
}

func (d *decoder) validateOperator(s *Settings) {
	d.tls("operator.tls", s.Operator.TLS)
	admin, err := netip.ParseAddrPort(s.Host.Addresses.Admin)
	if err != nil || admin.Addr().IsLoopback() {
		return
	}
	if !s.Operator.TLS.Enabled() || (s.Operator.TLS.ClientCA == "" && s.Operator.TokensFile == "") {
		d.fail("host.addresses.admin", "found %q, expected a loopback address, or operator.tls with clientCA or operator.tokensFile", s.Host.Addresses.Admin)
	}
}

func (d *decoder) tls(path string, t TLS) {
	if (t.Cert == "") != (t.Key == "") {
		d.fail(path, "expected cert and key together")
	}
	if t.ClientCA != "" && t.Cert == "" {
		d.fail(path+".clientCA", "expected cert and key as well")
	}
}
