package settings

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Guards against a broken file that is accepted, that shows only its first
// mistake, or whose errors do not say where it is broken and what is expected.
func TestLoadReportsEveryError(t *testing.T) {
	cases := map[string][]string{
		"good": nil,
		"unknown-field": {
			`12:5: services[0].slotts: unknown field, did you mean "slots"?`,
			`22:1: bounds: unknown field, expected one of deployment, host, hosts, availabilityZones, latency, store, services, objective, limits, operator, peerTLS, log`,
		},
		"units": {
			`9:3: store.timeout: found "2 seconds", expected a duration with a unit such as 500ms, 2s or 1m`,
			`12:3: latency.toCallers: found "0", expected a duration with a unit such as 500ms, 2s or 1m`,
			`24:9: services[0].routes[0].timeout: found "5", expected a duration with a unit such as 500ms, 2s or 1m`,
			`26:3: limits.buffer: found "64 megabytes", expected a size with a unit such as 512B, 64KiB or 10MB`,
		},
		"duplicate-field": {
			`14:5: services[0].slots: given twice, first in line 12`,
		},
		"missing": {
			`1:1: deployment: required, but missing or empty`,
			`1:1: host.name: required, but missing or empty`,
			`12:9: services[0].servers[0].address: required, but missing or empty`,
		},
		"out-of-range": {
			`12:5: services[0].slots: found 0, expected 1 to 10000`,
			`23:3: objective.churn: found -1, expected 0 to 1000`,
			`25:3: limits.buffer: found 1B, expected 1KiB to 16GiB`,
		},
		"unknown-zone": {
			`4:3: host.availabilityZone: unknown availability zone "santa-fe", expected one of rafaela, reconquista`,
			`15:9: services[0].servers[0].availabilityZone: unknown availability zone "rafela", expected one of rafaela, reconquista`,
		},
		"duplicate-names": {
			`8:5: availabilityZones[2].name: "rafaela" is already used by availabilityZones[0].name`,
			`18:10: services[0].servers[1].name: "agenda-1" is already used by services[0].servers[0].name`,
			`18:57: services[0].servers[1].address: "10.0.1.1:8080" is already used by services[0].servers[0].address`,
		},
		"addresses": {
			`6:5: host.addresses.admin: found "10.0.0.5:18180", expected a loopback address, or operator.tls with clientCA or operator.tokensFile`,
			`11:15: store.endpoints[0]: found "10.0.0.1:2379", expected a URL such as http://10.0.0.1:2379`,
			`18:9: services[0].servers[0].address: found "agenda.internal:8080", expected an IP address with a port such as 10.0.0.1:8080`,
			`25:3: operator.tls: expected cert and key together`,
		},
		"wrong-type": {
			`12:5: services[0].slots: found "two", expected a whole number`,
			`14:9: services[0].servers[0].name: found "1", expected text (in quotes if it looks like a number)`,
			`19:9: services[0].routes[0].methods: found "POST", expected a list`,
			`20:9: services[0].routes[0].class: found "bookings", expected one of booking, lookup, download`,
		},
		"syntax": {
			`5:1: not valid YAML: ',' or ']' must be specified`,
		},
		"many-documents": {
			`1:1: found 2 YAML documents, expected one`,
		},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Load("testdata/" + name + ".yaml")
			if want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, "testdata/"+name+".yaml:"+strings.Join(want, "\ntestdata/"+name+".yaml:"))
		})
	}
}

// Guards against settings that silently fall back to zero instead of the
// documented default, and against fields that are not read.
func TestLoadAppliesDefaults(t *testing.T) {
	s, err := Load("testdata/good.yaml")
	assert.NilError(t, err)
	want := Default()
	want.Deployment = "trial"
	want.Host.Name, want.Host.AvailabilityZone = "host-1", "rafaela"
	want.Hosts = []topology.Host{{Name: "host-1", AvailabilityZone: "rafaela", PeerAddress: "127.0.0.1:18380"}}
	want.AvailabilityZones = []AvailabilityZone{{"rafaela"}, {"reconquista"}}
	want.Store.Endpoints = []string{"http://10.0.0.1:2379"}
	want.Services = []Service{{
		Name: "agenda", CallerHeader: "Cassiasill-Caller", Fencing: FencingChecked, Slots: 2, Connections: 120,
		Servers: []topology.Server{{Name: "agenda-1", Service: "agenda", AvailabilityZone: "rafaela",
			Address: "10.0.1.1:8080", Labels: topology.Labels{"rack": "a"}}},
		Routes: []Route{{PathPrefix: "/agenda/", Methods: []string{"POST"}, Class: ClassBooking, Timeout: Duration(5 * time.Second)}},
	}}
	want.Limits.Buffer = 64 << 20
	assert.DeepEqual(t, s, want)
}

// Guards against example deployments that differ from the design page, and
// against a booking that counts as repeatable.
func TestDeployments(t *testing.T) {
	type service struct {
		name    topology.ServiceName
		divided bool
		servers int
		get     Class
	}
	cases := map[string]struct {
		zones    int
		latency  time.Duration
		services []service
		bookings topology.ServiceName
	}{
		"aserrin": {3, 1500 * time.Microsecond, []service{
			{"inventario", true, 15, ClassLookup}, {"agenda", false, 8, ClassLookup}, {"archivo", false, 13, ClassDownload}}, "agenda"},
		"adinkra": {3, 500 * time.Microsecond, []service{
			{"finishes", true, 12, ClassLookup}, {"orders", false, 7, ClassLookup}, {"documents", false, 11, ClassDownload}}, "orders"},
	}
	for name, want := range cases {
		s, err := Deployment(name)
		assert.NilError(t, err)
		assert.Equal(t, len(s.AvailabilityZones), want.zones)
		assert.Equal(t, s.Latency.BetweenAvailabilityZones.Std(), want.latency)
		var got []service
		for i := range s.Services {
			x := &s.Services[i]
			get := x.RouteFor("GET", "/"+string(x.Name)+"/k")
			assert.Assert(t, get.Repeatable && x.Slots == 2 && x.Connections >= 120 && x.Connections <= 130)
			got = append(got, service{x.Name, x.DividedByKey, len(x.Servers), get.Class})
		}
		assert.Assert(t, slices.Equal(got, want.services), "%v", got)
		booking := s.ServiceNamed(want.bookings).RouteFor("POST", "/"+string(want.bookings)+"/k")
		assert.Equal(t, booking.Class, ClassBooking)
		assert.Assert(t, !booking.Repeatable)
	}
	nested := Service{Routes: []Route{{PathPrefix: "/agenda/reports/", Class: ClassDownload}, {PathPrefix: "/agenda/"}}}
	assert.Equal(t, nested.RouteFor("GET", "/agenda/reports/1").Class, ClassDownload)
	_, err := Deployment("unknown")
	assert.ErrorContains(t, err, `no deployment "unknown"`)
}

// Guards against a host that runs under another's name or an unchecked address.
func TestRunAsTakesTheListedHostAndChecksTheFlags(t *testing.T) {
	s, err := Deployment("aserrin")
	assert.NilError(t, err)
	assert.NilError(t, s.RunAs("host-2", "127.0.0.1:1", ""))
	assert.Equal(t, s.Host.AvailabilityZone, topology.AvailabilityZone("rafaela"))
	assert.Equal(t, s.Host.Addresses.Peer, "127.0.0.1:18381")
	assert.Equal(t, s.Host.Addresses.Callers, "127.0.0.1:1")
	assert.ErrorContains(t, s.RunAs("host-9", "", ""), `found host "host-9", expected one of hosts: [host-1 host-2 host-3]`)
	assert.ErrorContains(t, s.RunAs("", "nowhere", ""), "host.addresses.callers")
}

// Guards against hosts that take orders from anyone on the network.
func TestPeerAddressBeyondLoopbackNeedsTLS(t *testing.T) {
	s, err := Deployment("aserrin")
	assert.NilError(t, err)
	s.Hosts[1].PeerAddress = "10.0.0.2:18380"
	assert.ErrorContains(t, s.RunAs("host-2", "", ""), `host.addresses.peer: found "10.0.0.2:18380", expected a loopback address, or peerTLS`)
	s.PeerTLS = TLS{Cert: "cert.pem", Key: "key.pem", ClientCA: "ca.pem"}
	assert.NilError(t, s.RunAs("host-2", "", ""))
}
