// Package sock has what the platform's two sides ask of a socket beyond package net.
package sock

import "syscall"

// WriteNow hands bytes to the socket's buffer and returns how many it took, without waiting for room: then err is
// syscall.EAGAIN. The loop writes so, as one that waited for a peer would hold all others up.
func WriteNow(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if closed != nil {
		return 0, closed
	}
	return max(n, 0), err
}
