// Package ports finds loopback ports that nobody else takes before they are bound, or while they are not.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// The range of ports. It lies below the range from which the kernel takes the ports of outgoing connections, so that
// none of them takes a port meanwhile.
const (
	lowestPort  = 12000
	highestPort = 32000
)

const (
	// lockHost is a loopback address that nothing else uses. Whoever listens on a port there holds the port for itself
	// on 127.0.0.1: other tests and processes that use this package leave it alone, even while nobody listens on it.
	lockHost = "127.77.0.1"

	maxTries     = 1000
	probeTimeout = time.Second
)

// Reservation holds ports until Release. The zero value holds none. It is not safe for concurrent use.
type Reservation struct{ locks []net.Listener }

// Addr reserves a port on which nobody listens and returns its address, host:port. Whether somebody listens is found
// out by a connection rather than by listening: a listener that was just closed may hold its port for a moment
// longer.
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
	return "", errors.New("ports: none is free")
}

// Release releases all ports.
func (r *Reservation) Release() {
	for _, lock := range r.locks {
		lock.Close()
	}
}
