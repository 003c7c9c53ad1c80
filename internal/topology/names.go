package topology

// HostName identifies an entry host. It does not change when the host restarts.
type HostName string

// ServerName identifies one upstream server of a service.
type ServerName string

// ServiceName identifies a service.
type ServiceName string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// Caller identifies the sender of a request, for fair queueing and serving rules.
type Caller string

// Labels are key-value pairs that the operator attaches to a server or a key.
type Labels map[string]string

// Host describes an entry host, as read from the platform's host list or from
// the settings.
type Host struct {
	Name             HostName         `json:"name" yaml:"name"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone" yaml:"availabilityZone"`
	PeerAddress      string           `json:"peerAddress" yaml:"peerAddress"`
	Leaving          bool             `json:"leaving,omitempty" yaml:"-"`
}

// Server describes one upstream server, as read from the settings.
type Server struct {
	Name             ServerName       `json:"name" yaml:"name"`
	Service          ServiceName      `json:"service" yaml:"-"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone" yaml:"availabilityZone"`
	Address          string           `json:"address" yaml:"address"`
	Labels           Labels           `json:"labels,omitempty" yaml:"labels"`
}
