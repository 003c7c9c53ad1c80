// Package examples embeds the settings of the two example deployments.
package examples

import "embed"

// Files holds aserrin.yaml and adinkra.yaml.
//
//go:embed *.yaml
var Files embed.FS
