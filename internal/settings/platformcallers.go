package settings

import "time"

// PlatformCallers bound what the callers of a host hold together and each.
type PlatformCallers struct {
	// PipelineDepth bounds the pipelined requests of one connection that are in progress
	// at a time. With 0 or 1, requests are served one after another. Default: 16.
	PipelineDepth int `yaml:"pipelineDepth"`
	// Memory is for request bodies and buffered responses of all callers. A quarter of
	// it is kept for messages of at most 16 KiB. Default: a quarter of the memory for data,
	// which is limits.memoryMB less 16 MB for the program.
	Memory Size `yaml:"memory"`
	// MaxConnections bounds the open connections of callers. Default: half of the
	// descriptors that are not for files, as far as the connections take no more than
	// 36 % of the memory for data.
	MaxConnections int `yaml:"maxConnections"`
	// ReceiveBuffer and SendBuffer bound the kernel's buffers of one connection; the
	// kernel reserves twice as much. Default: 32KiB each.
	ReceiveBuffer Size `yaml:"receiveBuffer"`
	SendBuffer    Size `yaml:"sendBuffer"`
	// MaxHeader bounds a head while it is read, also before the configuration is known; 4 KiB
	// more are let through. A larger max_header_bytes of the configuration needs a larger
	// value here. Default: 16KiB.
	MaxHeader Size `yaml:"maxHeader"`
	// MinProgress is what a body must bring in each BodyPeriod and a caller that reads a
	// response must take in each ResponsePeriod. Default: 512B.
	MinProgress Size `yaml:"minProgress"`
	// BodyPeriod is the period for bodies. Default: 5s.
	BodyPeriod Duration `yaml:"bodyPeriod"`
	// ResponsePeriod is the period for responses. Default: 1m.
	ResponsePeriod Duration `yaml:"responsePeriod"`
}

const (
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// connProcessBytes is what the process itself needs for one connection: stacks, the
	// buffers of the HTTP server, a copy buffer.
	connProcessBytes = 48 << 10
	// callerConnsPercent and callerMemoryPercent are the parts of the memory for data
	// for callers' connections and for their bodies and responses. The rest is for the
	// host's own state (45 MB in normal use) and for garbage that is not collected yet.
	callerConnsPercent  = 36
	callerMemoryPercent = 25
	// maxCallersPercent bounds both together, if they are set.
	maxCallersPercent = 70
)

// ConnBytes is the memory of one connection, in bytes.
func (c *PlatformCallers) ConnBytes() int64 {
	return 2*int64(c.ReceiveBuffer+c.SendBuffer) + connProcessBytes
}

// complete sets what is derived from the limits of the process.
func (c *PlatformCallers) complete(limits PlatformLimits) {
	memory := limits.DataBytes()
	if c.Memory == 0 {
		c.Memory = Size(memory * callerMemoryPercent / 100)
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = min((limits.MaxDescriptors-fileDescriptors)/2, int(memory*callerConnsPercent/100/c.ConnBytes()))
	}
}

func (c *PlatformCallers) validate(d *decoder, limits PlatformLimits) {
	between(d, "callers.receiveBuffer", c.ReceiveBuffer, 4<<10, 4<<20)
	between(d, "callers.sendBuffer", c.SendBuffer, 4<<10, 4<<20)
	between(d, "callers.maxHeader", c.MaxHeader, 1<<10, 1<<20)
	between(d, "callers.minProgress", c.MinProgress, 1, 16<<10)
	between(d, "callers.bodyPeriod", c.BodyPeriod, Duration(time.Second), Duration(10*time.Minute))
	between(d, "callers.responsePeriod", c.ResponsePeriod, Duration(time.Second), Duration(10*time.Minute))
	complete := *c
	complete.complete(limits)
	// At least one largest buffered body and its copy.
	between(d, "callers.memory", complete.Memory, 1<<20, Size(limits.DataBytes()*maxCallersPercent/100))
	between(d, "callers.maxConnections", complete.MaxConnections, 1, limits.MaxDescriptors-fileDescriptors-1)
	if total := int64(complete.Memory) + int64(complete.MaxConnections)*complete.ConnBytes(); total > limits.DataBytes()*maxCallersPercent/100 {
		d.fail("callers", "memory and maxConnections need %s, expected at most %d %% of limits.memoryMB less 16", Size(total), maxCallersPercent)
	}
}
