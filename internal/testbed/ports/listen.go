package ports

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	listenTimeout    = 5 * time.Second      // time after which an address counts as used by another listener
	listenRetryPause = 2 * time.Millisecond // pause between two attempts to listen
)

// Listen listens on a TCP address whose last listener may just have been closed. A child process holds copies of
// its parent's listeners from its fork until it executes its program, so a closed listener may still occupy its
// port meanwhile. Listen therefore retries for up to 5 s.
func Listen(addr string) (net.Listener, error) { return listenWithin(listenTimeout, addr) }

// listenWithin is Listen with the given timeout.
func listenWithin(timeout time.Duration, addr string) (net.Listener, error) {
	deadline := time.Now().Add(timeout)
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return nil, fmt.Errorf("ports: no listener on %s within %v: %w", addr, timeout, err)
		}
		time.Sleep(listenRetryPause)
	}
}
