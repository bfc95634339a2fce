// Package socket has what the frontend and the upstream pool need of a socket beyond package net: reads and writes
// that never wait, looks at what has arrived, and retries of system calls that failed with a transient error.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The system calls on sockets. Fault tests replace them, before a connection is used, by ones that fail.
var (
	Write = syscall.Write
	Read  = syscall.Read
	Recv  = func(fd int, b []byte, flags int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, b, flags)
		return n, err
	}
)

// RetryDelay is the pause before a system call that failed with a transient error is retried.
const RetryDelay = time.Millisecond

// transientErrors say nothing of the connection: nothing was there yet, a signal came, or the kernel was out of memory.
var transientErrors = []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// IsTransient reports whether the error of a system call is transient: the call may be retried a moment later, and the
// connection is as good as before.
func IsTransient(err error) bool {
	for _, errno := range transientErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// WriteNow writes bytes into the socket's buffer without waiting for room and returns how many it took. If not all, err
// is syscall.EAGAIN, another error for which IsTransient holds, or the connection's. The gateway's loop writes by it:
// waiting for one peer would delay all others.
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

// ReadNow reads what has arrived without waiting. If nothing has, err is syscall.EAGAIN; n and err are 0 and nil at
// the end of the connection.
func ReadNow(fd uintptr, b []byte) (n int, err error) {
	for {
		n, err = Read(int(fd), b)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// WriteAll writes all bytes within a timeout, waiting for room and past transient errors. It replaces the
// connection's write deadline.
func WriteAll(nc net.Conn, b []byte, timeout time.Duration) error {
	nc.SetWriteDeadline(time.Now().Add(timeout))
	defer nc.SetWriteDeadline(time.Time{})
	_, err := WithRetry(nc).Write(b)
	return err
}

// WithRetry wraps a connection whose reads and writes retry transient errors.
func WithRetry(nc net.Conn) net.Conn { return retryConn{nc} }

type retryConn struct{ net.Conn }

func (c retryConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || err == nil || !IsTransient(err) {
			return n, err
		}
		time.Sleep(RetryDelay)
	}
}

func (c retryConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:])
		written += n
		if err == nil || !IsTransient(err) {
			return written, err
		}
		time.Sleep(RetryDelay)
	}
}

// Peek looks at a socket without taking anything: whether it holds unread bytes, and whether the peer has ended the
// connection, also after bytes that are still unread.
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
			unread, ended = true, isHungUp(int32(fd))
		}
	})
	return unread, ended
}

// HasPending reports whether a listener has a connection to accept.
func HasPending(raw syscall.RawConn) (pending bool) {
	raw.Control(func(fd uintptr) { pending = poll(int32(fd), unix.POLLIN) })
	return pending
}

// isHungUp reports whether the peer has closed or reset, whatever is still unread.
func isHungUp(fd int32) bool { return poll(fd, unix.POLLRDHUP) }

// poll reports whether an event, or the end of the descriptor, has occurred.
func poll(fd int32, event int16) bool {
	fds := []unix.PollFd{{Fd: fd, Events: event}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n == 1 && fds[0].Revents&(event|unix.POLLHUP|unix.POLLERR) != 0
}
