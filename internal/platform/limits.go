package platform

import (
	"cmp"
	"runtime"
	"runtime/debug"
)

// Division of the limit on file descriptors. reservedSockets are kept for the process itself, and the rest is
// divided between connections of clients and connections to servers.
const (
	minSockets      = 64   // smallest limit that a configuration may set
	defaultSockets  = 1024 // limit if the configuration sets none
	reservedSockets = 24   // descriptors for listener, gossip, discovery, the Go runtime and files
	clientShare     = 0.5  // fraction of the rest that client connections may use
)

// Division of the limit on memory.
const (
	defaultMemoryMB = 64 // limit in MiB if the configuration sets none
	// bodyMemoryShare is the fraction of the memory limit that request bodies may use, and also the fraction
	// that response bodies may use.
	bodyMemoryShare  = 0.1
	maxResponseBytes = 1 << 20 // largest body of a response
	// customerMemoryShare is the fraction of the memory limit that the state of customers may use.
	customerMemoryShare = 0.125
)

// maxCores is the number of cores that the process uses at a time.
const maxCores = 1

// gcPercent lets the heap grow to five times the live data between two garbage collections. The soft memory
// limit triggers a collection earlier if needed. Fewer collections leave more of a small CPU share for
// requests.
const gcPercent = 400

// ApplyLimits configures the Go runtime to stay within the limits of the configuration. If no memory limit is
// set, it leaves the runtime's memory limit unchanged. A gateway manages the memory of its process only if the limits
// were applied: a process with other tasks has other limits.
func ApplyLimits(c *Config) {
	c.limitsApplied = true
	runtime.GOMAXPROCS(maxCores) // with only a share of one core, more threads would just wait for each other
	debug.SetGCPercent(gcPercent)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(runtimeTarget(c.memoryLimit(), 0)) // until memoryManager has measured what else there is
	}
}

// memoryLimit returns the limit on the memory of the process in bytes; 0 means that none is set.
func (c *Config) memoryLimit() int64 { return int64(c.MemoryMB) << 20 }

// usableCores returns the number of cores that the process can use.
func (c *Config) usableCores() float64 {
	if c.Cores <= 0 {
		return maxCores
	}
	return min(c.Cores, maxCores)
}

// maxClientConns returns the limit on connections of clients.
func (c *Config) maxClientConns() int { return int(clientShare * c.unreservedSockets()) }

// maxServerConns returns the limit on connections to servers.
func (c *Config) maxServerConns() int { return int((1 - clientShare) * c.unreservedSockets()) }

// unreservedSockets returns the number of descriptors that connections may use.
func (c *Config) unreservedSockets() float64 {
	return float64(cmp.Or(c.Sockets, defaultSockets) - reservedSockets)
}

// maxBodyMemory returns the limit on the memory of all request bodies. The same limit applies to all response
// bodies.
func (c *Config) maxBodyMemory() int64 {
	return int64(bodyMemoryShare * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20))
}

// maxCustomers returns the limit on customers whose state is kept.
func (c *Config) maxCustomers() int {
	bytes := customerMemoryShare * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20)
	return max(1, int(bytes)/c.Decide.CustomerBytes())
}
