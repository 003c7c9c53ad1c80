// Package api holds the requests and replies of the operators' HTTP interface.
// Changes are sent as configsync.Change and answered with configsync.Result.
package api

import (
	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// HeaderOperator carries the operator's own name for himself. It is used only
// where no authentication is configured.
const HeaderOperator = "Cassiasill-Operator"

// Documents is the reply of GET /v1/documents.
type Documents struct {
	Revision  uint64                  `json:"revision"`
	Documents []*declaration.Document `json:"documents"`
}

// Diff is the reply of POST /v1/diff.
type Diff struct {
	Revision  uint64                `json:"revision"`
	Documents []DocumentDiff        `json:"documents"`
	Warnings  []declaration.Finding `json:"warnings,omitempty"`
	// Effects describes in short lines what the planner would do.
	Effects []string `json:"effects,omitempty"`
}

// DocumentDiff is what a change would do to one document.
type DocumentDiff struct {
	Document declaration.Key   `json:"document"`
	Action   configsync.Action `json:"action"`
	Fields   []FieldDiff       `json:"fields"`
}

// FieldDiff is one field of a DocumentDiff; nil means no value.
type FieldDiff struct {
	Field  string  `json:"field"`
	Before *string `json:"before"`
	After  *string `json:"after"`
}

// History is the reply of GET /v1/changes, newest first.
type History struct {
	Changes []configsync.Accepted `json:"changes"`
}

// Status is the reply of GET /v1/status.
type Status struct {
	// Host is the host that answers.
	Host     topology.HostName `json:"host"`
	Revision uint64            `json:"revision"`
	Fresh    bool              `json:"fresh"`
	Hosts    []HostStatus      `json:"hosts"`
}

// HostStatus is the revision in force on one host.
type HostStatus struct {
	Host             topology.HostName         `json:"host"`
	AvailabilityZone topology.AvailabilityZone `json:"availabilityZone,omitempty"`
	Revision         uint64                    `json:"revision"`
	// Known is false if the host has not published its revision.
	Known   bool `json:"known"`
	Leaving bool `json:"leaving,omitempty"`
}

// Labels is the reply of GET /v1/labels.
type Labels struct {
	Revision uint64         `json:"revision"`
	Servers  []ServerLabels `json:"servers,omitempty"`
	Key      *KeyLabels     `json:"key,omitempty"`
}

// ServerLabels are the labels in force of one server.
type ServerLabels struct {
	Service topology.ServiceName `json:"service"`
	Server  topology.ServerName  `json:"server"`
	Labels  topology.Labels      `json:"labels"`
}

// KeyLabels are the labels in force of one key.
type KeyLabels struct {
	Service topology.ServiceName `json:"service"`
	Key     string               `json:"key"`
	Labels  topology.Labels      `json:"labels"`
}

// Explanations is the reply of GET /v1/explain.
type Explanations struct {
	Explanations []Explanation `json:"explanations"`
}

// Explanation adds the present owner of a key to the rules' verdict.
type Explanation struct {
	declaration.Explanation
	Owner      topology.ServerName `json:"owner,omitempty"`
	OwnerState string              `json:"ownerState,omitempty"`
}
