// Package ports finds loopback ports that nobody takes before they are bound.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// lowest and highest port that are taken for what must be bound later, or come back at the same address: below the range
// that the kernel gives to outgoing connections, so that nobody takes it meanwhile.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// Reserved holds ports against others on this machine, also other processes: a port is taken by whoever binds it at
// lockHost, a loopback address that nothing else uses, until Release. Without that two days, or tests, may find the same
// port free before either binds it.
type Reservation struct{ locks []net.Listener }

const lockHost = "127.77.0.1"

// Addr finds a port at which nobody listens. It is asked for by a connection and not by binding it: a socket just
// closed may hold its port for a moment longer.
func (r *Reservation) Addr() (string, error) {
	for range 1000 {
		p := lowestPort + rand.IntN(highestPort-lowestPort)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", lockHost, p))
		if err != nil {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", p)
		if nc, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			nc.Close()
			lock.Close()
			continue
		}
		r.locks = append(r.locks, lock)
		return addr, nil
	}
	return "", errors.New("ports: none is free")
}

// Release lets all ports go.
func (r *Reservation) Release() {
	for _, l := range r.locks {
		l.Close()
	}
}
