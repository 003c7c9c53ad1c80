package settings

import (
	"cmp"
	"fmt"

	"github.com/goccy/go-yaml/token"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// HostError is a host that the settings do not list.
type HostError struct {
	Name  string
	Known []topology.HostName
}

// Error names the host and those that are listed.
func (e *HostError) Error() string {
	return fmt.Sprintf("settings: found host %q, expected one of hosts: %v", e.Name, e.Known)
}

// RunAs replaces the host section by the named entry of Hosts and the addresses
// by those that are not empty. The result is checked like a file.
func (s *Settings) RunAs(name, callers, admin string) error {
	if name != "" {
		known := make([]topology.HostName, 0, len(s.Hosts))
		found := false
		for _, h := range s.Hosts {
			known = append(known, h.Name)
			if h.Name == topology.HostName(name) {
				s.Host.Name, s.Host.AvailabilityZone, s.Host.Addresses.Peer = h.Name, h.AvailabilityZone, h.PeerAddress
				found = true
			}
		}
		if !found {
			return &HostError{Name: name, Known: known}
		}
	}
	s.Host.Addresses.Callers = cmp.Or(callers, s.Host.Addresses.Callers)
	s.Host.Addresses.Admin = cmp.Or(admin, s.Host.Addresses.Admin)
	return s.check()
}

// check validates settings that were changed after they were read.
func (s *Settings) check() error {
	d := &decoder{file: "settings with flags", positions: map[string]*token.Position{"": {Line: 1, Column: 1}}}
	d.validate(s)
	if len(d.errors) > 0 {
		return d.errors
	}
	return nil
}
