// Package socket provides operations on sockets that package net lacks: non-blocking reads and writes,
// peeking at received data, and retries of system calls that failed with a transient error. The HTTP
// frontend, the connections to servers, the discovery client and package wsconn use it.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System calls on sockets. Tests that inject faults replace these variables with functions that fail. They
// must do so before any connection is used.
var (
	Write = syscall.Write
	Read  = syscall.Read
	Recv  = func(fd int, b []byte, flags int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, b, flags)
		return n, err
	}
)

// RetryDelay is the delay before a system call that failed with a transient error is retried.
const RetryDelay = time.Millisecond

// transientErrors are errors that do not indicate a fault of the connection: the operation would have
// blocked, a signal arrived, or the kernel was out of buffers or memory.
var transientErrors = []syscall.Errno{syscall.EAGAIN, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM}

// IsTransient reports whether err is a transient error of a system call. The connection is intact and the
// call can be retried shortly afterwards.
func IsTransient(err error) bool {
	for _, errno := range transientErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// WriteNow writes bytes to the send buffer of the socket without blocking, and returns the number of bytes
// written. It may write only a part of b without an error. err is syscall.EAGAIN if the buffer is full,
// another error for which IsTransient returns true, or an error of the connection. The event loop of the
// gateway uses WriteNow because waiting for one peer would delay all others.
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

// WritePartsNow writes the parts in order like WriteNow and returns what remains to be written. It may change the
// elements of parts.
func WritePartsNow(raw syscall.RawConn, parts [][]byte) (rest [][]byte, err error) {
	for len(parts) > 0 {
		n, err := WriteNow(raw, parts[0])
		if n < len(parts[0]) {
			parts[0] = parts[0][n:]
			return parts, err
		}
		parts = parts[1:]
	}
	return nil, nil
}

// ReadNow reads the bytes that have arrived without blocking. If there are none, err is syscall.EAGAIN. At
// the end of the connection, n is zero and err is nil.
func ReadNow(fd uintptr, b []byte) (n int, err error) {
	for {
		n, err = Read(int(fd), b)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// WriteAll writes all bytes within the timeout. It waits for space in the send buffer and retries after
// transient errors. Afterwards the connection has no write deadline.
func WriteAll(nc net.Conn, b []byte, timeout time.Duration) error {
	return WritePartsUntil(nc, [][]byte{b}, time.Now().Add(timeout))
}

// WritePartsUntil writes all parts in order before the deadline, like WriteAll. It drops each part once it is written.
func WritePartsUntil(nc net.Conn, parts [][]byte, deadline time.Time) error {
	nc.SetWriteDeadline(deadline)
	defer nc.SetWriteDeadline(time.Time{})
	for i, part := range parts {
		if _, err := WithRetry(nc).Write(part); err != nil {
			return err
		}
		parts[i] = nil
	}
	return nil
}

// WithRetry wraps nc so that its reads and writes are retried after transient errors.
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

// Peek checks a socket without reading from it. unread reports whether it holds unread bytes. ended reports
// whether the peer has ended the connection, even if there are still unread bytes.
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

// HasPending reports whether a connection is waiting to be accepted by the listener.
func HasPending(raw syscall.RawConn) (pending bool) {
	raw.Control(func(fd uintptr) { pending = poll(int32(fd), unix.POLLIN) })
	return pending
}

// isHungUp reports whether the peer has closed or reset the connection, even if there are still unread
// bytes.
func isHungUp(fd int32) bool { return poll(fd, unix.POLLRDHUP) }

// poll reports without blocking whether an event, a hang-up or an error has occurred on a file descriptor.
func poll(fd int32, event int16) bool {
	fds := []unix.PollFd{{Fd: fd, Events: event}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n == 1 && fds[0].Revents&(event|unix.POLLHUP|unix.POLLERR) != 0
}
