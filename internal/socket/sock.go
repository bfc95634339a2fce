// Package sock has what the platform's two sides ask of a socket beyond package net.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System calls on sockets. Tests put ones that fail in their place.
var (
	Write = syscall.Write
	Read  = syscall.Read
	Recv  = func(fd int, b []byte, flags int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, b, flags)
		return n, err
	}
)

// RetryPause is the wait before a system call that failed for a moment is tried again.
const RetryPause = time.Millisecond

// Transient reports whether a system call's error passes by itself: the call may be tried again a moment later, and the
// connection is as good as before.
func IsTransient(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// WriteNow hands bytes to the socket's buffer and returns how many it took, without waiting for room: then err is
// syscall.EAGAIN, or another error that Transient reports. The loop writes so, as one that waited for a peer would hold
// all others up.
func WriteNow(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Write(func(fd uintptr) bool {
		for {
			n, err = Write(int(fd), b)
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

// WriteAll writes all bytes within a time and waits for room. Errors that pass are waited for too.
func WriteAll(nc net.Conn, b []byte, within time.Duration) error {
	nc.SetWriteDeadline(time.Now().Add(within))
	defer nc.SetWriteDeadline(time.Time{})
	_, err := WithRetry(nc).Write(b)
	return err
}

// ReadNow reads what has come without waiting; with nothing there err is syscall.EAGAIN.
func ReadNow(fd uintptr, b []byte) (n int, err error) {
	for {
		n, err = Read(int(fd), b)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// Patient wraps a connection whose reads and writes try again what fails for a moment.
func WithRetry(nc net.Conn) net.Conn { return retryConn{nc} }

type retryConn struct{ net.Conn }

func (p retryConn) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if n > 0 || err == nil || !IsTransient(err) {
			return n, err
		}
		time.Sleep(RetryPause)
	}
}

func (p retryConn) Write(b []byte) (int, error) {
	for done := 0; ; {
		n, err := p.Conn.Write(b[done:])
		if done += n; err == nil || !IsTransient(err) {
			return done, err
		}
		time.Sleep(RetryPause)
	}
}

// Peek looks at a socket without taking anything: whether bytes wait in it, and whether the other side has ended it, also
// behind bytes that wait.
func Peek(raw syscall.RawConn) (unread, ended bool) {
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := Recv(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err != nil:
			ended = !IsTransient(err)
		case n == 0:
			ended = true
		default:
			unread, ended = true, hungUp(int32(fd))
		}
	})
	return unread, ended
}

// Ready reports whether a listener has a connection to accept.
func HasPending(raw syscall.RawConn) (ready bool) {
	raw.Control(func(fd uintptr) { ready = poll(int32(fd), unix.POLLIN) })
	return ready
}

// hungUp reports whether the other side has closed or reset, whatever still waits to be read.
func hungUp(fd int32) bool { return poll(fd, unix.POLLRDHUP) }

// poll reports whether an event, or the end of a descriptor, has come.
func poll(fd int32, event int16) bool {
	fds := []unix.PollFd{{Fd: fd, Events: event}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n == 1 && fds[0].Revents&(event|unix.POLLHUP|unix.POLLERR) != 0
}
