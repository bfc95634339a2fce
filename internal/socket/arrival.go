package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceArrival returns how long ago the last bytes arrived from the peer, whether they have been read or not, as
// the kernel recorded it. It is exact to a tick of the kernel's timer, 10 ms at most, and 0 if the kernel does
// not say.
func SinceArrival(raw syscall.RawConn) time.Duration {
	var milliseconds uint32
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			milliseconds = info.Last_data_recv
		}
	})
	return time.Duration(milliseconds) * time.Millisecond
}
