package settings

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const platformFile = `host:
  name: "edge-1"
  availabilityZone: "z"
  address: "10.1.0.18"
listen:
  callers: "10.1.0.18:8381"
  readiness: "10.1.0.18:8388"
  peers: "10.1.0.18:8382"
  firstPeerPort: 7200
seeds: ["10.1.0.18:8382"]
store:
  address: "10.200.1.7:8384"
limits:
  memoryMB: 284
bounds: 'retry_budget=0.2,retry_burst=64'
`

func TestParsePlatform(t *testing.T) {
	p, err := ParsePlatform("node.yaml", []byte(platformFile))
	assert.NilError(t, err)
	assert.Equal(t, p.Listen.Peers, "10.1.0.18:8382")
	assert.Equal(t, string(p.Log.Level), "info")
	assert.Equal(t, p.Callers.PipelineDepth, 16)
	p, err = ParsePlatform("node.yaml", []byte(platformFile+"callers:\n  pipelineDepth: 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, p.Callers.PipelineDepth, 0)
	assert.DeepEqual(t, p.Seeds, []string{"10.1.0.18:8382"})
}

// Guards against errors that do not say where and what is wrong.
func TestParsePlatformErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`name: "edge-1"`, `name: ""`, "node.yaml:2:3: host.name: required"},
		{`"z"`, `[z]`, "host.availabilityZone: found a list, expected text"},
		{`address: "10.1.0.18"`, `address: "edge-1.example"`, "host.address: found \"edge-1.example\", expected an IP address"},
		{`10.1.0.18:8381`, `10.1.0.18`, "listen.callers: found \"10.1.0.18\", expected an IP address with a port"},
		{`firstPeerPort: 7200`, `firstPeerPort: 0`, "listen.firstPeerPort"},
		{`firstPeerPort: 7200`, "firstPeerPort: 7200\n  metricsPort: 70000", "listen.metricsPort"},
		{`firstPeerPort: 7200`, `firstPeerPort: many`, "expected a whole number"},
		{`memoryMB: 284`, `memoryMb: 284`, "limits.memoryMb: unknown field, did you mean \"memoryMB\"?"},
		{`memoryMB: 284`, `memoryMB: 2`, "limits.memoryMB"},
		{`memoryMB: 284`, "memoryMB: 284\n  maxDescriptors: 200", "limits.maxDescriptors"},
		{"bounds:", "callers: {memory: 280MiB}\nbounds:", "callers.memory: found 280MiB"},
		{"bounds:", "callers: {maxConnections: 3000}\nbounds:", "callers: memory and maxConnections need"},
		{"bounds:", "callers: {bodyPeriod: 5}\nbounds:", "callers.bodyPeriod"},
		{"store:\n  address: \"10.200.1.7:8384\"\n", "", "store.address"},
		{`limits:`, "callers:\n  pipelineDepth: -1\nlimits:", "callers.pipelineDepth"},
		{`limits:`, "callers:\n  pipelineDepth: 257\nlimits:", "callers.pipelineDepth"},
		{`seeds: [`, `seeds: [[`, "node.yaml:"},
	} {
		broken := strings.Replace(platformFile, c.old, c.new, 1)
		assert.Assert(t, broken != platformFile)
		_, err := ParsePlatform("node.yaml", []byte(broken))
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against defaults whose sum exceeds what a host has, on hosts of any size.
func TestCallerDefaultsFollowFromLimits(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, connections int }{{16, 256, 16}, {184, 4100, 351}, {536, 10478, 1089}, {4096, 4100, 1950}} {
		text := strings.Replace(platformFile, "memoryMB: 284", fmt.Sprintf("memoryMB: %d\n  maxDescriptors: %d", c.memoryMB, c.descriptors), 1)
		p, err := ParsePlatform("node.yaml", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, p.Callers.MaxConnections, c.connections)
		assert.Equal(t, int(p.Callers.Memory), max(c.memoryMB-16, c.memoryMB/2)<<20/4)
	}
}
