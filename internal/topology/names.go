package topology

// HostName names an entry host; it is the same after a restart.
type HostName string

// ServerName names one upstream server of a service.
type ServerName string

// ServiceName names a service.
type ServiceName string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// Caller identifies who sent a request, for fairness and for serving rules.
type Caller string

// Labels are the operator's labels on a server or a key.
type Labels map[string]string

// Host describes an entry host as the platform's host list or the settings
// give it.
type Host struct {
	Name             HostName         `json:"name" yaml:"name"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone" yaml:"availabilityZone"`
	PeerAddress      string           `json:"peerAddress" yaml:"peerAddress"`
	Leaving          bool             `json:"leaving,omitempty" yaml:"-"`
}

// Server describes one upstream server as the settings give it.
type Server struct {
	Name             ServerName       `json:"name" yaml:"name"`
	Service          ServiceName      `json:"service" yaml:"-"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone" yaml:"availabilityZone"`
	Address          string           `json:"address" yaml:"address"`
	Labels           Labels           `json:"labels,omitempty" yaml:"labels"`
}
