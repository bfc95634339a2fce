// Package ports reserves loopback ports, so that no other process binds them before their user does, or while
// their user is stopped.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// The range of reserved ports lies below the kernel's range of ephemeral ports, so that no outgoing
// connection can take a reserved port.
const (
	lowestPort  = 12000
	highestPort = 32000
)

const (
	// lockHost is a loopback address that is used for nothing else. A listener on a port of lockHost reserves
	// the same port on 127.0.0.1: other tests and processes that use this package skip the port, even while
	// nothing listens on 127.0.0.1.
	lockHost = "127.77.0.1"

	maxTries     = 1000        // number of random ports to try for one address
	probeTimeout = time.Second // bounds the connection that checks whether a port is in use
)

// Reservation is a set of reserved ports. The zero value is empty. It is not safe for concurrent use.
type Reservation struct{ locks []net.Listener }

// Addr reserves a port of 127.0.0.1 on which nothing listens and returns its address as host:port. It returns
// an error if it finds no such port in 1000 attempts. It checks a port by connecting to it rather than by
// listening on it, because a listener that was just closed can occupy its port for a moment longer.
func (r *Reservation) Addr() (string, error) {
	for range maxTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", lockHost, port))
		if err != nil {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if nc, err := net.DialTimeout("tcp", addr, probeTimeout); err == nil {
			nc.Close()
			lock.Close()
			continue
		}
		r.locks = append(r.locks, lock)
		return addr, nil
	}
	return "", fmt.Errorf("ports: no free port from %d to %d found in %d attempts",
		lowestPort, highestPort-1, maxTries)
}

// Release releases all reserved ports.
func (r *Reservation) Release() {
	for _, lock := range r.locks {
		lock.Close()
	}
}
