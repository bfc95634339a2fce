package platform

import (
	"cmp"
	"runtime"
	"runtime/debug"
)

// Descriptors. Of the limit, reservedSockets are the process's own and cannot be taken by clients or servers; the
// rest is divided between both.
const (
	minSockets      = 64   // the least that a configuration may say
	defaultSockets  = 1024 // where it says nothing
	reservedSockets = 24   // listener, gossip, discovery, the runtime's, files
	clientShare     = 0.5  // of the rest; the other part is for servers
)

// Memory.
const (
	defaultMemoryMB = 64 // where the configuration says nothing
	// memoryTargetShare of the limit is the runtime's soft limit: goroutine stacks, socket buffers and the binary's
	// pages count against the process's limit too.
	memoryTargetShare = 0.6
	bodyMemoryShare   = 0.1 // of the limit, for request bodies, and as much for response bodies
	maxResponseBytes  = 1 << 20
)

// gcPercent lets the heap grow to five times the live data between two collections; the soft memory limit ends that
// earlier where it would be too much. Fewer collections leave more of a small CPU share for requests.
const gcPercent = 400

// ApplyLimits makes the Go runtime keep within the limits of the configuration.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(1) // the process has a part of one core: more threads would only wait for each other
	debug.SetGCPercent(gcPercent)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryTargetShare * float64(c.MemoryMB) * (1 << 20)))
	}
}

// maxClientConns and maxServerConns divide the descriptors that are not reserved.
func (c *Config) maxClientConns() int { return int(clientShare * c.unreservedSockets()) }

func (c *Config) maxServerConns() int { return int((1 - clientShare) * c.unreservedSockets()) }

func (c *Config) unreservedSockets() float64 {
	return float64(cmp.Or(c.Sockets, defaultSockets) - reservedSockets)
}

// maxBodyBytes bounds all bodies of one direction together.
func (c *Config) maxBodyBytes() int64 {
	return int64(bodyMemoryShare * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20))
}
